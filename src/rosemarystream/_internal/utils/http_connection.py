"""A persistent HTTP/1.1 client connection with explicit steps.

h11 does the framing, gevent provides the sockets. Nothing is retried here: the
user of the connection decides what a failure means.
"""

import errno
import socket as plain_socket
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import h11
from gevent import socket

from rosemarystream._internal.exceptions import BackendError, ConnectError
from rosemarystream._internal.models.call import Headers
from rosemarystream._internal.utils.address import split_address
from rosemarystream._internal.utils.loop_share import LoopShare
from rosemarystream._internal.utils.read_watch import ReadWatch
from rosemarystream._internal.utils.remainder_sender import (
    Piece,
    RemainderSender,
    send_some,
)
from rosemarystream._internal.utils.socket_options import (
    LONG_REQUEST_BYTES,
    limit_unacknowledged,
    set_socket_options,
)

Clock = Callable[[], float]

READ_BYTES = 65_536
# Largest status of an answer (RFC 9110, section 15).
MAX_STATUS = 599
MIN_WAIT_S = 0.001
# Heads with a 1xx status that are read before the final one of an answer.
MAX_INFORMATIONAL_HEADS = 8
# Time after the deadline in which bytes that have arrived are still read. An answer
# that was ready is then read whole, although this process was late.
LATE_READ_S = 0.1
# Largest body that is read to its end only to keep a connection usable.
MAX_DISCARDED_BYTES = 65_536
# Ids of recent requests that are kept for each connection. A server may send a second
# copy of an answer in place of the next one, so a request with the same id must not
# follow on the same connection.
RECENT_REQUESTS = 8


class ConnectionBrokenError(BackendError):
    """The exchange failed after bytes may have been sent."""


class AnswerTimeoutError(ConnectionBrokenError):
    """Nothing arrived before the deadline; the server may only be slow."""


class AnswerTooLongError(ConnectionBrokenError):
    """The answer exceeds a bound, and may have no end."""


class ServerClosedError(ConnectionBrokenError):
    """The server closed or reset the connection before its answer was whole."""


class ServerUnreachableError(ConnectionBrokenError):
    """The server's machine no longer acknowledges TCP segments."""


_UNREACHABLE = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class ResponseHead(NamedTuple):
    """Status and headers of an answer, with header names in lower case."""

    status: int
    headers: Headers


