"""Records how the attempts of a request end, unless they answer it."""

from collections.abc import Callable

from logbook import Logger

from rosemarystream._internal.gateway.attempt import Attempt
from rosemarystream._internal.gateway.attempt_errors import (
    NotRunError,
    OutcomeUnknownError,
)
from rosemarystream._internal.gateway.attempt_sequence import AttemptSequence
from rosemarystream._internal.gateway.crash_reporter import CrashReporter
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.request_record import measure_ms_since
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endings import ServerAct
from rosemarystream._internal.models.log_entries.requests import (
    AttemptBroken,
    AttemptNotRun,
)

log = Logger(__name__)


class AttemptOutcomes:
    """Records outcomes in the log, in the health of servers and among the attempts.

    Parameters
    ----------
    shared_parts : tuple of int
        Numbers of the shared parts of the request's prompt.
    deadline : float
        Time by which the request ends.
    crashes : CrashReporter
        Is told of servers that close a connection too early.
    """

    def __init__(
        self,
        *,
        call: Call,
        shared_parts: tuple[int, ...],
        deadline: float,
        attempts: AttemptSequence,
        router: Router,
        crashes: CrashReporter,
        clock: Callable[[], float],
    ) -> None:
        self._call = call
        self._shared_parts = shared_parts
        self._deadline = deadline
        self._attempts = attempts
        self._router = router
        self._crashes = crashes
        self._clock = clock

    def record_not_run(self, attempt: Attempt, error: NotRunError) -> None:
        """Record that a server certainly has not run the request."""
        self._attempts.record_not_run(sent=error.sent)
        if error.sent:
            attempt.last_act = ServerAct.REFUSED
        entry = AttemptNotRun(
            request=self._call.request_id,
            server=attempt.endpoint.name,
            sent=error.sent,
            reason=str(error),
            withheld=error.withheld,
        )
        write_log_entry(log, entry)
        if error.sent:
            self._router.record_rejected(attempt.endpoint)
        elif error.is_late:
            self._router.metrics.permissions_lapsed.inc()
        elif not error.withheld:
            self._router.record_unreachable(
                attempt.endpoint, is_refused=error.is_refused
            )

    def record_unknown(self, attempt: Attempt, error: OutcomeUnknownError) -> None:
        """Record that a server may have run the request, without a whole answer."""
        self._attempts.record_unknown_outcome()
        attempt.last_act = _find_last_act(error)
        self._log_broken(attempt, error)
        if error.closed:
            self._router.metrics.answers_closed.inc()
            self._router.record_closed(attempt.endpoint, self._clock())
            self._crashes.report_closed(
                attempt.endpoint, self._call, self._shared_parts
            )
        if error.unreachable:
            self._router.record_unreachable(attempt.endpoint)
        else:
            self._router.record_outcome(attempt.endpoint, failed=True)

    def record_not_needed(self, attempt: Attempt, reason: str) -> None:
        """Record that an attempt was given up through no fault of its server."""
        self._attempts.record_unknown_outcome()
        self._log_broken(attempt, OutcomeUnknownError(reason))

    def _log_broken(self, attempt: Attempt, error: OutcomeUnknownError) -> None:
        entry = AttemptBroken(
            request=self._call.request_id,
            server=attempt.endpoint.name,
            reused=attempt.reused,
            silent=error.silent,
            unreachable=error.unreachable,
            closed=error.closed,
            left_early=error.silent and self._clock() < self._deadline,
            quiet_ms=measure_ms_since(attempt.heard_at, self._clock),
            answering_ms=measure_ms_since(attempt.begun_at, self._clock),
            prompt=self._call.format_prompt(),
            reason=str(error),
        )
        write_log_entry(log, entry)


def _find_last_act(error: OutcomeUnknownError) -> ServerAct:
    if error.closed:
        return ServerAct.CLOSED
    if error.unreachable:
        return ServerAct.UNREACHABLE
    return ServerAct.UNRESPONSIVE if error.silent else ServerAct.FAULTY
