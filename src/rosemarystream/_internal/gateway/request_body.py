"""Reading of the body of a caller's request, within the limits of the configuration."""

from collections.abc import Callable

import h11

from rosemarystream._internal.decisions.caller_budget import READ_BYTES, SMALL_BYTES
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.caller_resources import CallerHoldings
from rosemarystream._internal.gateway.request_errors import RefusedRequestError
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.utils.chunked_body import (
    LAST_CHUNK,
    ChunkedBodyError,
    ChunkedDecoder,
)
from rosemarystream._internal.utils.loop_share import LoopShare

# Bytes on the wire allowed for each byte of a body, as chunks add some to each, and
# bytes allowed besides.
MAX_WIRE_FACTOR = 16
EXTRA_WIRE_BYTES = 65_536


class RequestBodyReader:
    """Reads the body of one request, whose head h11 has read.

    Only bytes of this request are passed to h11, which would keep a second copy of
    those that were sent together with it.

    Parameters
    ----------
    receive : callable
        Returns more of what the caller sends, up to a number of bytes.
    holdings : CallerHoldings
        Counts what is read.
    """

    def __init__(
        self,
        *,
        protocol: h11.Connection,
        limits: CallerLimits,
        receive: Callable[[int], bytes],
        holdings: CallerHoldings,
        loop_share: LoopShare,
    ) -> None:
        self._protocol = protocol
        self._limits = limits
        self._receive = receive
        self._holdings = holdings
        self._loop_share = loop_share
        self._body = bytearray()
        self._received_bytes = 0
        self._max_received = MAX_WIRE_FACTOR * limits.body_bytes + EXTRA_WIRE_BYTES

    def read(self, length: int | None) -> bytes:
        """Return the body, which has a length, or chunks if it is None.

        Raises
        ------
        RefusedRequestError
            If it is malformed, too long or too slow.
        CallerDisconnectedError
            If the caller closes within it.
        """
        try:
            if length is None:
                self._read_chunks()
            self._read_to_end(length)
        except (ChunkedBodyError, h11.ProtocolError) as error:
            raise RefusedRequestError(ErrorKind.BAD_REQUEST, str(error)) from error
        except TimeoutError:
            raise RefusedRequestError(
                ErrorKind.SLOW_SENDER, f"no byte in {self._limits.idle_timeout_s} s"
            ) from None
        return bytes(self._body)

    def _read_chunks(self) -> None:
        """Read all chunks but the last one, which h11 gets with its trailers."""
        decoder = ChunkedDecoder(max_head_bytes=self._limits.head_bytes)
        undecoded = bytearray()
        while not decoder.is_at_end:
            self._loop_share.take_step()
            contents = decoder.decode(undecoded)
            self._extend(contents)
            if not contents and not decoder.is_at_end:
                undecoded += self._receive_more(READ_BYTES)
        self._protocol.receive_data(LAST_CHUNK + undecoded)

    def _read_to_end(self, length: int | None) -> None:
        while True:
            self._loop_share.take_step()
            event = self._protocol.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                self._extend(event.data)
                continue
            most = READ_BYTES if length is None else length - self._received_bytes
            self._protocol.receive_data(self._receive_more(min(READ_BYTES, most)))

    def _extend(self, contents: bytes | bytearray) -> None:
        self._body += contents
        if len(self._body) > self._limits.body_bytes:
            raise self._make_too_large_error()
        if len(self._body) > SMALL_BYTES:
            self._holdings.hold_body(len(self._body))

    def _receive_more(self, most: int) -> bytes:
        # Now none of what was received may belong to a later request.
        if self._received_bytes > self._max_received:
            raise self._make_too_large_error()
        data = self._receive(most)
        self._received_bytes += len(data)
        return data

    def _make_too_large_error(self) -> RefusedRequestError:
        return RefusedRequestError(
            ErrorKind.TOO_LARGE, f"over {self._limits.body_bytes} bytes"
        )