class ClientConnection:
    """A connection to one server, reusable after `finish`.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    clock : callable
        Returns the current time in seconds.
    get_read_bytes : callable, optional
        Returns how many bytes are read at once.

    Attributes
    ----------
    received_at : float or None
        When bytes last arrived for the request in progress; None if none have.
    """

    def __init__(
        self,
        *,
        address: str,
        clock: Clock,
        get_read_bytes: Callable[[], int] = lambda: READ_BYTES,
    ) -> None:
        self.address = address
        self.idle_since = 0.0
        self.received_at: float | None = None
        self._clock = clock
        self._get_read_bytes = get_read_bytes
        self._socket: socket.socket | None = None
        self._protocol = h11.Connection(h11.CLIENT)
        self._request_events: list[h11.Event] = []
        self._remainder: RemainderSender | None = None
        self._is_long = False
        self._loop_share = LoopShare()
        self._late_until: float | None = None
        # Hashes, as callers may choose ids of kilobytes. Two ids with the same hash
        # only cause a connection to be passed over.
        self._recent_requests: deque[int] = deque(maxlen=RECENT_REQUESTS)

    def record_request(self, request_id: str) -> None:
        """Record the id of a request that is sent on this connection."""
        self._recent_requests.append(hash(request_id))

    def had_request(self, request_id: str) -> bool:
        """Return whether one of the last requests had this id."""
        return hash(request_id) in self._recent_requests

    def connect(self, deadline: float, *, receive_bytes: int | None = None) -> None:
        """Open the connection.

        Parameters
        ----------
        receive_bytes : int or None
            Bound on what the kernel receives before it is read, in bytes.

        Raises
        ------
        ConnectError
            If no connection is established by the deadline.
        """
        tcp_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp_socket.settimeout(max(MIN_WAIT_S, deadline - self._clock()))
        try:
            if receive_bytes is not None:
                tcp_socket.setsockopt(
                    plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, receive_bytes
                )
            tcp_socket.connect(split_address(self.address))
            set_socket_options(tcp_socket)
        except OSError as error:
            tcp_socket.close()
            raise ConnectError(f"no connection to {self.address}: {error}") from error
        except BaseException:
            # The request ends, or another server answers it.
            tcp_socket.close()
            raise
        self._socket = tcp_socket

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes = b""
    ) -> None:
        """Send a request; bytes the socket does not accept follow in a greenlet.

        Raises
        ------
        ConnectionBrokenError
            If sending fails.
        """
        assert self._socket is not None
        self._late_until = None
        self.received_at = None
        framed_headers = [*headers]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed_headers.append((b"content-length", b"%d" % len(body)))
        self._request_events = [
            h11.Request(method=method, target=target, headers=framed_headers)
        ]
        if body:
            self._request_events.append(h11.Data(data=body))
        self._request_events.append(h11.EndOfMessage())
        pieces = self._encode_request()
        is_long = len(body) > LONG_REQUEST_BYTES
        if not is_long:
            pieces = [b"".join(pieces)]
        try:
            self._allow_long_request(is_long)
            rest = self._send_at_once(pieces)
        except OSError as error:
            raise ConnectionBrokenError(
                f"sending to {self.address}: {error}"
            ) from error
        if rest:
            self._remainder = RemainderSender(opened=self._socket, pieces=rest)

    def _encode_request(self) -> list[bytes]:
        """Encode the request; h11 expects its answer from then on.

        The body is not copied, as it may be megabytes long.
        """
        return [self._protocol.send(event) or b"" for event in self._request_events]

    def _send_at_once(self, pieces: list[bytes]) -> list[Piece]:
        """Send what the socket accepts; return the rest."""
        assert self._socket is not None
        for number, piece in enumerate(pieces):
            sent = send_some(self._socket, piece)
            if sent < len(piece):
                return [memoryview(piece)[sent:], *pieces[number + 1 :]]
        return []

    def _allow_long_request(self, is_long: bool) -> None:
        if is_long != self._is_long:
            assert self._socket is not None
            limit_unacknowledged(self._socket, is_long=is_long)
            self._is_long = is_long

    def read_head(self, deadline: float) -> ResponseHead:
        """Read the head of the final (not 1xx) answer.

        Raises
        ------
        AnswerTimeoutError
            If it does not arrive by the deadline.
        AnswerTooLongError
            If too many 1xx heads come before it.
        ConnectionBrokenError
            If the connection fails or the bytes are not an HTTP answer.
        """
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            event = self._read_event(deadline)
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise ConnectionBrokenError(
                        f"{self.address} answered with status {event.status_code}"
                    )
                return ResponseHead(event.status_code, list(event.headers))
            if isinstance(event, h11.ConnectionClosed):
                raise ServerClosedError(f"{self.address} closed without an answer")
        raise AnswerTooLongError(
            f"{self.address} sent over {MAX_INFORMATIONAL_HEADS} informational heads"
        )

    def read_piece(self, deadline: float) -> bytes | None:
        """Read the next piece of the body; None at its regular end.

        Raises
        ------
        AnswerTimeoutError
            If nothing arrives by the deadline.
        ConnectionBrokenError
            If the answer is cut off.
        """
        while True:
            event = self._read_event(deadline)
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    def read_body(self, deadline: float, *, max_bytes: int) -> bytes:
        """Read the whole body.

        Raises
        ------
        AnswerTooLongError
            If it is longer than `max_bytes`.
        ConnectionBrokenError
            As `read_piece` does.
        """
        pieces = iter(lambda: self.read_piece(deadline), None)
        return join_bounded(pieces, max_bytes, self.address)

    def discard_late_answer(self, deadline: float) -> None:
        """Discard a late answer to an earlier request; the expected one follows it.

        Raises
        ------
        ConnectionBrokenError
            If the connection cannot be used for the answer that is due.
        """
        self.read_body(deadline, max_bytes=MAX_DISCARDED_BYTES)
        waiting = self._protocol.trailing_data[0]
        if not self._has_sent_request():
            raise ConnectionBrokenError(
                f"{self.address} answered before it had the request"
            )
        try:
            # The request has been sent; only the protocol state starts again.
            self._protocol = h11.Connection(h11.CLIENT)
            self._encode_request()
            if waiting:
                self._protocol.receive_data(waiting)
        except h11.ProtocolError as error:
            raise ConnectionBrokenError(f"{self.address}: {error}") from error

    def _read_event(self, deadline: float) -> object:
        assert self._socket is not None
        is_closed = False
        while True:
            self._loop_share.take_step()
            wait_s = self._compute_wait(deadline)
            try:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._socket.settimeout(wait_s)
                data = self._socket.recv(self._get_read_bytes())
                is_closed = not data
                self.received_at = self._clock()
                if is_closed:
                    self._check_request_sent(wait_s)
                else:
                    self._raise_send_error()
                self._protocol.receive_data(data)
            except OSError as error:
                self._raise_send_error()
                raise self._classify_error(error) from error
            except h11.ProtocolError as error:
                if is_closed:
                    raise ServerClosedError(
                        f"{self.address}: closed before its answer was whole"
                    ) from error
                raise ConnectionBrokenError(f"{self.address}: {error}") from error

    def _check_request_sent(self, wait_s: float) -> None:
        """Check that the server, which sends nothing more, has read the request.

        Else it has closed or reset the connection: a write that failed has taken the
        error that a read would have got.

        Raises
        ------
        ServerClosedError
            If it hasn't.
        """
        if self._remainder is not None:
            self._remainder.wait(wait_s)
        self._raise_send_error()
        if not self._has_sent_request():
            raise ServerClosedError(f"{self.address} closed before it had the request")

    def _has_sent_request(self) -> bool:
        """Return whether the socket has accepted the whole request."""
        return self._remainder is None or self._remainder.has_sent_all

    def _raise_send_error(self) -> None:
        """Raise the unexpected error that ended the sending of the request, if any."""
        if self._remainder is not None and self._remainder.error is not None:
            raise self._remainder.error

    def _compute_wait(self, deadline: float) -> float:
        """Return how long the next read may wait, in seconds.

        Raises
        ------
        AnswerTimeoutError
            If the deadline has passed, and so has the time for late reads.
        """
        now = self._clock()
        if now < deadline:
            self._late_until = None
            return max(MIN_WAIT_S, deadline - now)
        if self._late_until is None:
            self._late_until = now + LATE_READ_S
        if now >= self._late_until:
            raise AnswerTimeoutError(f"{self.address} was still sending")
        return MIN_WAIT_S

    def _classify_error(self, error: OSError) -> ConnectionBrokenError:
        # Timeouts of gevent have no errno; timeouts of the operating system have.
        if error.errno in _UNREACHABLE:
            return ServerUnreachableError(f"{self.address} can't be reached: {error}")
        if isinstance(error, TimeoutError):
            return AnswerTimeoutError(f"{self.address} did not respond in time")
        if isinstance(error, ConnectionResetError):
            return ServerClosedError(f"{self.address}: {error}")
        return ConnectionBrokenError(f"{self.address}: {error}")

    def finish(self) -> bool:
        """Prepare the connection for another request; False if impossible."""
        if not self._has_sent_request():
            return False
        self._remainder = None
        # An idle connection must not keep the request body in memory.
        self._request_events = []
        if self._protocol.trailing_data[0]:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.ProtocolError:
            return False
        self.idle_since = self._clock()
        return True

    def watch(self, error: BaseException, *, delay_s: float) -> ReadWatch:
        """Return a watch that raises an error when something arrives, see there."""
        assert self._socket is not None
        return ReadWatch(opened=self._socket, error=error, delay_s=delay_s)

    def is_reusable(self) -> bool:
        """Return whether an idle connection is open without unexpected data."""
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
        """Close the connection; the server cancels a request in progress."""
        if self._remainder is not None:
            self._remainder.cancel()
            self._remainder = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def join_bounded(pieces: Iterable[bytes], max_bytes: int, address: str) -> bytes:
    """Return the body that the pieces from a server make.

    Raises
    ------
    AnswerTooLongError
        If it is longer than `max_bytes`.
    """
    body = bytearray()
    for piece in pieces:
        body += piece
        if len(body) > max_bytes:
            raise AnswerTooLongError(f"{address} sent a body of over {max_bytes} bytes")
    return bytes(body)
