"""Strict reading of callers' requests, within the limits of the configuration."""

import socket as plain_socket
from collections.abc import Callable
from typing import NamedTuple

import h11
from gevent import socket

from rosemarystream._internal.exceptions import ErrorKind, RequestError
from rosemarystream._internal.gateway.answer_writer import CallerDisconnectedError
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.utils.http_heads import (
    HttpHeadError,
    check_http_head,
    find_head_end,
)
from rosemarystream._internal.utils.loop_share import LoopShare

READ_BYTES = 65_536
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


class RefusedRequestError(RequestError):
    """A request is refused before it was read completely."""

    def __init__(
        self, kind: ErrorKind, message: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, kind=kind, retry_after=retry_after_s)


class HeldBytes:
    """Bytes of request bodies that a host holds.

    Parameters
    ----------
    whole : HeldBytes or None
        Those of all connections, for those of one of them.

    Attributes
    ----------
    count : int
        Bytes that are held now.
    """

    def __init__(self, *, whole: "HeldBytes | None" = None) -> None:
        self.count = 0
        self._whole = whole

    def add(self, size: int) -> None:
        """Count bytes that are held until their request is answered.

        Raises
        ------
        RefusedRequestError
            If there are too many.
        """
        self.count += size
        if self._whole is not None:
            self._whole.add(size)
        elif self.count > MAX_HELD_BYTES:
            raise RefusedRequestError(
                ErrorKind.OVERLOADED,
                "too many large requests at once",
                retry_after_s=NO_ROOM_RETRY_S,
            )

    def release(self) -> None:
        """Stop counting what is held."""
        if self._whole is not None:
            self._whole.count -= self.count
        self.count = 0


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Parameters
    ----------
    held : HeldBytes
        Counts the bytes of the body that is read.

    Attributes
    ----------
    buffer : bytes
        What has been read, but not yet as a part of a request.
    has_begun : bool
        Whether a part of a request has been read; its user resets it.
    """

    def __init__(
        self, *, opened: socket.socket, held: HeldBytes, clock: Callable[[], float]
    ) -> None:
        self.buffer = b""
        self.has_begun = False
        self._socket = opened
        self._held = held
        self._clock = clock
        self._received_at = 0.0
        self._loop_share = LoopShare()

    def has_data(self) -> bool:
        """Return whether anything has arrived that isn't a part of a request yet."""
        if self.buffer:
            return True
        try:
            return bool(self._socket._sock.recv(1, plain_socket.MSG_PEEK))
        except OSError:
            return False

    def await_first_byte(self, idle_timeout_s: float) -> bool:
        """Wait for the first byte of a request; False if there is none.

        Raises
        ------
        RefusedRequestError
            If only line ends come.
        """
        self._socket.settimeout(idle_timeout_s)
        skipped = 0
        while True:
            self._loop_share.take_step()
            received = len(self.buffer)
            self.buffer = self.buffer.lstrip(b"\r\n")
            skipped += received - len(self.buffer)
            if skipped > MAX_LEADING_BYTES:
                raise RefusedRequestError(
                    ErrorKind.BAD_REQUEST, "too many line ends before the request"
                )
            if self.buffer:
                self.has_begun = True
                self._received_at = self._clock()
                return True
            try:
                data = self._socket.recv(READ_BYTES)
            except TimeoutError:
                # A process that was paused may see the time-out first.
                if self.has_data():
                    continue
                return False
            if not data:
                return False
            self.buffer = data

    def read(self, protocol: h11.Connection, limits: CallerLimits) -> Request | None:
        """Read a whole request; None if the caller closes within its head.

        Raises
        ------
        RefusedRequestError
            If it is malformed, too long or too slow.
        CallerDisconnectedError
            If the caller closes within its body.
        """
        head = self._read_head(limits)
        if head is None:
            return None
        try:
            check_http_head(head)
            protocol.receive_data(head)
            event = protocol.next_event()
        except (HttpHeadError, h11.ProtocolError) as error:
            raise RefusedRequestError(ErrorKind.BAD_REQUEST, str(error)) from error
        if not isinstance(event, h11.Request):
            raise RefusedRequestError(ErrorKind.BAD_REQUEST, "not a request")
        body = self._read_body(protocol, limits)
        return Request(
            event.method, event.target, list(event.headers), body, self._received_at
        )

    def _read_head(self, limits: CallerLimits) -> bytes | None:
        deadline = self._received_at + limits.head_timeout_s
        while True:
            self._loop_share.take_step()
            end = find_head_end(self.buffer)
            if end > limits.head_bytes or (
                not end and len(self.buffer) > limits.head_bytes
            ):
                raise RefusedRequestError(
                    ErrorKind.HEAD_TOO_LARGE, f"over {limits.head_bytes} bytes of head"
                )
            if end:
                head, self.buffer = self.buffer[:end], self.buffer[end:]
                return head
            remaining_s = deadline - self._clock()
            self._socket.settimeout(max(0.001, remaining_s))
            try:
                data = self._socket.recv(READ_BYTES)
            except TimeoutError:
                raise RefusedRequestError(
                    ErrorKind.SLOW_SENDER, f"no whole head in {limits.head_timeout_s} s"
                ) from None
            if not data:
                return None
            self.buffer += data

    def _read_body(self, protocol: h11.Connection, limits: CallerLimits) -> bytes:
        body = bytearray()
        received = len(self.buffer)
        max_received = MAX_WIRE_FACTOR * limits.body_bytes + EXTRA_WIRE_BYTES
        self._socket.settimeout(limits.idle_timeout_s)
        if self.buffer:
            protocol.receive_data(self.buffer)
            self.buffer = b""
        while True:
            self._loop_share.take_step()
            try:
                event = protocol.next_event()
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > limits.body_bytes:
                        raise _make_too_large_error(limits)
                    self._held.add(len(event.data))
                    continue
                # Only now none of what was received may belong to a later request.
                if received > max_received:
                    raise _make_too_large_error(limits)
                data = self._receive_body_bytes(protocol)
            except h11.ProtocolError as error:
                raise RefusedRequestError(ErrorKind.BAD_REQUEST, str(error)) from error
            except TimeoutError:
                raise RefusedRequestError(
                    ErrorKind.SLOW_SENDER, f"no byte in {limits.idle_timeout_s} s"
                ) from None
            received += len(data)
            protocol.receive_data(data)

    def _receive_body_bytes(self, protocol: h11.Connection) -> bytes:
        """Receive more of a body, after an interim answer if the caller awaits it."""
        if protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._socket.sendall(protocol.send(interim))
        data = self._socket.recv(READ_BYTES)
        if not data:
            raise CallerDisconnectedError("closed before its request was whole")
        return data


def _make_too_large_error(limits: CallerLimits) -> RefusedRequestError:
    return RefusedRequestError(ErrorKind.TOO_LARGE, f"over {limits.body_bytes} bytes")
