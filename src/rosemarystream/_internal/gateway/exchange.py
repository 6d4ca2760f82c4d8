"""Handling of one caller's request: attempts, retries and the relayed answer.

A request is sent to one server after the other until one answers, the deadline
passes, or another attempt is not allowed: a request that may have run is repeated
only if its route says that it is repeatable.
"""

from collections.abc import Callable
from functools import partial
from math import inf

from logbook import Logger

from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.decisions.prompt_blocks import (
    PromptBlocks,
    hash_shared_parts,
)
from rosemarystream._internal.decisions.timeouts import (
    compute_attempt_deadline,
    compute_stall_timeout,
)
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.attempt import (
    Attempt,
    NotRunError,
    OutcomeUnknownError,
)
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.crash_reporter import CrashReporter
from rosemarystream._internal.gateway.event_stream import EventStream
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.listener import Request
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.request_errors import RequestEndedError
from rosemarystream._internal.gateway.route_lookup import RouteLookup
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.log_entries import AttemptBroken, AttemptNotRun
from rosemarystream._internal.models.route import Route
from rosemarystream._internal.platform.headers import AnswerHead
from rosemarystream._internal.utils.loop_share import LoopShare
from rosemarystream._internal.utils.server_sent_events import EventTooLongError

log = Logger(__name__)

# Answers up to this size are buffered, and relayed once they are complete.
BUFFERED_BODY_BYTES = 262_144
# Attempts per request at servers to which no connection could be made.
MAX_UNSENT_ATTEMPTS = 4
# Limited servers that are asked for a permission before all of them are passed over.
MAX_QUOTA_QUESTIONS = 4
# Statuses of answers that have no body and need no length.
NO_BODY_STATUSES = (204, 304)
SERVER_ERROR = 500
# Time from the head of an answer after which a server that still sends events counts as
# one that can answer the prompt.
SOUND_ANSWER_S = 1.0


