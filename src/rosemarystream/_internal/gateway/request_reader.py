"""Strict reading of callers' requests, within the limits of the configuration."""

import socket as plain_socket
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import h11
from gevent import socket

from rosemarystream._internal.decisions.caller_budget import SMALL_BYTES
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.answer_writer import CallerDisconnectedError
from rosemarystream._internal.gateway.caller_resources import CallerHoldings
from rosemarystream._internal.gateway.request_body import RequestBodyReader
from rosemarystream._internal.gateway.request_errors import RefusedRequestError
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.utils.http_heads import (
    HttpHeadError,
    check_http_head,
    find_head_end,
)
from rosemarystream._internal.utils.loop_share import LoopShare

# Line ends that are skipped before a request.
MAX_LEADING_BYTES = 64


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


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Parameters
    ----------
    holdings : CallerHoldings
        Counts what is read.

    Attributes
    ----------
    buffer : bytearray
        What has been read, but not yet as a part of a request.
    has_begun : bool
        Whether a part of a request has been read; its user resets it.
    """

    def __init__(
        self,
        *,
        opened: socket.socket,
        holdings: CallerHoldings,
        clock: Callable[[], float],
    ) -> None:
        self.buffer = bytearray()
        self.has_begun = False
        self._socket = opened
        self._holdings = holdings
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
            skipped += self._skip_line_ends()
            if skipped > MAX_LEADING_BYTES:
                raise RefusedRequestError(
                    ErrorKind.BAD_REQUEST, "too many line ends before the request"
                )
            if self.buffer:
                self.has_begun = True
                self._received_at = self._clock()
                self._holdings.begin_read()
                return True
            try:
                data = self._socket.recv(self._holdings.read_bytes)
            except TimeoutError:
                # A process that was paused may see the time-out first.
                if self.has_data():
                    continue
                return False
            if not data:
                return False
            self.buffer += data
            self._hold_buffer()

    def _skip_line_ends(self) -> int:
        """Remove line ends from the start of the buffer; return their number."""
        # What the buffer holds need not be copied for most requests.
        if self.buffer[:1] not in (b"\r", b"\n"):
            return 0
        kept = self.buffer.lstrip(b"\r\n")
        skipped = len(self.buffer) - len(kept)
        self.buffer = kept
        return skipped

    def _hold_buffer(self) -> None:
        if len(self.buffer) > SMALL_BYTES:
            self._holdings.hold_read_ahead(len(self.buffer))

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
        body = self._read_body(protocol, limits, find_length(event))
        # What is left belongs to later requests.
        self._holdings.hold_read_ahead(len(self.buffer))
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
                head = bytes(self.buffer[:end])
                del self.buffer[:end]
                return head
            remaining_s = deadline - self._clock()
            self._socket.settimeout(max(0.001, remaining_s))
            try:
                data = self._socket.recv(self._holdings.read_bytes)
            except TimeoutError:
                raise RefusedRequestError(
                    ErrorKind.SLOW_SENDER, f"no whole head in {limits.head_timeout_s} s"
                ) from None
            if not data:
                return None
            self.buffer += data
            self._holdings.record_received()
            self._hold_buffer()

    def _read_body(
        self, protocol: h11.Connection, limits: CallerLimits, length: int | None
    ) -> bytes:
        """Read a body of a length, or of chunks if it is None."""
        self._socket.settimeout(limits.idle_timeout_s)
        body_reader = RequestBodyReader(
            protocol=protocol,
            limits=limits,
            receive=partial(self._take_body_bytes, protocol),
            holdings=self._holdings,
            loop_share=self._loop_share,
        )
        body = body_reader.read(length)
        trailing = protocol.trailing_data[0]
        if trailing:
            self.buffer = bytearray(trailing) + self.buffer
        return body

    def _take_body_bytes(self, protocol: h11.Connection, most: int) -> bytes:
        """Return more of a body, after an interim answer if the caller awaits it."""
        if self.buffer:
            data = bytes(self.buffer[:most])
            del self.buffer[:most]
            return data
        if protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._socket.sendall(protocol.send(interim))
        data = self._socket.recv(most)
        if not data:
            raise CallerDisconnectedError("closed before its request was whole")
        self._holdings.record_received()
        return data


def find_length(request: h11.Request) -> int | None:
    """Return the length of a request's body; None if it has chunks."""
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return None
    return 0
