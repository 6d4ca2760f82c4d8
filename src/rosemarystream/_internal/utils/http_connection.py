"""A client's HTTP/1.1 connection whose every step is under the caller's control.

Framing is h11's; sockets are gevent's. Nothing here is ever repeated: whoever
holds the connection decides what a failure means.
"""

import errno
import socket as plain_socket
from collections.abc import Callable
from typing import NamedTuple

import gevent
import h11
from gevent import socket

from rosemarystream._internal.exceptions import BackendError, ConnectError
from rosemarystream._internal.models.call import Headers
from rosemarystream._internal.utils.address import split_address

Clock = Callable[[], float]

READ_BYTES = 65_536
MIN_WAIT_S = 0.001
# A peer that acknowledges nothing for this long is unreachable.
UNACKNOWLEDGED_MS = 900
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2


class ConnectionBrokenError(BackendError):
    """The exchange broke after bytes may have been sent."""


class AnswerTimeoutError(ConnectionBrokenError):
    """Nothing came before the deadline; the server may be slow."""


class ServerUnreachableError(ConnectionBrokenError):
    """The server's machine acknowledges nothing any more."""


_UNREACHABLE = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class ResponseHead(NamedTuple):
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: Headers


class ClientConnection:
    """One connection to a server.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(self, *, address: str, clock: Clock) -> None:
        self.address = address
        self.idle_since = 0.0
        self._clock = clock
        self._socket: socket.socket | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._events: list[h11.Event] = []
        self._sender: gevent.Greenlet | None = None

    def connect(self, deadline: float) -> None:
        """Open the connection.

        Raises
        ------
        ConnectError
            If there is no connection by the deadline.
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        opened.settimeout(max(MIN_WAIT_S, deadline - self._clock()))
        try:
            opened.connect(split_address(self.address))
            set_socket_options(opened)
        except OSError as error:
            opened.close()
            raise ConnectError(f"no connection to {self.address}: {error}") from error
        self._socket = opened

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes = b""
    ) -> None:
        """Send a request; what the socket doesn't take at once follows on its own.

        Raises
        ------
        ConnectionBrokenError
            If the connection is gone.
        """
        assert self._socket is not None
        framed = [*headers]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed.append((b"content-length", b"%d" % len(body)))
        self._events = [h11.Request(method=method, target=target, headers=framed)]
        if body:
            self._events.append(h11.Data(data=body))
        self._events.append(h11.EndOfMessage())
        data = self._encode_request()
        try:
            sent = self._socket._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise ConnectionBrokenError(
                f"sending to {self.address}: {error}"
            ) from error
        if sent < len(data):
            self._sender = gevent.spawn(self._send_remainder, data[sent:])

    def _encode_request(self) -> bytes:
        """Return the bytes of the request; its answer is due from then on."""
        return b"".join(self._protocol.send(event) for event in self._events)

    def _send_remainder(self, data: bytes) -> None:
        assert self._socket is not None
        try:
            self._socket.settimeout(None)
            self._socket.sendall(data)
        except OSError:
            # The reader of the answer meets the same broken connection.
            return

    def read_head(self, deadline: float) -> ResponseHead:
        """Return the head of the final answer.

        Raises
        ------
        AnswerTimeoutError
            If it doesn't come by the deadline.
        ConnectionBrokenError
            If the connection breaks or the bytes are no answer.
        """
        while True:
            event = self._read_event(deadline)
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, list(event.headers))
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionBrokenError(f"{self.address} closed without an answer")

    def read_piece(self, deadline: float) -> bytes | None:
        """Return the next piece of the body, or None at its proper end.

        Raises
        ------
        AnswerTimeoutError
            If nothing comes by the deadline.
        ConnectionBrokenError
            If the answer breaks off.
        """
        while True:
            event = self._read_event(deadline)
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    def read_body(self, deadline: float) -> bytes:
        """Return the whole body; raises as `read_piece` does."""
        pieces = []
        while (piece := self.read_piece(deadline)) is not None:
            pieces.append(piece)
        return b"".join(pieces)

    def discard_late_answer(self, deadline: float) -> None:
        """Pass over a late answer to an earlier request; ours still has to come.

        Raises
        ------
        ConnectionBrokenError
            If the connection can't be used for the answer that is due.
        """
        self.read_body(deadline)
        waiting = self._protocol.trailing_data[0]
        if self._sender is not None and not self._sender.ready():
            raise ConnectionBrokenError(
                f"{self.address} answered before it had the request"
            )
        try:
            # The request is out already; only the protocol has to start anew.
            self._protocol = h11.Connection(h11.CLIENT)
            self._encode_request()
            if waiting:
                self._protocol.receive_data(waiting)
        except h11.ProtocolError as error:
            raise ConnectionBrokenError(f"{self.address}: {error}") from error

    def _read_event(self, deadline: float) -> object:
        assert self._socket is not None
        closed = False
        while True:
            try:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._socket.settimeout(max(MIN_WAIT_S, deadline - self._clock()))
                data = self._socket.recv(READ_BYTES)
                closed = not data
                self._protocol.receive_data(data)
            except OSError as error:
                raise self._classify_error(error) from error
            except h11.ProtocolError as error:
                what = "closed before its answer was whole" if closed else error
                raise ConnectionBrokenError(f"{self.address}: {what}") from error

    def _classify_error(self, error: OSError) -> ConnectionBrokenError:
        # gevent's own timeouts have no number; the kernel's have.
        if error.errno in _UNREACHABLE:
            return ServerUnreachableError(f"{self.address} can't be reached: {error}")
        if isinstance(error, TimeoutError):
            return AnswerTimeoutError(f"{self.address} was silent")
        return ConnectionBrokenError(f"{self.address}: {error}")

    def finish(self) -> bool:
        """Make the connection ready for another request; False if it can't be."""
        if self._sender is not None and not self._sender.ready():
            return False
        self._sender = None
        # An idle connection holds no body.
        self._events = []
        if self._protocol.trailing_data[0]:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.ProtocolError:
            return False
        self.idle_since = self._clock()
        return True

    def is_reusable(self) -> bool:
        """Whether an idle connection is open and no stray byte has come."""
        if self._socket is None:
            return False
        try:
            self._socket._sock.recv(1, plain_socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection; the server drops what it still works on."""
        if self._sender is not None:
            self._sender.kill(block=False)
            self._sender = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def set_socket_options(opened: socket.socket) -> None:
    """Let the kernel find connections that have gone silent."""
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