class Exchange:
    """Handles one request with all its attempts.

    Parameters
    ----------
    answer : AnswerWriter
        Where the answer to the caller is written.
    ends_at : float or None
        Time at which this host stops; requests that may last longer are refused.
    gate : LimitGate
        Permits requests to servers that limit them.
    blocks : PromptBlocks
        Prompt parts whose requests are rejected.
    crashes : CrashReporter
        Is told of answers, and of servers that close a connection too early.

    Attributes
    ----------
    rank, priority : int
        Rank by the configuration, and the level sent to the engine; 0 is first.
    tried : list of str
        Servers in the order in which they were tried.
    sends : int
        Number of attempts that a server may have seen.
    limited : list of str
        Servers that did not permit another request at that moment.
    placement : Placement or None
        The last decision on a server.
    first_event_s : float or None
        Time until the first event of a stream, in seconds.
    """

    def __init__(
        self,
        *,
        call: Call,
        request: Request,
        answer: AnswerWriter,
        routes: RouteLookup,
        router: Router,
        pool: ConnectionPool,
        gate: LimitGate,
        blocks: PromptBlocks,
        crashes: CrashReporter,
        clock: Callable[[], float],
        ends_at: float | None,
    ) -> None:
        self.received_at = request.received_at
        self.route: Route | None = None
        self.service: str | None = None
        self.workspace: str | None = None
        self.priority = 0
        self.tried: list[str] = []
        self.sends = 0
        self.limited: list[str] = []
        self.reason = ""
        self.rank = 0
        self.placement: Placement | None = None
        self.first_event_s: float | None = None
        self._call = call
        self._body = request.body
        self._answer = answer
        self._routes = routes
        self._router = router
        self._pool = pool
        self._gate = gate
        self._blocks = blocks
        self._crashes = crashes
        self._clock = clock
        self._ends_at = ends_at
        self._shared_parts = hash_shared_parts(call.parts)
        self._loop_share = LoopShare()
        self._prefilling: Placement | None = None
        self._unsent_attempts = 0
        self._may_have_run = False
        self._stream = EventStream(last_event=call.last_event_id)
        self._failed_answer: tuple[AnswerHead, bytes] | None = None

    def run(self) -> str:
        """Serve the request and return its outcome.

        Returns
        -------
        str
            ``answered``, or ``failed`` if a server's own failure was relayed.

        Raises
        ------
        RequestEndedError
            If the request ends with an error of this host.
        """
        route, workspace = self._routes.resolve(self._call, self.received_at)
        self.route = route
        wait_s = route.timeout_s
        if self._call.wait_s is not None:
            wait_s = min(wait_s, self._call.wait_s)
        self._deadline = self.received_at + wait_s
        if self._ends_at is not None and self._deadline > self._ends_at:
            raise RequestEndedError(
                ErrorKind.LEAVING, "this host stops soon", retry_after_s=0.0
            )
        self.rank = route.rank
        if workspace is not None and workspace.rank is not None:
            self.rank = workspace.rank
        self.workspace = workspace.name if workspace else None
        self.priority = self._router.find_priority(self.rank, route).level
        service = self.service = self._router.choose_service(route, self._call)
        self._router.record_request(service)
        try:
            while True:
                outcome = self._attempt_once(route, service)
                if outcome is not None:
                    return outcome
        except RequestEndedError as error:
            if self._failed_answer is None or self._answer.has_begun:
                raise
            self.reason = str(error)
            head, body = self._failed_answer
            self._answer.send_whole(head.status, head.headers, body)
            return "failed"

    def _attempt_once(self, route: Route, service: str) -> str | None:
        now = self._clock()
        if now >= self._deadline:
            raise self._make_final_error("the time is over")
        self._check_prompt(now)
        placement = self.placement = self._choose_server(route, service)
        endpoint = placement.endpoint
        attempt = Attempt(
            call=self._call,
            endpoint=endpoint,
            pool=self._pool,
            clock=self._clock,
            on_head=partial(self._router.record_limit, endpoint),
        )
        self.tried.append(endpoint.name)
        self._router.begin(endpoint)
        self._router.begin_prefill(placement, self._call)
        self._prefilling = placement
        try:
            outcome = self._run_attempt(attempt, route)
            self.sends += 1
            return outcome
        except NotRunError as error:
            self._record_not_run(attempt, error)
            self._check_retry(route, service, sent=error.sent, reason=str(error))
        except OutcomeUnknownError as error:
            self._record_unknown_outcome(attempt, error)
            self._check_retry(route, service, sent=True, reason=str(error))
        finally:
            attempt.close()
            self._end_prefill()
            self._router.end(endpoint)
        return None

    def _choose_server(self, route: Route, service: str) -> Placement:
        """Return a server that may be sent the request now.

        Raises
        ------
        RequestEndedError
            If there is none.
        """
        limited: list[str] = []
        while True:
            placement = self._router.place(
                route,
                service,
                self._call,
                rank=self.rank,
                exclude=[*self.tried, *limited],
            )
            if placement is None:
                raise self._make_unplaced_error(service)
            if self._gate.admit(placement.endpoint):
                return placement
            self._router.metrics.limit_refusals.inc()
            self.limited.append(placement.endpoint.name)
            limited.append(placement.endpoint.name)
            if len(limited) >= MAX_QUOTA_QUESTIONS:
                limited = self._router.list_limited(service)

    def _make_unplaced_error(self, service: str) -> RequestEndedError:
        wait_s = self._router.measure_limit_wait(service, exclude=self.tried)
        if wait_s is None:
            # The caller should reconnect: another host may reach what this one can't.
            self._answer.is_closing = True
            return self._make_final_error(f"no server of {service} can be reached")
        if self._may_have_run:
            return self._make_final_error(f"the servers of {service} take no more")
        return RequestEndedError(
            ErrorKind.OVERLOADED,
            f"the servers of {service} limit their requests",
            retry_after_s=max(wait_s, self._router.suggest_retry_after()),
        )

    def _check_prompt(self, now: float) -> None:
        """Check that servers don't crash on a part of the prompt.

        Raises
        ------
        RequestEndedError
            If they do.
        """
        blocked = self._blocks.find_blocked(self._shared_parts, now)
        if blocked is None:
            return
        name = self._call.parts[self._shared_parts.index(blocked)].name
        reason = f"servers crash on the prompt part {name}"
        if self._may_have_run:
            raise self._make_final_error(reason)
        raise RequestEndedError(
            ErrorKind.BLOCKED_PROMPT,
            reason,
            retry_after_s=self._blocks.measure_left(blocked, now),
        )

    def _record_first_event(self) -> None:
        self._end_prefill()
        if self.first_event_s is None:
            self.first_event_s = self._clock() - self.received_at

    def _end_prefill(self) -> None:
        if self._prefilling is not None:
            self._router.end_prefill(self._prefilling)
            self._prefilling = None

    def _record_not_run(self, attempt: Attempt, error: NotRunError) -> None:
        entry = AttemptNotRun(
            request=self._call.request_id,
            server=attempt.endpoint.name,
            sent=error.sent,
            reason=str(error),
        )
        write_log_entry(log, entry)
        if error.sent:
            self.sends += 1
            self._router.record_rejected(attempt.endpoint)
        else:
            self._unsent_attempts += 1
            self._router.record_unreachable(attempt.endpoint)

    def _record_unknown_outcome(
        self, attempt: Attempt, error: OutcomeUnknownError
    ) -> None:
        entry = AttemptBroken(
            request=self._call.request_id,
            server=attempt.endpoint.name,
            reused=attempt.reused,
            silent=error.silent,
            unreachable=error.unreachable,
            closed=error.closed,
            left_early=error.silent and self._clock() < self._deadline,
            quiet_ms=self._measure_ms_since(attempt.heard_at),
            answering_ms=self._measure_ms_since(attempt.begun_at),
            prompt=self._call.format_prompt(),
            reason=str(error),
        )
        write_log_entry(log, entry)
        if error.closed:
            self._router.metrics.answers_closed.inc()
            self._crashes.report_closed(
                attempt.endpoint, self._call, self._shared_parts
            )
        self.sends += 1
        self._may_have_run = True
        if error.unreachable:
            self._router.record_unreachable(attempt.endpoint)
        else:
            self._router.record_outcome(attempt.endpoint, failed=True)

    def _measure_ms_since(self, time: float | None) -> float | None:
        return None if time is None else round((self._clock() - time) * 1000, 1)

    def _check_retry(
        self, route: Route, service: str, *, sent: bool, reason: str
    ) -> None:
        """Check that another attempt is allowed.

        Raises
        ------
        RequestEndedError
            If it is not: the final error of the request.
        """
        if self._may_have_run and not route.is_repeatable:
            raise self._make_final_error(reason)
        if not sent:
            if self._unsent_attempts >= MAX_UNSENT_ATTEMPTS:
                raise self._make_final_error(reason)
            return
        if self.sends >= route.max_attempts:
            raise self._make_final_error(reason)
        if not self._router.take_retry(service):
            raise self._make_final_error(f"{reason}; the retry budget is used up")

    def _make_final_error(self, reason: str) -> RequestEndedError:
        is_over = self._clock() >= self._deadline
        if self._may_have_run:
            kind = ErrorKind.TIMED_OUT if is_over else ErrorKind.OUTCOME_UNKNOWN
            return RequestEndedError(kind, reason)
        return RequestEndedError(
            ErrorKind.NO_BACKEND,
            reason,
            retry_after_s=self._router.suggest_retry_after(),
        )

    # One attempt

    def _run_attempt(self, attempt: Attempt, route: Route) -> str | None:
        has_more_attempts = self.sends + 1 < route.max_attempts
        attempt.send(
            self._body,
            deadline=self._deadline,
            workspace=self.workspace,
            level=self.priority,
            last_event_id=self._stream.last_event,
            source=self._find_source(),
        )
        attempt_deadline = compute_attempt_deadline(
            route,
            now=self._clock(),
            deadline=self._deadline,
            more_attempts=has_more_attempts,
        )
        head = attempt.read_head(attempt_deadline)
        self._router.record_answer(attempt.endpoint, slowness=head.slowness)
        failed = head.status >= SERVER_ERROR
        if failed and has_more_attempts and route.is_repeatable:
            # Relayed to the caller if no later attempt succeeds.
            body = attempt.read_body(self._deadline, max_bytes=BUFFERED_BODY_BYTES)
            self._failed_answer = (head, body)
            raise OutcomeUnknownError(f"failed with {head.status}")
        if head.is_event_stream and head.is_success:
            return self._relay_events(attempt, head, route)
        if self._answer.has_begun:
            raise OutcomeUnknownError("a stream can't go on as an answer")
        return self._relay_body(attempt, head)

    def _find_source(self) -> str | None:
        assert self.placement is not None
        source = self.placement.source
        return source.address if source else None

    def _relay_body(self, attempt: Attempt, head: AnswerHead) -> str:
        pieces: list[bytes] = []
        size = 0
        while (piece := attempt.read_piece(self._deadline)) is not None:
            pieces.append(piece)
            size += len(piece)
            if size > BUFFERED_BODY_BYTES:
                return self._relay_long_body(attempt, head, b"".join(pieces))
        if not pieces and self._lacks_end(head):
            # A server that crashes after the head ends its answer in the same way.
            raise OutcomeUnknownError("the answer ended before its body", closed=True)
        self._record_answered(attempt, head, failed=head.status >= SERVER_ERROR)
        self._answer.send_whole(head.status, head.headers, b"".join(pieces))
        return "answered"

    def _lacks_end(self, head: AnswerHead) -> bool:
        """Return whether only the end of the connection shows that of a body."""
        has_body = self._call.method != b"HEAD" and head.status not in NO_BODY_STATUSES
        return has_body and not head.is_delimited

    def _relay_long_body(
        self, attempt: Attempt, head: AnswerHead, received: bytes
    ) -> str:
        self._answer.send_head(head.status, head.headers)
        self._answer.send_piece(received)
        try:
            while (piece := attempt.read_piece(self._deadline)) is not None:
                self._answer.send_piece(piece)
        except OutcomeUnknownError as error:
            self._record_unknown_outcome(attempt, error)
            raise RequestEndedError(ErrorKind.STREAM_BROKEN, str(error)) from error
        self._answer.end()
        self._record_answered(attempt, head)
        return "answered"

    def _record_answered(
        self, attempt: Attempt, head: AnswerHead, *, failed: bool = False
    ) -> None:
        """Record that an answer has ended as it should."""
        self._router.record_outcome(attempt.endpoint, failed=failed)
        if head.is_delimited:
            self._crashes.record_answer(self._call, self._shared_parts)
        else:
            self._crashes.report_ended(attempt.endpoint, self._call, self._shared_parts)

    def _relay_events(self, attempt: Attempt, head: AnswerHead, route: Route) -> str:
        self._stream.begin_attempt()
        stall_s = compute_stall_timeout(route)
        stalled_at = self._clock() + stall_s
        sound_at = self._clock() + SOUND_ANSWER_S
        while True:
            events = self._read_events(attempt, route, stalled_at)
            if events is None:
                break
            self._record_first_event()
            # Only events that the caller gets are progress, not any bytes.
            if self._relay_all(events, head):
                stalled_at = self._clock() + stall_s
                if self._clock() >= sound_at:
                    self._crashes.record_answer(self._call, self._shared_parts)
                    sound_at = inf
        self._stream.check_end(is_delimited=head.is_delimited)
        if not self._answer.has_begun:
            self._answer.send_head(head.status, head.headers)
        self._answer.end()
        self._record_answered(attempt, head)
        return "answered"

    def _read_events(
        self, attempt: Attempt, route: Route, stalled_at: float
    ) -> list[bytes] | None:
        """Return the events that the next piece completes, or None at the end."""
        attempt_deadline = self._deadline
        if route.resumable:
            attempt_deadline = min(attempt_deadline, stalled_at)
        try:
            piece = attempt.read_piece(attempt_deadline)
            return None if piece is None else self._stream.split(piece)
        except OutcomeUnknownError as error:
            self._check_resumable(attempt, error, route)
            raise
        except EventTooLongError as error:
            unknown = OutcomeUnknownError(str(error))
            self._check_resumable(attempt, unknown, route)
            raise unknown from error

    def _check_resumable(
        self, attempt: Attempt, error: OutcomeUnknownError, route: Route
    ) -> None:
        """Check that a stream that broke may go on at another server.

        Raises
        ------
        RequestEndedError
            If it may not.
        """
        if route.resumable or not self._answer.has_begun:
            return
        self._record_unknown_outcome(attempt, error)
        raise RequestEndedError(ErrorKind.STREAM_BROKEN, str(error)) from error

    def _relay_all(self, events: list[bytes], head: AnswerHead) -> bool:
        """Relay events; return False if the caller has all of them already."""
        is_progress = False
        for event in events:
            # One piece may hold thousands of short events.
            self._loop_share.take_step()
            is_progress |= self._relay_event(event, head)
        return is_progress

    def _relay_event(self, event: bytes, head: AnswerHead) -> bool:
        """Relay an event; return False if the caller has it already."""
        if not self._stream.accept(event):
            return False
        if not self._answer.has_begun:
            self._answer.send_head(head.status, head.headers)
        self._answer.send_piece(event)
        return True
