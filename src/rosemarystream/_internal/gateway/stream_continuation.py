"""Continuation of a stream that may run only once, after its server has failed.

``docs/design/stream-backups.md`` says when one is safe.
"""

from collections.abc import Callable
from contextlib import closing

from logbook import Logger

from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.decisions.stream_backups import (
    FirstServer,
    Step,
    plan_steps,
)
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.answer_relay import AnswerRelay
from rosemarystream._internal.gateway.attempt_errors import (
    NotRunError,
    OutcomeUnknownError,
)
from rosemarystream._internal.gateway.attempt_outcomes import AttemptOutcomes
from rosemarystream._internal.gateway.attempt_sequence import AttemptSequence
from rosemarystream._internal.gateway.counted_attempt import CountedAttempt
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.request_errors import RequestEndedError
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.run_moves import RunMover, RunState
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.log_entries.requests import (
    StreamContinued,
    StreamNotContinued,
)
from rosemarystream._internal.models.route import Route

log = Logger(__name__)


class StreamContinuation:
    """Chooses the backup server of one request, and continues its stream there.

    Parameters
    ----------
    deadline : float
        Time by which the request ends.
    begin : callable
        Begins an attempt at the server of a placement.
    send : callable
        Sends the request in an attempt that was begun, naming the run to continue.
    """

    def __init__(
        self,
        *,
        call: Call,
        route: Route,
        service: str,
        deadline: float,
        attempts: AttemptSequence,
        outcomes: AttemptOutcomes,
        relay: AnswerRelay,
        router: Router,
        mover: RunMover,
        begin: Callable[[Placement], CountedAttempt],
        send: Callable[[CountedAttempt, Step], None],
        clock: Callable[[], float],
    ) -> None:
        self._call = call
        self._route = route
        self._service = service
        self._deadline = deadline
        self._attempts = attempts
        self._outcomes = outcomes
        self._relay = relay
        self._router = router
        self._backups = router.backups
        self._mover = mover
        self._begin = begin
        self._send = send
        self._clock = clock
        self._backup: Endpoint | None = None
        self._is_registered = False
        self._is_sent = False

    def choose_backup(self, first: Endpoint, level: int) -> Endpoint | None:
        """Return the server that takes the copy of a run, if it is to have one.

        Parameters
        ----------
        first : Endpoint
            The server to which the request is about to be sent.
        level : int
            Priority of the request; 0 is first.
        """
        self.close()
        if not self._backups.is_enabled:
            return None
        # Requests of other routes too: a move by the id could stop any of them.
        self._backups.table.begin_request(self._call.request_id)
        self._is_registered = True
        if not self._backups.may_have_backup(self._route, self._service):
            return None
        self._backup = self._backups.choose(self._call, first, level)
        if self._backup is not None:
            self._backups.table.add_copy(self._backup.name)
            self._router.metrics.streams_backed_up.inc()
        return self._backup

    def close(self) -> None:
        """Stop counting the request and its copy."""
        if self._is_registered:
            self._is_registered = False
            self._backups.table.end_request(self._call.request_id)
        if self._backup is not None:
            self._backups.table.remove_copy(self._backup.name)
            self._backup = None

    def run(self, broken: CountedAttempt) -> bool:
        """Continue a stream that broke; return False if it was not continued.

        Raises
        ------
        RequestEndedError
            If the continuation breaks.
        """
        if self._backup is None:
            return False
        broke_at = self._clock()
        reason = self._find_objection()
        reserved_at = self._clock()
        if not reason and not self._router.reserve_retry(self._service, reserved_at):
            reason = "the retry budget is used up"
        if reason:
            self._record_ended(broken.endpoint, FirstServer.UNKNOWN, reason)
            return False
        # Its server cancels the run, if it is alive and notices.
        broken.close()
        try:
            return self._continue(broken.endpoint, broke_at)
        finally:
            if self._is_sent:
                self._router.record_retry()
            else:
                self._router.release_retry(self._service, reserved_at)

    def _find_objection(self) -> str:
        """Return why the stream may not be continued whatever its server does."""
        if not self._backups.is_enabled:
            return "backups are switched off"
        if not self._backups.table.is_unique(self._call.request_id):
            return "another request has the same id"
        if not self._relay.can_be_continued:
            return "the caller has no event with a number last"
        if self._clock() >= self._deadline:
            return "the time is over"
        return self._attempts.find_continuation_objection(self._backup)

    def _continue(self, first: Endpoint, broke_at: float) -> bool:
        found = self._mover.stop_run(
            self._call,
            first,
            self._backup,
            may_move=self._backups.may_move(self._service),
            deadline=self._deadline,
        )
        steps = plan_steps(
            found.state,
            first=first,
            backup=self._backup,
            request_id=self._call.request_id,
            handle=found.handle,
        )
        reason = found.reason
        for step in steps:
            reason = self._make_step(step, first, found, broke_at)
            if not reason:
                return True
        self._record_ended(first, found.state, reason)
        if found.handle:
            self._mover.free_handle(first, found.handle)
        return False

    def _make_step(
        self, step: Step, first: Endpoint, found: RunState, broke_at: float
    ) -> str:
        """Continue the stream at a server; return why that has not run it, or ""."""
        if not self._backups.table.is_unique(self._call.request_id):
            return "another request has the same id"
        placement, reason = self._attempts.choose_continuation(step.endpoint)
        if placement is None:
            return reason
        with closing(self._begin(placement)) as current:
            try:
                self._send(current, step)
                head = current.attempt.read_head(self._deadline)
                if not (head.is_success and head.is_delimited):
                    raise OutcomeUnknownError(f"continued with {head.status}")
                self._record_continued(first, step, found, broke_at)
                self._relay.continue_stream(current.attempt, head)
                self._attempts.record_continued()
                return ""
            except NotRunError as error:
                self._outcomes.record_not_run(current.attempt, error)
                return str(error)
            except OutcomeUnknownError as error:
                # The server may be at work, so there is no other step.
                self._outcomes.record_unknown(current.attempt, error)
                self._record_ended(first, found.state, str(error))
                raise RequestEndedError(ErrorKind.STREAM_BROKEN, str(error)) from error
            finally:
                self._is_sent |= current.attempt.is_sent

    def _record_continued(
        self, first: Endpoint, step: Step, found: RunState, broke_at: float
    ) -> None:
        self._router.metrics.streams_continued.inc()
        entry = StreamContinued(
            request=self._call.request_id,
            first=first.name,
            server=step.endpoint.name,
            first_state=found.state,
            after=self._relay.last_event.decode("latin-1"),
            pause_ms=round((self._clock() - broke_at) * 1000, 1),
        )
        write_log_entry(log, entry)

    def _record_ended(self, first: Endpoint, state: FirstServer, reason: str) -> None:
        assert self._backup is not None
        self._router.metrics.streams_not_continued.inc()
        entry = StreamNotContinued(
            request=self._call.request_id,
            first=first.name,
            backup=self._backup.name,
            first_state=state,
            reason=reason,
        )
        write_log_entry(log, entry)
