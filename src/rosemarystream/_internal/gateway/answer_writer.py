"""Answers to callers: complete ones, streamed ones and errors."""

from collections.abc import Callable

import h11
import msgspec
from gevent import socket
from gevent.socket import wait_write

from rosemarystream._internal.exceptions import ANSWERS, ErrorKind, Execution
from rosemarystream._internal.gateway.caller_resources import CallerHoldings
from rosemarystream._internal.models.call import Headers
from rosemarystream._internal.models.endings import NO_NOTES, AnswerProgress
from rosemarystream._internal.platform.headers import encode_retry_after
from rosemarystream._internal.utils.remainder_sender import send_some
from rosemarystream._internal.utils.socket_options import reset_on_close

# Start of each answer's status line.
STATUS_LINE_START = b"HTTP/1.1 "
# Time in which a caller has to take in a whole answer, and each piece of a stream or a
# long answer. Servers cut off an answer that is not read for some seconds.
WRITE_TIMEOUT_S = 15.0
PIECE_TIMEOUT_S = 5.0
# Time for the rest of an answer that is still being sent when its time is over.
LATE_WRITE_S = 1.0
# A write that waited for this time may have made the server cut the answer off, which
# shows once what the kernel holds of the answer has been read.
BLOCKED_S = 1.0
CUT_OFF_S = 5.0
# Bodies above this are sent without being copied behind their heads.
COPIED_BODY_BYTES = 16_384
# First version of HTTP whose callers can be sent a body in chunks.
CHUNKS_VERSION = b"1.1"


class CallerDisconnectedError(BaseException):
    """The caller has closed its connection, or doesn't read.

    Not an `Exception`, so that no handler of failed attempts catches it.
    """


