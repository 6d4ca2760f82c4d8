"""Serves callers' requests and logs the outcome of each."""

from collections.abc import Callable

from logbook import Logger

from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.exceptions import ErrorKind, Execution
from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.crash_reporter import CrashReporter
from rosemarystream._internal.gateway.exchange import Exchange
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.request_errors import (
    HostStoppedError,
    RequestEndedError,
)
from rosemarystream._internal.gateway.request_reader import Request
from rosemarystream._internal.gateway.request_record import (
    RequestRecord,
    measure_ms_since,
)
from rosemarystream._internal.gateway.route_lookup import RouteLookup
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.gateway.unexpected_errors import (
    record_unexpected_error,
)
from rosemarystream._internal.models.endings import EndingCause, EndingNotes, ServerAct
from rosemarystream._internal.platform.headers import decode_call

log = Logger(__name__)


class Relay:
    """Serves callers' requests.

    Parameters
    ----------
    router : Router
        Chooses the servers and records whether they answer.
    blocks : PromptBlocks
        Prompt parts whose requests are rejected.
    gate : LimitGate
        Permits requests to servers that limit them.
    supervisor : Supervisor
        Runs the checks of servers that may have crashed.
    may_serve : callable
        Returns whether this host knows what it needs beside the configuration.
    """

    def __init__(
        self,
        *,
        router: Router,
        pool: ConnectionPool,
        gate: LimitGate,
        blocks: PromptBlocks,
        clock: Callable[[], float],
        supervisor: Supervisor,
        may_serve: Callable[[], bool] = lambda: True,
    ) -> None:
        self._router = router
        self._pool = pool
        self._gate = gate
        self._blocks = blocks
        self._crashes = CrashReporter(
            blocks=blocks,
            pool=pool,
            router=router,
            clock=clock,
            supervisor=supervisor,
        )
        self._routes = RouteLookup(
            replica=router.replica, clock=clock, may_serve=may_serve
        )
        self._clock = clock
        self._ends_at: float | None = None

    def end_at(self, deadline: float) -> None:
        """Refuse requests that are due later from now on, as this host stops."""
        self._ends_at = deadline

    def serve(self, request: Request, answer: AnswerWriter) -> None:
        """Serve one request and log its outcome."""
        try:
            call = decode_call(request.method, request.target, request.headers)
        except Exception as error:
            answer.end_with_failure(Execution.NOT_RUN)
            record_unexpected_error(error, metrics=self._router.metrics)
            return
        record = RequestRecord(call=call, received_at=request.received_at)
        exchange = Exchange(
            call=call,
            request=request,
            answer=answer,
            record=record,
            routes=self._routes,
            router=self._router,
            pool=self._pool,
            gate=self._gate,
            blocks=self._blocks,
            crashes=self._crashes,
            clock=self._clock,
            ends_at=self._ends_at,
        )
        outcome = "gone"
        try:
            outcome = _run(exchange, record, answer)
        except Exception as error:
            outcome = ErrorKind.INTERNAL.value
            ran = Execution.UNKNOWN if exchange.may_have_run else Execution.NOT_RUN
            answer.end_with_failure(ran)
            self._record_unexpected(record, error)
        finally:
            if not answer.is_finished:
                record.reason = record.reason or answer.fault
                answer.notes = self._make_notes(exchange, record)
            self._log_ended(record, answer, outcome)

    def _make_notes(self, exchange: Exchange, record: RequestRecord) -> EndingNotes:
        notes = EndingNotes(
            request=record.call.request_id,
            cause=record.ending_cause,
            reason=record.reason,
        )
        attempt = exchange.last_attempt
        if attempt is None:
            return notes
        return notes._replace(
            server=attempt.endpoint.name,
            act=attempt.last_act,
            quiet_ms=measure_ms_since(attempt.heard_at, self._clock),
        )

    def _record_unexpected(self, record: RequestRecord, error: Exception) -> None:
        record.ending_cause = EndingCause.ERROR
        record.reason = f"unexpected {type(error).__name__}"
        record_unexpected_error(
            error,
            metrics=self._router.metrics,
            request=record.call.request_id,
            server=record.tried[-1] if record.tried else "",
        )

    def _log_ended(
        self, record: RequestRecord, answer: AnswerWriter, outcome: str
    ) -> None:
        duration_s = self._clock() - record.received_at
        self._router.metrics.count_request(outcome, duration_s, record.first_event_s)
        if answer.is_half_closed:
            self._router.metrics.callers_half_closed.inc()
        entry = record.make_entry(
            outcome=outcome, duration_s=duration_s, answer=answer, router=self._router
        )
        write_log_entry(log, entry)


def _run(exchange: Exchange, record: RequestRecord, answer: AnswerWriter) -> str:
    """Answer a request, with its own error if need be; return the outcome."""
    try:
        return exchange.run()
    except RequestEndedError as error:
        record.reason = str(error)
        record.ending_cause = _find_cause(error, exchange)
        _send_error(answer, error)
        return error.kind.value


def _find_cause(error: RequestEndedError, exchange: Exchange) -> EndingCause:
    """Return why an answer that has begun is not completed."""
    if isinstance(error.__cause__, HostStoppedError):
        return EndingCause.HOST_STOPPED
    attempt = exchange.last_attempt
    has_closed = attempt is not None and attempt.last_act is ServerAct.CLOSED
    if exchange.is_over and not has_closed:
        return EndingCause.TIMED_OUT
    return EndingCause.SERVER_BROKE_OFF


def _send_error(answer: AnswerWriter, error: RequestEndedError) -> None:
    answer.should_reconnect |= error.should_reconnect
    if answer.has_begun:
        answer.is_closing = True
    else:
        answer.send_error(error.kind, str(error), retry_after_s=error.retry_after)
