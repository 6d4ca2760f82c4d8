"""Callers' connections: strict HTTP/1.1, one request at a time.

Pipelined requests are buffered up to a limit and served in order. A caller's
disconnect ends the request that is being served.
"""

from collections.abc import Callable
from typing import NamedTuple

import gevent
import h11
from gevent import socket
from gevent.server import StreamServer
from logbook import Logger

from rosemarystream._internal.exceptions import ErrorKind, Execution, RequestError
from rosemarystream._internal.gateway.answer_writer import (
    AnswerWriter,
    CallerDisconnectedError,
)
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.models.log_entries import (
    CallerConnectionBroken,
    RequestRefusedEarly,
)
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.utils.address import split_address
from rosemarystream._internal.utils.http_heads import (
    HttpHeadError,
    check_http_head,
    find_head_end,
)
from rosemarystream._internal.utils.loop_share import LoopShare

log = Logger(__name__)

READ_BYTES = 65_536
BACKLOG = 1024
# Bytes of pipelined requests that are buffered while one is being served.
MAX_PIPELINED_BYTES = 262_144
# Time in which the rest of a refused request is read and discarded.
LINGER_TIMEOUT_S = 0.5
LINGER_BYTES = 1_000_000
# Line ends that are skipped before a request.
MAX_LEADING_BYTES = 64
# Bytes on the wire allowed for each byte of a body, as chunks add some to each, and
# bytes allowed besides.
MAX_WIRE_FACTOR = 16
EXTRA_WIRE_BYTES = 65_536
# Bytes of request bodies that a host holds at the same time.
MAX_HELD_BYTES = 64_000_000
# Delay advised to a caller whose body found no room, in seconds.
NO_ROOM_RETRY_S = 0.5


