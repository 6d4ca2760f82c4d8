"""Passes the answer of one attempt on to the caller."""

from collections.abc import Callable, Iterator
from math import inf

from rosemarystream._internal.decisions.caller_budget import SMALL_BYTES
from rosemarystream._internal.decisions.timeouts import compute_stall_timeout
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.answer_writer import (
    AnswerWriter,
    CallerDisconnectedError,
)
from rosemarystream._internal.gateway.attempt import Attempt
from rosemarystream._internal.gateway.attempt_errors import OutcomeUnknownError
from rosemarystream._internal.gateway.crash_reporter import CrashReporter
from rosemarystream._internal.gateway.event_stream import EventStream
from rosemarystream._internal.gateway.request_errors import RequestEndedError
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.route import Route
from rosemarystream._internal.platform.headers import AnswerHead
from rosemarystream._internal.utils.loop_share import LoopShare
from rosemarystream._internal.utils.server_sent_events import EventTooLongError

# Statuses of answers that have no body and need no length.
NO_BODY_STATUSES = (204, 304)
SERVER_ERROR = 500
# Time from the head of an answer after which a server that still sends events counts as
# one that can answer the prompt.
SOUND_ANSWER_S = 1.0


class AnswerRelay:
    """Relays answers of servers to one request.

    Parameters
    ----------
    shared_parts : tuple of int
        Numbers of the shared parts of the request's prompt.
    deadline : float
        Time by which the request ends.
    crashes : CrashReporter
        Is told of answers that are complete.
    on_event : callable
        Called when an event of a stream has arrived.
    on_progress : callable
        Called before a part of an answer is passed on.
    leave_unresponsive : callable
        Called while a server is unresponsive; returns whether it is left.
    has_other : callable
        Returns whether another server has the request beside this one.
    """

    def __init__(
        self,
        *,
        call: Call,
        route: Route,
        shared_parts: tuple[int, ...],
        deadline: float,
        answer: AnswerWriter,
        router: Router,
        crashes: CrashReporter,
        clock: Callable[[], float],
        on_event: Callable[[], None],
        on_progress: Callable[[], None],
        leave_unresponsive: Callable[[], bool],
        has_other: Callable[[], bool],
    ) -> None:
        self._call = call
        self._route = route
        self._shared_parts = shared_parts
        self._deadline = deadline
        self._answer = answer
        self._router = router
        self._crashes = crashes
        self._clock = clock
        self._on_event = on_event
        self._on_progress = on_progress
        self._leave_unresponsive = leave_unresponsive
        self._has_other = has_other
        self._stream = EventStream(last_event=call.last_event_id)
        self._loop_share = LoopShare()
        self._stall_timeout_s = compute_stall_timeout(route)
        self._stalled_at = 0.0

    @property
    def last_event(self) -> bytes:
        """Identifier of the last event that the caller has, or empty."""
        return self._stream.last_event

    def relay(self, attempt: Attempt, head: AnswerHead) -> None:
        """Relay an answer to its end.

        Raises
        ------
        OutcomeUnknownError
            If the answer is not complete, and another attempt may follow.
        RequestEndedError
            If it breaks off after the caller's answer has begun, for good.
        CallerDisconnectedError
            If it breaks off because the caller has not read it.
        """
        try:
            if head.is_event_stream and head.is_success:
                self._relay_events(attempt, head)
            elif self._answer.has_begun:
                raise OutcomeUnknownError("a stream can't go on as an answer")
            else:
                self._relay_body(attempt, head)
        except OutcomeUnknownError as error:
            if not self._answer.was_blocked:
                raise
            # Servers cut off what isn't read; this one is not to blame.
            self._answer.fault = f"the caller read too slowly: {error}"
            raise CallerDisconnectedError(self._answer.fault) from error

    def _relay_body(self, attempt: Attempt, head: AnswerHead) -> None:
        pieces: list[bytes] = []
        size = 0
        while (piece := attempt.read_piece(self._deadline)) is not None:
            pieces.append(piece)
            size += len(piece)
            if size > SMALL_BYTES:
                self._answer.hold(size)
                if size > self._answer.buffer_bytes:
                    self.relay_long(attempt, head, pieces)
                    return
        if not pieces and self._lacks_end(head):
            # A server that crashes after the head ends its answer in the same way.
            raise OutcomeUnknownError("the answer ended before its body", closed=True)
        self._record_answered(attempt, head, failed=head.status >= SERVER_ERROR)
        self._on_progress()
        body = b"".join(pieces)
        # Otherwise a caller that reads slowly keeps two copies.
        pieces.clear()
        self._answer.send_whole(head.status, head.headers, body)

    def _lacks_end(self, head: AnswerHead) -> bool:
        """Return whether only the end of the connection shows that of a body."""
        has_body = self._call.method != b"HEAD" and head.status not in NO_BODY_STATUSES
        return has_body and not head.is_delimited

    def relay_long(
        self, attempt: Attempt, head: AnswerHead, pieces: list[bytes]
    ) -> None:
        """Relay an answer without a stream, of which some pieces have been received.

        The list is emptied, so that they are not kept until the answer ends.
        """
        self._on_progress()
        self._answer.send_head(head.status, head.headers)
        for piece in pieces:
            self._answer.send_piece(piece)
        pieces.clear()
        self._answer.hold(0)
        while (piece := attempt.read_piece(self._deadline)) is not None:
            self._answer.send_piece(piece)
        self._answer.end()
        self._record_answered(attempt, head, failed=head.status >= SERVER_ERROR)

    def _record_answered(
        self, attempt: Attempt, head: AnswerHead, *, failed: bool = False
    ) -> None:
        """Record that an answer has ended as it should."""
        self._router.record_outcome(attempt.endpoint, failed=failed)
        if head.is_delimited:
            self._crashes.record_answer(self._call, self._shared_parts)
        else:
            self._crashes.report_ended(attempt.endpoint, self._call, self._shared_parts)

    def _relay_events(self, attempt: Attempt, head: AnswerHead) -> None:
        self._stream.begin_attempt()
        self._expect_progress()
        sound_at = self._clock() + SOUND_ANSWER_S
        while (piece := self._read_piece(attempt)) is not None:
            events = self._split(piece)
            self._on_event()
            # Only events that the caller gets are progress, not any bytes.
            if self._relay_all(events, head):
                self._expect_progress()
                if self._clock() >= sound_at:
                    self._crashes.record_answer(self._call, self._shared_parts)
                    sound_at = inf
            # Counts what is left of an event, and nothing once it is whole.
            self._answer.hold(self._stream.pending_bytes)
        self._stream.check_end(is_delimited=head.is_delimited)
        if not self._answer.has_begun:
            self._answer.send_head(head.status, head.headers)
        self._answer.end()
        self._record_answered(attempt, head)

    def _expect_progress(self) -> None:
        self._stalled_at = self._clock() + self._stall_timeout_s

    def _read_piece(self, attempt: Attempt) -> bytes | None:
        """Return the next piece; a stalled stream is left if it can go on elsewhere."""
        if not self._is_resumable():
            return attempt.read_piece(self._deadline)
        while True:
            # Beside another server only what has arrived is read: that one may begin.
            look_at = self._clock() if self._has_other() else self._stalled_at
            try:
                return attempt.read_piece(min(self._deadline, look_at))
            except OutcomeUnknownError as error:
                if not error.silent or self._leave_unresponsive():
                    raise
                self._expect_progress()

    def _split(self, piece: bytes) -> Iterator[bytes]:
        try:
            return self._stream.split(piece)
        except EventTooLongError as error:
            raise OutcomeUnknownError(str(error)) from error

    def _relay_all(self, events: Iterator[bytes], head: AnswerHead) -> bool:
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
        self._on_progress()
        if not self._answer.has_begun:
            self._answer.send_head(head.status, head.headers)
        self._answer.send_piece(event)
        return True

    def check_resumable(self, reason: str) -> None:
        """Check that an answer that broke off may go on at another server.

        Raises
        ------
        RequestEndedError
            If it may not.
        """
        is_resumable = self._stream.has_begun and self._is_resumable()
        if self._answer.has_begun and not is_resumable:
            raise RequestEndedError(ErrorKind.STREAM_BROKEN, reason)

    def _is_resumable(self) -> bool:
        """Return whether another server may go on after the events so far."""
        return self._route.resumable and self._stream.can_continue
