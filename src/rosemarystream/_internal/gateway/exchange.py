"""Handling of one caller's request: attempts, retries and the relayed answer.

A request is sent to one server after the other until one answers, the deadline
passes, or another attempt is not allowed.
"""

from collections.abc import Callable
from contextlib import closing
from functools import partial

from rosemarystream._internal.decisions.caller_budget import SMALL_BYTES
from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.prompt_parts import hash_shared_parts
from rosemarystream._internal.decisions.timeouts import compute_attempt_deadline
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.answer_relay import (
    SERVER_ERROR,
    AnswerRelay,
)
from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.attempt import Attempt
from rosemarystream._internal.gateway.attempt_errors import (
    NotRunError,
    OutcomeUnknownError,
)
from rosemarystream._internal.gateway.attempt_outcomes import AttemptOutcomes
from rosemarystream._internal.gateway.attempt_sequence import AttemptSequence
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.counted_attempt import CountedAttempt
from rosemarystream._internal.gateway.crash_reporter import CrashReporter
from rosemarystream._internal.gateway.failover import Failover
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.request_errors import (
    HostStoppedError,
    RequestEndedError,
)
from rosemarystream._internal.gateway.request_reader import Request
from rosemarystream._internal.gateway.request_record import RequestRecord
from rosemarystream._internal.gateway.route_lookup import RouteLookup
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.route import Route
from rosemarystream._internal.platform.headers import AnswerHead
from rosemarystream._internal.utils.http_connection import ClientConnection


