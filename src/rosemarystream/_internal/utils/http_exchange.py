"""A single HTTP exchange over a dedicated connection.

The client of geventhttpclient retries requests by itself and hides whether a byte
was sent. Requests that must not run twice need control of both, so this module
sends over its own socket and uses only the response parser of the library.
"""

from collections.abc import Callable, Mapping
from operator import methodcaller

from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from rosemarystream._internal.exceptions import BackendError, ConnectError
from rosemarystream._internal.utils.address import split_address
from rosemarystream._internal.utils.http_connection import MAX_STATUS
from rosemarystream._internal.utils.loop_share import LoopShare

CONNECT_TIMEOUT_SECONDS = 1.0
MIN_WAIT_SECONDS = 0.001
USER_TIMEOUT_MS = 10_000
KEEPALIVE_IDLE_SECONDS = 10
BLOCK_BYTES = 16_384
# Most bytes of an answer: until the end of its head, of its whole body, and until the
# next separator in it.
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 8_000_000
MAX_LINE_BYTES = 1_000_000


class ExchangeError(BackendError):
    """The exchange failed after bytes may have been sent."""


class _AnswerTooLongError(OSError):
    """An answer exceeds a bound, and may have no end."""


class _BoundedSocket:
    """The part of a socket that the response parser uses, with bounds on what it reads.

    The parser itself reads for as long as something comes.
    """

    def __init__(self, opened: socket.socket, clock: Callable[[], float]) -> None:
        self._opened = opened
        self._clock = clock
        self._loop_share = LoopShare()
        self._deadline = 0.0
        self._left_bytes = 0

    def limit(self, most_bytes: int, deadline: float) -> None:
        """Set how many bytes may be read from now on, and until when."""
        self._left_bytes = most_bytes
        self._deadline = deadline

    def recv(self, size: int) -> bytes:
        """Read what has arrived, or wait for it until the deadline."""
        self._loop_share.take_step()
        wait_s = self._deadline - self._clock()
        if wait_s <= 0.0:
            raise TimeoutError("still sending at the deadline")
        if self._left_bytes <= 0:
            raise _AnswerTooLongError("the answer is too long")
        self._opened.settimeout(max(MIN_WAIT_SECONDS, wait_s))
        data = self._opened.recv(size)
        self._left_bytes -= len(data)
        return data

    def close(self) -> None:
        """Close the socket."""
        self._opened.close()


class Exchange:
    """A request and its answer over a new connection.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    def __init__(self, *, address: str, clock: Callable[[], float]) -> None:
        self._address = address
        self._clock = clock
        self._socket: socket.socket | None = None
        self._source: _BoundedSocket | None = None
        self._response: HTTPSocketResponse | None = None

    def connect(self, deadline: float) -> None:
        """Open the connection.

        Raises
        ------
        ConnectError
            If no connection is established by `deadline`; nothing was sent.
        """
        host, port = split_address(self._address)
        # Addresses are IP literals; create_connection would call the resolver.
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.settimeout(min(CONNECT_TIMEOUT_SECONDS, self._remaining(deadline)))
        try:
            self._socket.connect((host, port))
        except OSError as error:
            self.close()
            raise ConnectError(
                f"no connection to {self._address}: {error}; try another server"
            ) from error
        _set_socket_options(self._socket)

    def _remaining(self, deadline: float) -> float:
        return max(MIN_WAIT_SECONDS, deadline - self._clock())

    def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        deadline: float,
    ) -> int:
        """Send a request and wait for the head of the answer.

        Returns
        -------
        status : int
            HTTP status of the answer.

        Raises
        ------
        ExchangeError
            If the exchange fails; the request may have run.
        """
        assert self._socket is not None
        head = self._write_head(method, path, len(body), headers or {})
        try:
            self._socket.settimeout(self._remaining(deadline))
            self._socket.sendall(head + body)
            self._source = _BoundedSocket(self._socket, self._clock)
            self._source.limit(MAX_HEAD_BYTES, deadline)
            self._response = HTTPSocketResponse(
                self._source, block_size=BLOCK_BYTES, method=method
            )
            if self._response.status_code > MAX_STATUS:
                raise HTTPParseError(f"status {self._response.status_code}")
        except (OSError, HTTPParseError) as error:
            raise self._close_and_convert(error) from error
        return self._response.status_code

    def _write_head(
        self, method: str, path: str, length: int, headers: Mapping[str, str]
    ) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._address}"]
        lines.append(f"Content-Length: {length}")
        lines.append("Connection: close")
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _close_and_convert(self, error: Exception) -> ExchangeError:
        self.close()
        return ExchangeError(f"exchange with {self._address} broke: {error}")

    def header(self, name: str) -> str | None:
        """Return the value of a header of the answer, or None."""
        assert self._response is not None
        value = self._response.get(name)
        return value if isinstance(value, str) else None

    def read_line(self, separator: bytes, deadline: float) -> bytes:
        """Read the body up to the next separator; empty bytes at its end.

        Raises
        ------
        ExchangeError
            If the answer is cut off, too long, or incomplete by `deadline`.
        """
        read_line = methodcaller("readline", separator)
        return self._read(read_line, MAX_LINE_BYTES, deadline)

    def read_all(self, deadline: float) -> bytes:
        """Read the whole body.

        Raises
        ------
        ExchangeError
            If the answer is cut off, too long, or incomplete by `deadline`.
        """
        return self._read(methodcaller("read"), MAX_BODY_BYTES, deadline)

    def _read(
        self,
        read_body: Callable[[HTTPSocketResponse], bytes],
        most_bytes: int,
        deadline: float,
    ) -> bytes:
        assert self._source is not None
        assert self._response is not None
        try:
            # What has arrived counts also when this host is late.
            self._source.limit(most_bytes, self._clock() + self._remaining(deadline))
            return read_body(self._response)
        except (OSError, HTTPParseError) as error:
            raise self._close_and_convert(error) from error

    def close(self) -> None:
        """Close the connection; it is never reused."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def __enter__(self) -> "Exchange":
        return self

    def __exit__(self, *args: object) -> None:
        self.close()


def _set_socket_options(connection: socket.socket) -> None:
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