class AnswerWriter:
    """Writes the answer to one request.

    Parameters
    ----------
    has_body : bool
        Whether the answer may have a body, as none to a HEAD request has.
    is_closing : bool
        Whether the connection is closed after this answer.
    is_leaving : callable
        Returns whether the host is shutting down, so that every connection is
        closed after its answer.
    has_next : callable
        Returns whether another whole request was sent together with this one; then
        the connection is closed after that one's answer instead.

    Attributes
    ----------
    should_reconnect : bool
        Whether the caller should send its next request on another connection.
    status : int
        Status that was sent; 0 before the head is sent.
    has_begun : bool
        Whether a part may have been sent, so that no other answer can follow.
    is_finished : bool
        Whether the answer has been sent completely.
    is_half_closed : bool
        Whether the caller has closed its sending side, as `DisconnectWatch` sets it.
    is_by_host : bool
        Whether it is this host's own answer, not one of a server.
    notes : EndingNotes
        What the handler knows of an ending without a whole answer.
    deadline : float or None
        Time until which the caller wants the answer.
    fault : str
        What the caller did wrong with its answer, as text for operators.
    """

    def __init__(
        self,
        *,
        connection: socket.socket,
        protocol: h11.Connection,
        holdings: CallerHoldings,
        clock: Callable[[], float],
        has_body: bool = True,
        is_closing: bool,
        is_leaving: Callable[[], bool],
        has_next: Callable[[], bool] = lambda: False,
    ) -> None:
        self._connection = connection
        self._protocol = protocol
        self._holdings = holdings
        self._clock = clock
        self._has_body = has_body
        self.is_closing = is_closing
        self._is_leaving = is_leaving
        self._has_next = has_next
        self.should_reconnect = False
        self.status = 0
        self.has_begun = False
        self.is_finished = False
        self.is_half_closed = False
        self.is_by_host = False
        self.notes = NO_NOTES
        self.deadline: float | None = None
        self._cut_off_until = 0.0
        self.fault = ""
        self._progress = AnswerProgress.NOTHING
        # Bytes of the status line that were sent ahead of the answer.
        self._sent_ahead = 0

    def send_ahead(self) -> None:
        """Send the next byte of the status line, unless the answer has begun.

        Doesn't wait; nothing is sent if all of `STATUS_LINE_START` has been.

        Raises
        ------
        CallerDisconnectedError
            If the connection was reset.
        """
        if self.has_begun:
            return
        rest = STATUS_LINE_START[self._sent_ahead :]
        try:
            self._sent_ahead += self._connection._sock.send(rest[:1])
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error

    @property
    def progress(self) -> AnswerProgress:
        """How much of the answer may have been sent."""
        return AnswerProgress.WHOLE if self.is_finished else self._progress

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        data = self._start(status, framed)
        rest = b""
        if self._has_body:
            rest = self._protocol.send(h11.Data(data=body)) or b""
        self._protocol.send(h11.EndOfMessage())
        self._progress = AnswerProgress.PART
        if len(rest) > COPIED_BODY_BYTES:
            self._write(data, timeout_s=WRITE_TIMEOUT_S)
            self._write(rest, timeout_s=WRITE_TIMEOUT_S)
        else:
            self._write(data + rest, timeout_s=WRITE_TIMEOUT_S)
        self.is_finished = True

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body is sent in pieces (chunked).

        To a caller of HTTP/1.0 they are sent without chunks; the end of the connection
        is that of the body, so that one that breaks off has to be reset.
        """
        self._progress = AnswerProgress.HEAD
        data = self._start(status, [*headers, (b"transfer-encoding", b"chunked")])
        self._reset_on_close(True)
        self._write(data)

    def _start(self, status: int, headers: Headers) -> bytes:
        wants_close = self.should_reconnect or self._is_leaving()
        if wants_close and not self._has_next():
            self.is_closing = True
        if self.is_closing:
            headers.append((b"connection", b"close"))
        data = self._protocol.send(h11.Response(status_code=status, headers=headers))
        self.status = status
        return data[self._sent_ahead :]

    def send_piece(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._progress = AnswerProgress.PART
        self._write(self._protocol.send(h11.Data(data=data)))

    def end(self) -> None:
        """End the body of an answer that was sent in pieces."""
        self._progress = AnswerProgress.ALL_BUT_END
        self._write(self._protocol.send(h11.EndOfMessage()))
        self._reset_on_close(False)
        self.is_finished = True

    def _reset_on_close(self, is_reset: bool) -> None:
        version = self._protocol.their_http_version
        if version is not None and version < CHUNKS_VERSION:
            reset_on_close(self._connection, is_reset=is_reset)

    def send_error(
        self,
        kind: ErrorKind,
        message: str,
        *,
        retry_after_s: float | None = None,
        execution: Execution | None = None,
    ) -> None:
        """Send an error answer.

        Parameters
        ----------
        kind : ErrorKind
            Decides the status, and what the answer says about execution.
        retry_after_s : float or None
            Delay after which the caller may try again, in seconds.
        execution : Execution or None
            Whether the request was executed; as the table says of the kind if None.
        """
        self.is_by_host = True
        row = ANSWERS[kind]
        headers: Headers = [(b"content-type", b"application/json")]
        if retry_after_s is not None:
            headers.append(encode_retry_after(retry_after_s))
        body = msgspec.json.encode(
            {
                "error": kind,
                "message": message,
                "execution": execution or row.execution,
                "next_step": row.next_step,
            }
        )
        self.send_whole(row.status, headers, body)

    def end_with_failure(self, execution: Execution) -> None:
        """End the answer after an error that no code expects.

        An answer that has begun breaks off, unless it is complete.
        """
        if self.is_finished:
            return
        self.is_closing = True
        if self.has_begun:
            return
        # The old one may have taken parts of an answer that were never sent.
        self._protocol = h11.Connection(h11.SERVER)
        self.send_error(
            ErrorKind.INTERNAL, "an unexpected error in this host", execution=execution
        )

    @property
    def was_blocked(self) -> bool:
        """Whether the caller read so late that the server may have given up."""
        return self._clock() < self._cut_off_until

    @property
    def buffer_bytes(self) -> int:
        """Most bytes of an answer to hold until it is whole."""
        return self._holdings.answer_bytes

    def hold(self, size: int) -> None:
        """Count what is held of the answer until it is whole, in bytes."""
        self._holdings.hold_answer(size)

    def _write(self, data: bytes, *, timeout_s: float = PIECE_TIMEOUT_S) -> None:
        self.has_begun = True
        try:
            sent = send_some(self._connection, data)
            if sent < len(data):
                self._write_rest(memoryview(data)[sent:], timeout_s)
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error

    def _write_rest(self, rest: memoryview, timeout_s: float) -> None:
        """Send what the connection didn't take at once, counted as unread."""
        began = self._clock()
        ends_at = began + timeout_s
        if self.deadline is not None:
            ends_at = min(ends_at, max(self.deadline, began + LATE_WRITE_S))
        self._holdings.begin_write(len(rest))
        try:
            while rest:
                self._await_writable(ends_at)
                rest = rest[send_some(self._connection, rest) :]
                self._holdings.record_taken()
        finally:
            self._holdings.end_write()
            ended = self._clock()
            if ended - began >= BLOCKED_S:
                self._cut_off_until = ended + CUT_OFF_S

    def _await_writable(self, ends_at: float) -> None:
        try:
            wait_write(
                self._connection.fileno(), timeout=max(0.001, ends_at - self._clock())
            )
        except TimeoutError as error:
            self.fault = "the caller did not read its answer in time"
            # What the kernel holds of the answer would stay there for long.
            reset_on_close(self._connection, is_reset=True)
            raise CallerDisconnectedError(self.fault) from error
