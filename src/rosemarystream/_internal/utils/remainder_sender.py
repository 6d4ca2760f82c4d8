"""Sends the rest of a request while its answer is read."""

from collections.abc import Sequence

import gevent
from gevent import socket
from gevent.socket import wait_write

Piece = bytes | memoryview


class RemainderSender:
    """Sends bytes in a greenlet, since a server may answer before it has them all.

    Parameters
    ----------
    opened : socket
        Connection to the server.
    pieces : sequence of bytes or memoryview
        What the socket has not accepted yet.

    Attributes
    ----------
    error : Exception or None
        Unexpected error that ended the sending; the connection is shut down then.
    has_sent_all : bool
        Whether the socket has accepted all bytes.
    """

    def __init__(self, *, opened: socket.socket, pieces: Sequence[Piece]) -> None:
        self.error: Exception | None = None
        self.has_sent_all = False
        self._socket = opened
        self._greenlet = gevent.spawn(self._send, pieces)

    def wait(self, seconds: float) -> None:
        """Wait until the sending has ended, at most for a time."""
        self._greenlet.join(timeout=seconds)

    def cancel(self) -> None:
        """End the sending."""
        self._greenlet.kill(block=False)

    def _send(self, pieces: Sequence[Piece]) -> None:
        try:
            for piece in pieces:
                rest = memoryview(piece)
                while rest:
                    # By itself: the time limit of the socket is that of its reads.
                    wait_write(self._socket.fileno())
                    rest = rest[send_some(self._socket, rest) :]
            self.has_sent_all = True
        except OSError:
            # The system tells of an error once, so reads may only see the end.
            return
        except Exception as error:
            self.error = error
            # Wakes the greenlet that reads, which raises the error.
            self._socket.shutdown(socket.SHUT_RDWR)


def send_some(opened: socket.socket, data: Piece) -> int:
    """Send what a socket accepts at once; return the number of bytes."""
    try:
        return opened._sock.send(data)
    except BlockingIOError:
        return 0
