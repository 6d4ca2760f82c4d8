"""The answer to one request of a caller, written as it becomes known."""

from collections.abc import Callable

import h11
import msgspec
from gevent import socket

from rosemarystream._internal.exceptions import ANSWERS, ErrorKind
from rosemarystream._internal.models.call import Headers
from rosemarystream._internal.platform.headers import encode_retry_after


class CallerDisconnectedError(BaseException):
    """The caller has closed its connection, or doesn't read.

    Not an `Exception`, so that no handler of failed attempts takes it for one.
    """


class AnswerWriter:
    """Writes one answer.

    Parameters
    ----------
    is_closing : bool
        Whether the connection ends after this answer.
    is_leaving : callable
        Whether the host leaves, so that every connection ends after its answer.
    """

    def __init__(
        self,
        *,
        connection: socket.socket,
        protocol: h11.Connection,
        is_closing: bool,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._protocol = protocol
        self.is_closing = is_closing
        self._is_leaving = is_leaving
        self.status = 0
        self.is_finished = False

    @property
    def has_begun(self) -> bool:
        """Whether the head is out, so that no other answer can be given."""
        return self.status != 0

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        framed = [*headers, (b"content-length", b"%d" % len(body))]
        data = self._start(status, framed)
        data += self._protocol.send(h11.Data(data=body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._write(data)
        self.is_finished = True

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""
        self._write(self._start(status, [*headers, (b"transfer-encoding", b"chunked")]))

    def _start(self, status: int, headers: Headers) -> bytes:
        self.is_closing = self.is_closing or self._is_leaving()
        if self.is_closing:
            headers.append((b"connection", b"close"))
        self.status = status
        return self._protocol.send(h11.Response(status_code=status, headers=headers))

    def send_piece(self, data: bytes) -> None:
        """Send a piece of the body."""
        self._write(self._protocol.send(h11.Data(data=data)))

    def end(self) -> None:
        """Mark the body as complete."""
        self._write(self._protocol.send(h11.EndOfMessage()))
        self.is_finished = True

    def send_error(
        self, kind: ErrorKind, message: str, *, retry_after_s: float | None = None
    ) -> None:
        """Send an error of the closed list."""
        row = ANSWERS[kind]
        headers: Headers = [(b"content-type", b"application/json")]
        if retry_after_s is not None:
            headers.append(encode_retry_after(retry_after_s))
        body = msgspec.json.encode(
            {
                "error": kind,
                "message": message,
                "execution": row.execution,
                "next_step": row.next_step,
            }
        )
        self.send_whole(row.status, headers, body)

    def _write(self, data: bytes) -> None:
        try:
            self._connection.sendall(data)
        except OSError as error:
            raise CallerDisconnectedError(str(error)) from error