class Exchange:
    """Handles one request with all its attempts.

    Parameters
    ----------
    answer : AnswerWriter
        Where the answer to the caller is written.
    record : RequestRecord
        Takes what is logged of the request.
    ends_at : float or None
        Time at which this host stops; requests that may last longer are refused.
    gate : LimitGate
        Permits requests to servers that limit them.
    blocks : PromptBlocks
        Prompt parts whose requests are rejected.
    crashes : CrashReporter
        Is told of answers, and of servers that close a connection too early.
    """

    def __init__(
        self,
        *,
        call: Call,
        request: Request,
        answer: AnswerWriter,
        record: RequestRecord,
        routes: RouteLookup,
        router: Router,
        pool: ConnectionPool,
        gate: LimitGate,
        blocks: PromptBlocks,
        crashes: CrashReporter,
        clock: Callable[[], float],
        ends_at: float | None,
    ) -> None:
        self._call = call
        self._body = request.body
        self._answer = answer
        self._record = record
        self._routes = routes
        self._router = router
        self._pool = pool
        self._gate = gate
        self._blocks = blocks
        self._crashes = crashes
        self._clock = clock
        self._ends_at = ends_at
        self._shared_parts = hash_shared_parts(call.parts)
        self._attempts: AttemptSequence | None = None
        self._current: CountedAttempt | None = None
        self._failover: Failover | None = None
        self._used_connections: list[ClientConnection] = []
        self._relay: AnswerRelay | None = None
        self._failed_answer: tuple[AnswerHead, bytes] | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request."""
        return self._attempts is not None and self._attempts.may_have_run

    @property
    def is_over(self) -> bool:
        """Whether the time of the request is over."""
        return self._attempts is not None and self._clock() >= self._deadline

    @property
    def last_attempt(self) -> Attempt | None:
        """The last attempt, but for one that is made beside it."""
        return None if self._current is None else self._current.attempt

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
        try:
            self._serve()
            return "answered"
        except RequestEndedError as error:
            if self._failed_answer is None or self._answer.has_begun:
                raise
            self._record.reason = str(error)
            self._answer.should_reconnect |= error.should_reconnect
            head, body = self._failed_answer
            self._answer.send_whole(head.status, head.headers, body)
            return "failed"
        finally:
            # They call back: the cycles would keep all buffers until a collection.
            self._relay = self._failover = None

    def _serve(self) -> None:
        try:
            self._resolve()
            self._router.record_request(self._service)
            while not self._attempt_once():
                pass
        except HostStoppedError as error:
            raise self._make_stopped_error() from error
        finally:
            if self._failover is not None:
                self._failover.close()

    def _make_stopped_error(self) -> RequestEndedError:
        """Return the error of a request that this host ends because it stops."""
        if self._attempts is not None and self._attempts.may_have_run:
            return self._attempts.make_final_error("this host stops")
        return RequestEndedError(
            ErrorKind.LEAVING, "this host stops", retry_after_s=0.0
        )

    def _resolve(self) -> None:
        """Find out where the request belongs, and until when it may last.

        Raises
        ------
        RequestEndedError
            If it isn't allowed, or may last longer than this host.
        """
        record = self._record
        route, workspace = self._routes.resolve(self._call, record.received_at)
        self._route = record.route = route
        self._deadline = self._answer.deadline = self._compute_deadline(route)
        record.rank = route.rank
        if workspace is not None and workspace.rank is not None:
            record.rank = workspace.rank
        record.workspace = workspace.name if workspace else None
        record.priority = self._router.find_priority(record.rank, route).level
        self._service = record.service = self._router.choose_service(route, self._call)
        self._attempts = AttemptSequence(
            record=record,
            route=route,
            service=self._service,
            shared_parts=self._shared_parts,
            deadline=self._deadline,
            router=self._router,
            gate=self._gate,
            blocks=self._blocks,
            clock=self._clock,
        )
        self._outcomes = AttemptOutcomes(
            call=self._call,
            shared_parts=self._shared_parts,
            deadline=self._deadline,
            attempts=self._attempts,
            router=self._router,
            crashes=self._crashes,
            clock=self._clock,
        )
        self._failover = Failover(
            route=route,
            deadline=self._deadline,
            attempts=self._attempts,
            outcomes=self._outcomes,
            begin=self._begin_attempt,
            send=self._send,
            clock=self._clock,
        )
        self._relay = AnswerRelay(
            call=self._call,
            route=route,
            shared_parts=self._shared_parts,
            deadline=self._deadline,
            answer=self._answer,
            router=self._router,
            crashes=self._crashes,
            clock=self._clock,
            on_event=self._record_first_event,
            on_progress=self._failover.give_up_other,
            leave_unresponsive=self._leave_unresponsive,
            has_other=lambda: self._failover.has_other,
        )

    def _compute_deadline(self, route: Route) -> float:
        wait_s = route.timeout_s
        if self._call.wait_s is not None:
            wait_s = min(wait_s, self._call.wait_s)
        deadline = self._record.received_at + wait_s
        if self._ends_at is not None and deadline > self._ends_at:
            raise RequestEndedError(
                ErrorKind.LEAVING, "this host stops soon", retry_after_s=0.0
            )
        return deadline

    def _attempt_once(self) -> bool:
        """Make the next attempt; return whether the request is answered."""
        self._current = self._failover.take_other()
        if self._current is None:
            self._current = self._begin_attempt(self._attempts.choose_next())
        with closing(self._current) as current:
            return self._complete(current)

    def _begin_attempt(self, placement: Placement) -> CountedAttempt:
        attempt = Attempt(
            call=self._call,
            endpoint=placement.endpoint,
            pool=self._pool,
            clock=self._clock,
            on_head=partial(self._router.statements.record, placement.endpoint),
            used_connections=self._used_connections,
            find_objection=partial(self._attempts.find_objection, placement.endpoint),
            send_by=placement.send_by,
        )
        counted = CountedAttempt(
            attempt=attempt, placement=placement, router=self._router
        )
        try:
            counted.begin()
        except Exception:
            counted.close()
            raise
        return counted

    def _complete(self, current: CountedAttempt) -> bool:
        """Make an attempt and record how it ends; return whether it is the last."""
        try:
            self._run_attempt(current)
            self._failover.give_up_other()
            self._record.sends += 1
            return True
        except NotRunError as error:
            self._outcomes.record_not_run(current.attempt, error)
            if not self._failover.has_other:
                self._attempts.check_retry(sent=error.sent, reason=str(error))
        except OutcomeUnknownError as error:
            self._outcomes.record_unknown(current.attempt, error)
            if not self._failover.has_other:
                self._relay.check_resumable(str(error))
                self._attempts.check_retry(sent=True, reason=str(error))
        except (Exception, HostStoppedError):
            self._attempts.may_have_run |= current.attempt.is_sent
            raise
        return False

    def _run_attempt(self, current: CountedAttempt) -> None:
        attempt = current.attempt
        head = current.head
        if head is None:
            if not attempt.is_sent:
                self._send(current)
            head = self._read_head(attempt)
        self._router.record_answer(attempt.endpoint, slowness=head.slowness)
        if head.promises_not_run and not self._route.is_repeatable:
            # The server may have run it: the caller would repeat what must run once.
            attempt.discard_answer(self._deadline)
            raise OutcomeUnknownError(f"failed with {head.status}, and may have run it")
        if head.status >= SERVER_ERROR and self._attempts.may_repeat:
            self._relay_or_keep_failure(attempt, head)
        else:
            self._relay.relay(attempt, head)

    def _send(self, current: CountedAttempt) -> None:
        source = current.placement.source
        current.attempt.send(
            self._body,
            deadline=self._deadline,
            workspace=self._record.workspace,
            level=self._record.priority,
            last_event_id=self._relay.last_event,
            source=source.address if source else None,
        )

    def _relay_or_keep_failure(self, attempt: Attempt, head: AnswerHead) -> None:
        """Keep a failure, for the caller if no better answer follows.

        One that is too long to be kept is relayed at once.
        """
        body, is_whole = attempt.read_start(
            self._deadline, max_bytes=self._answer.buffer_bytes
        )
        if not is_whole and not self._answer.has_begun:
            pieces = [body]
            del body
            self._relay.relay_long(attempt, head, pieces)
            return
        if is_whole:
            self._failed_answer = (head, body)
            if len(body) > SMALL_BYTES:
                self._answer.hold(len(body))
        raise OutcomeUnknownError(f"failed with {head.status}")

    def _read_head(self, attempt: Attempt) -> AnswerHead:
        """Return the head of the answer; an unresponsive server may be left.

        It gets its time once more if this host was late while it waited.
        """
        may_extend = True
        while True:
            began_at = self._clock()
            try:
                return attempt.read_head(self._compute_look_time())
            except OutcomeUnknownError as error:
                if not error.silent:
                    raise
                if may_extend and self._attempts.withhold_silence(
                    attempt.endpoint, began_at
                ):
                    may_extend = False
                    continue
                if self._leave_unresponsive():
                    raise

    def _compute_look_time(self) -> float:
        """Return when a server without a head counts as unresponsive.

        At once beside another server, which may begin: only what has arrived is read.
        """
        now = self._clock()
        if self._failover.has_other:
            return min(now, self._deadline)
        return compute_attempt_deadline(
            self._route,
            now=now,
            deadline=self._deadline,
            more_attempts=self._attempts.may_repeat,
        )

    def _leave_unresponsive(self) -> bool:
        return self._failover.leave(self._current.attempt)

    def _record_first_event(self) -> None:
        self._current.end_prefill()
        if self._record.first_event_s is None:
            self._record.first_event_s = self._clock() - self._record.received_at