class Request(NamedTuple):
    """A request as received from a caller.

    Attributes
    ----------
    headers : list of tuple of bytes
        Header names are in lower case.
    received_at : float
        When its first byte was read, by the host's clock.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float


Handler = Callable[[Request, AnswerWriter], None]


class _RefusedRequestError(RequestError):
    """A request is refused before it was read completely."""

    def __init__(
        self, kind: ErrorKind, message: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, kind=kind, retry_after=retry_after_s)


class _Refusal(NamedTuple):
    """Error answer to a request that was not read completely."""

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None
    execution: Execution | None = None


class Listener:
    """Accepts connections and passes their requests to a handler.

    Parameters
    ----------
    handler : callable
        Answers a request; runs in the connection's greenlet, in which
        `CallerDisconnectedError` is raised when the caller disconnects.
    get_limits : callable
        Returns the limits in force.
    record_error : callable
        Called with an error that no code expects.

    Attributes
    ----------
    leaving : bool
        Whether the host is shutting down, so that each connection is closed after
        its answer.
    held_bytes : int
        Bytes of request bodies that are held now, for all connections.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Handler,
        get_limits: Callable[[], CallerLimits],
        record_error: Callable[[Exception], None],
        clock: Callable[[], float],
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.record_error = record_error
        self.clock = clock
        self.leaving = False
        self.held_bytes = 0
        self._connections: set[_CallerConnection] = set()
        self._server = StreamServer(
            split_address(address), self._serve, backlog=BACKLOG
        )

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and abort the requests in progress."""
        self._server.stop(timeout=0)

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in [*self._connections]:
            connection.close_if_idle()

    def count_busy(self) -> int:
        """Return the number of requests in progress."""
        return sum(connection.busy for connection in self._connections)

    def _serve(self, opened: socket.socket, _: object) -> None:
        connection = _CallerConnection(listener=self, opened=opened)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


class _CallerConnection:
    """Serves one caller's connection."""

    def __init__(self, *, listener: Listener, opened: socket.socket) -> None:
        self._listener = listener
        self._socket = opened
        self._buffer = b""
        self._received_at = 0.0
        self.busy = False
        self._closed = False
        self._held_bytes = 0
        self._refusal: _Refusal | None = None
        self._loop_share = LoopShare()
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self) -> None:
        """Serve requests until either side closes."""
        try:
            while not self._closed and self._serve_next():
                pass
            if self._refusal is not None:
                self._refuse(self._refusal)
        except CallerDisconnectedError:
            pass
        except OSError as error:
            write_log_entry(log, CallerConnectionBroken(error=str(error)))
        finally:
            self._socket.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or buffered."""
        if not self.busy and not self._buffer:
            self._closed = True
            self._socket.close()

    def _serve_next(self) -> bool:
        limits = self._listener.get_limits()
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes + 1024
        )
        try:
            request = self._read_request(protocol, limits)
            if request is None:
                return False
            self.busy = True
            return self._answer(protocol, request)
        except _RefusedRequestError as error:
            # Only its text is kept: the frames of its traceback hold the body.
            self._refusal = _Refusal(error.kind, str(error), error.retry_after)
            return False
        except OSError:
            raise
        except Exception as error:
            self._listener.record_error(error)
            # Only the request was read so far: `_answer` ends what it has begun.
            self._refusal = _Refusal(
                ErrorKind.INTERNAL,
                "an unexpected error in this host",
                execution=Execution.NOT_RUN,
            )
            return False
        finally:
            self.busy = False
            self._listener.held_bytes -= self._held_bytes
            self._held_bytes = 0

    def _answer(self, protocol: h11.Connection, request: Request) -> bool:
        self._buffer = protocol.trailing_data[0]
        is_closing = protocol.their_state is h11.MUST_CLOSE
        answer = AnswerWriter(
            connection=self._socket,
            protocol=protocol,
            is_closing=is_closing,
            is_leaving=lambda: self._listener.leaving,
        )
        self._socket.settimeout(self._listener.get_limits().idle_timeout_s)
        watch = _DisconnectWatch(opened=self._socket, greenlet=gevent.getcurrent())
        try:
            self._handle(request, answer)
        finally:
            watch.stop()
        self._buffer += watch.data
        return answer.is_finished and not answer.is_closing

    def _handle(self, request: Request, answer: AnswerWriter) -> None:
        try:
            self._listener.handler(request, answer)
        except Exception as error:
            answer.end_with_failure(Execution.UNKNOWN)
            self._listener.record_error(error)

    def _refuse(self, refusal: _Refusal) -> None:
        write_log_entry(
            log,
            RequestRefusedEarly(kind_of_error=refusal.kind, reason=refusal.message),
        )
        new_protocol = h11.Connection(h11.SERVER)
        answer = AnswerWriter(
            connection=self._socket,
            protocol=new_protocol,
            is_closing=True,
            is_leaving=lambda: True,
        )
        self._socket.settimeout(LINGER_TIMEOUT_S)
        answer.send_error(
            refusal.kind,
            refusal.message,
            retry_after_s=refusal.retry_after_s,
            execution=refusal.execution,
        )
        self._linger()

    def _linger(self) -> None:
        """Read on for a while after a refusal.

        Closing with unread bytes would reset the connection and discard the answer.
        """
        deadline = self._listener.clock() + LINGER_TIMEOUT_S
        received = 0
        try:
            self._socket.shutdown(socket.SHUT_WR)
            while received < LINGER_BYTES and self._listener.clock() < deadline:
                self._loop_share.take_step()
                data = self._socket.recv(READ_BYTES)
                if not data:
                    return
                received += len(data)
        except OSError:
            # The caller has closed, or sends nothing more.
            return

    def _read_request(
        self, protocol: h11.Connection, limits: CallerLimits
    ) -> Request | None:
        head = self._read_head(limits)
        if head is None:
            return None
        try:
            check_http_head(head)
            protocol.receive_data(head)
            event = protocol.next_event()
        except (HttpHeadError, h11.ProtocolError) as error:
            raise _RefusedRequestError(ErrorKind.BAD_REQUEST, str(error)) from error
        if not isinstance(event, h11.Request):
            raise _RefusedRequestError(ErrorKind.BAD_REQUEST, "not a request")
        body = self._read_body(protocol, limits)
        return Request(
            event.method, event.target, list(event.headers), body, self._received_at
        )

    def _read_head(self, limits: CallerLimits) -> bytes | None:
        self._socket.settimeout(limits.idle_timeout_s)
        deadline: float | None = None
        skipped = 0
        while True:
            self._loop_share.take_step()
            received = len(self._buffer)
            self._buffer = self._buffer.lstrip(b"\r\n")
            skipped += received - len(self._buffer)
            if skipped > MAX_LEADING_BYTES:
                raise _RefusedRequestError(
                    ErrorKind.BAD_REQUEST, "too many line ends before the request"
                )
            if self._buffer and deadline is None:
                self._received_at = self._listener.clock()
                deadline = self._received_at + limits.head_timeout_s
            end = find_head_end(self._buffer)
            if end > limits.head_bytes or (
                not end and len(self._buffer) > limits.head_bytes
            ):
                raise _RefusedRequestError(
                    ErrorKind.HEAD_TOO_LARGE, f"over {limits.head_bytes} bytes of head"
                )
            if end:
                head, self._buffer = self._buffer[:end], self._buffer[end:]
                return head
            if deadline is not None:
                remaining_s = deadline - self._listener.clock()
                self._socket.settimeout(max(0.001, remaining_s))
            try:
                data = self._socket.recv(READ_BYTES)
            except TimeoutError:
                if deadline is None:
                    return None
                raise _RefusedRequestError(
                    ErrorKind.SLOW_SENDER, f"no whole head in {limits.head_timeout_s} s"
                ) from None
            if not data:
                return None
            self._buffer += data

    def _read_body(self, protocol: h11.Connection, limits: CallerLimits) -> bytes:
        body = bytearray()
        received = len(self._buffer)
        max_received = MAX_WIRE_FACTOR * limits.body_bytes + EXTRA_WIRE_BYTES
        self._socket.settimeout(limits.idle_timeout_s)
        if self._buffer:
            protocol.receive_data(self._buffer)
            self._buffer = b""
        while True:
            self._loop_share.take_step()
            try:
                event = protocol.next_event()
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > limits.body_bytes or received > max_received:
                        raise _RefusedRequestError(
                            ErrorKind.TOO_LARGE, f"over {limits.body_bytes} bytes"
                        )
                    self._hold(len(event.data))
                    continue
                if protocol.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    self._socket.sendall(protocol.send(continue_response))
                data = self._socket.recv(READ_BYTES)
            except h11.ProtocolError as error:
                raise _RefusedRequestError(ErrorKind.BAD_REQUEST, str(error)) from error
            except TimeoutError:
                raise _RefusedRequestError(
                    ErrorKind.SLOW_SENDER, f"no byte in {limits.idle_timeout_s} s"
                ) from None
            if not data:
                raise CallerDisconnectedError("closed before its request was whole")
            received += len(data)
            protocol.receive_data(data)

    def _hold(self, size: int) -> None:
        """Count bytes of a body that this host holds until it has answered.

        Raises
        ------
        _RefusedRequestError
            If all requests together hold too many.
        """
        self._held_bytes += size
        self._listener.held_bytes += size
        if self._listener.held_bytes > MAX_HELD_BYTES:
            raise _RefusedRequestError(
                ErrorKind.OVERLOADED,
                "too many large requests at once",
                retry_after_s=NO_ROOM_RETRY_S,
            )


class _DisconnectWatch:
    """Detects a caller's disconnect while its request is served.

    Attributes
    ----------
    data : bytes
        Pipelined bytes that were read meanwhile.
    """

    def __init__(
        self, *, opened: socket.socket, greenlet: gevent.greenlet.Greenlet
    ) -> None:
        self.data = b""
        self._socket = opened
        self._greenlet = greenlet
        # Event mask 1 (readable), and a callback, as in gevent's own socket waits.
        self._watcher = gevent.get_hub().loop.io(opened.fileno(), 1)
        self._watcher.start(self._on_readable)

    def _on_readable(self) -> None:
        try:
            data = self._socket._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.stop()
            gevent.kill(self._greenlet, CallerDisconnectedError("closed"))
            return
        self.data += data
        if len(self.data) > MAX_PIPELINED_BYTES:
            self.stop()

    def stop(self) -> None:
        """Stop the detection."""
        self._watcher.stop()
        self._watcher.close()
