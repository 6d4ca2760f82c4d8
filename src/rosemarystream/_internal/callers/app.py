"""WSGI application for callers; the HTTP interface is in docs/callers.md."""

from collections.abc import Callable, Iterator
from typing import Any
from uuid import uuid4

import falcon
import msgspec
from logbook import Logger

from rosemarystream._internal.callers.claimed_calls import ClaimedCalls
from rosemarystream._internal.callers.exchange import EntryExchange
from rosemarystream._internal.callers.hints import encode_hint
from rosemarystream._internal.callers.request_parser import CallerLimits, RequestParser
from rosemarystream._internal.exceptions import (
    ANSWERS,
    ErrorKind,
    RefusedError,
    RosemarystreamError,
)
from rosemarystream._internal.metrics import Metrics
from rosemarystream._internal.models.request import (
    CallResult,
    ContextHint,
    StreamEnd,
    StreamFailure,
    Token,
    Work,
)

log = Logger(__name__)

REQUEST_ID_HEADER = "X-Request-Id"
HINT_HEADER = "X-Context-Hint"
EXECUTION_HEADER = "X-Execution"


class CallerApi:
    """State and collaborators shared by the resources for callers.

    Parameters
    ----------
    parser : RequestParser
        Parses and checks requests.
    exchange : EntryExchange
        Runs requests on backend servers.
    claimed_calls : ClaimedCalls
        Runs calls that may run at most once.
    limits : CallerLimits
        Limits on requests, among them the number of open ones.
    metrics : Metrics
        Counts and times the outcomes.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    def __init__(
        self,
        *,
        parser: RequestParser,
        exchange: EntryExchange,
        claimed_calls: ClaimedCalls,
        limits: CallerLimits,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.parser = parser
        self.exchange = exchange
        self.claimed_calls = claimed_calls
        self.metrics = metrics
        self.clock = clock
        self.leaving = False
        self._limits = limits

    def check_open(self) -> None:
        """Refuse a new request if the host is leaving or overloaded.

        Raises
        ------
        RefusedError
            If the host takes no request now; nothing has run.
        """
        if self.leaving:
            raise RefusedError("this host is leaving", kind=ErrorKind.LEAVING)
        if self.exchange.open_requests >= self._limits.open_requests:
            raise RefusedError(
                "this host has too many open requests", kind=ErrorKind.OVERLOADED
            )

    def record_outcome(
        self, work: Work, outcome: str, server: str, started_at: float
    ) -> None:
        """Log, count and time the outcome of a request."""
        elapsed = self.clock() - started_at
        log.info(
            "request ended",
            extra={
                "request_id": work.request_id,
                "workspace": work.workspace,
                "rank": work.rank,
                "pool": work.pool,
                "server": server,
                "outcome": outcome,
                "elapsed_ms": round(elapsed * 1000, 1),
            },
        )
        self.metrics.count(f"requests.{work.rank}.{outcome}")
        self.metrics.time(f"requests.{work.rank}.elapsed", elapsed)


class TurnsResource:
    """``POST /v1/chats/{chat}/turns``."""

    def __init__(self, *, api: CallerApi) -> None:
        self._api = api

    def on_post(self, req: falcon.Request, resp: falcon.Response, chat: str) -> None:
        """Run a chat turn and answer with a stream of events or one document."""
        request_id = uuid4().hex
        resp.set_header(REQUEST_ID_HEADER, request_id)
        self._api.check_open()
        work, turn = self._api.parser.parse_turn(req, chat, request_id)
        frames = self._api.exchange.stream_turn(work)
        if turn.stream:
            self._stream_answer(resp, work, frames)
        else:
            self._collect_answer(resp, work, frames)

    def _stream_answer(
        self, resp: falcon.Response, work: Work, frames: Iterator[Any]
    ) -> None:
        started_at = self._api.clock()
        first = next(frames)
        if isinstance(first, StreamFailure):
            self._api.record_outcome(work, first.kind, "", started_at)
            raise make_exception(first)
        resp.content_type = "text/event-stream"
        resp.set_header("Cache-Control", "no-store")
        resp.stream = self._write_events(work, first, frames, started_at)

    def _write_events(
        self, work: Work, latest: Any, frames: Iterator[Any], started_at: float
    ) -> Iterator[bytes]:
        outcome, server = "cancelled", ""
        try:
            yield encode_event(latest)
            for frame in frames:
                yield encode_event(frame)
                latest = frame
        finally:
            if isinstance(latest, StreamEnd):
                outcome, server = "complete", latest.server
            elif isinstance(latest, StreamFailure):
                outcome = latest.kind
            self._api.record_outcome(work, outcome, server, started_at)

    def _collect_answer(
        self, resp: falcon.Response, work: Work, frames: Iterator[Any]
    ) -> None:
        started_at = self._api.clock()
        tokens: list[str] = []
        for frame in frames:
            if isinstance(frame, Token):
                tokens.append(frame.text)
                continue
            if isinstance(frame, StreamFailure):
                self._api.record_outcome(work, frame.kind, "", started_at)
                raise make_exception(frame)
            self._api.record_outcome(work, "complete", frame.server, started_at)
            resp.set_header(HINT_HEADER, _make_hint(frame))
            resp.data = msgspec.json.encode(
                {"text": "".join(tokens), **_describe_end(frame)}
            )


class CallsResource:
    """``POST /v1/services/{pool}/calls``."""

    def __init__(self, *, api: CallerApi) -> None:
        self._api = api

    def on_post(self, req: falcon.Request, resp: falcon.Response, pool: str) -> None:
        """Run a call of a plain service and pass on its answer."""
        request_id = uuid4().hex
        resp.set_header(REQUEST_ID_HEADER, request_id)
        self._api.check_open()
        work = self._api.parser.parse_call(req, pool, request_id)
        started_at = self._api.clock()
        key = req.get_header("Idempotency-Key")
        if work.idempotent:
            result = self._api.exchange.call(work)
        else:
            result = self._api.claimed_calls.call(work, key)
        if isinstance(result, StreamFailure):
            self._api.record_outcome(work, result.kind, "", started_at)
            raise make_exception(result)
        self._api.record_outcome(work, "complete", "", started_at)
        self._answer(resp, result)

    def _answer(self, resp: falcon.Response, result: CallResult) -> None:
        resp.set_header(EXECUTION_HEADER, "ran")
        resp.status = result.status
        resp.content_type = falcon.MEDIA_JSON
        resp.data = result.body


def make_exception(failure: StreamFailure) -> RosemarystreamError:
    """Return the exception that answers a failed request."""
    return RosemarystreamError(
        failure.message, kind=ErrorKind(failure.kind), retry_after=failure.retry_after
    )


def describe_error(
    kind: ErrorKind, message: str, retry_after: float | None
) -> dict[str, Any]:
    """Return the JSON object that describes an error to the caller."""
    answer = ANSWERS[kind]
    return {
        "error": kind,
        "message": message,
        "execution": answer.execution,
        "retry": answer.retry,
        "retry_after_s": retry_after,
        "next_step": answer.next_step,
    }


def answer_error(
    req: falcon.Request,
    resp: falcon.Response,
    error: RosemarystreamError,
    params: dict[str, Any],
) -> None:
    """Answer an error as the table `ANSWERS` prescribes for its kind."""
    resp.status = error.answer.status
    resp.set_header(EXECUTION_HEADER, error.answer.execution)
    if error.retry_after is not None:
        resp.set_header("Retry-After", str(max(1, round(error.retry_after))))
    resp.media = describe_error(error.kind, str(error), error.retry_after)


def encode_event(frame: Token | StreamEnd | StreamFailure) -> bytes:
    """Return a frame as a server-sent event."""
    if isinstance(frame, Token):
        data = {"sequence": frame.sequence, "text": frame.text}
        return b"data: " + msgspec.json.encode(data) + b"\n\n"
    if isinstance(frame, StreamEnd):
        data = {**_describe_end(frame), "context_hint": _make_hint(frame)}
        return b"event: end\ndata: " + msgspec.json.encode(data) + b"\n\n"
    data = describe_error(ErrorKind(frame.kind), frame.message, frame.retry_after)
    return b"event: error\ndata: " + msgspec.json.encode(data) + b"\n\n"


def _describe_end(end: StreamEnd) -> dict[str, Any]:
    return {
        "tokens": end.sequence,
        "engine": end.server,
        "cached_tokens": end.cached_tokens,
        "prompt_tokens": end.prompt_tokens,
    }


def _make_hint(end: StreamEnd) -> str:
    return encode_hint(ContextHint(server=end.server, incarnation=end.incarnation))


class ReadinessResource:
    """``GET /health/ready``, the readiness probe of the platform's balancer."""

    def __init__(self, *, api: CallerApi, is_ready: Callable[[], bool]) -> None:
        self._api = api
        self._is_ready = is_ready

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer 200 while the host accepts new requests, 503 otherwise."""
        state = "ready" if self._is_ready() else "starting"
        if self._api.leaving:
            state = "leaving"
        resp.status = 200 if state == "ready" else 503
        resp.media = {"state": state}


def make_caller_app(api: CallerApi, is_ready: Callable[[], bool]) -> falcon.App:
    """Return the WSGI application of the caller address."""
    app = falcon.App()
    app.add_route("/v1/chats/{chat}/turns", TurnsResource(api=api))
    app.add_route("/v1/services/{pool}/calls", CallsResource(api=api))
    app.add_route("/health/ready", ReadinessResource(api=api, is_ready=is_ready))
    app.add_error_handler(RosemarystreamError, answer_error)
    return app
