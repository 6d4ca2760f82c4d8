"""Requests that were sent together with an earlier one, and are not served."""

from collections.abc import Iterator

import h11

from rosemarystream._internal.gateway.request_reader import Request, find_length
from rosemarystream._internal.utils.chunked_body import (
    LAST_CHUNK,
    ChunkedBodyError,
    ChunkedDecoder,
)
from rosemarystream._internal.utils.http_heads import (
    HttpHeadError,
    check_http_head,
    find_head_end,
)


def split_requests(data: bytearray, received_at: float) -> Iterator[Request]:
    """Yield the whole requests at the start of what was read from a connection.

    What follows the first one that is not whole, or malformed, is left out.
    """
    start = 0
    while (found := _split_first(data, start, received_at)) is not None:
        request, start = found
        yield request


def _split_first(
    data: bytearray, start: int, received_at: float
) -> tuple[Request, int] | None:
    """Return the request that begins at a position, and the position of its end."""
    while data[start : start + 1] in (b"\r", b"\n"):
        start += 1
    end = find_head_end(data, start)
    if not end:
        return None
    head = bytes(data[start:end])
    protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=len(data))
    try:
        check_http_head(head)
        protocol.receive_data(head)
        event = protocol.next_event()
        length = find_length(event)
        # What follows is copied only where its length isn't known before.
        stop = len(data) if length is None else end + length
        rest = data[end:stop]
        body = _decode_chunks(rest) if length is None else bytearray()
        if rest:
            protocol.receive_data(bytes(rest))
        is_whole = _read_body(protocol, body)
    except (HttpHeadError, ChunkedBodyError, h11.ProtocolError):
        # It would have been refused, not served.
        return None
    if not is_whole:
        return None
    request = Request(
        event.method, event.target, list(event.headers), bytes(body), received_at
    )
    return request, min(stop, len(data)) - len(protocol.trailing_data[0])


def _decode_chunks(data: bytearray) -> bytearray:
    """Replace the chunks at the start by an empty last one; return their contents."""
    decoder = ChunkedDecoder(max_head_bytes=len(data))
    body = bytearray()
    while contents := decoder.decode(data):
        body += contents
    data[:] = LAST_CHUNK + data if decoder.is_at_end else b""
    return body


def _read_body(protocol: h11.Connection, body: bytearray) -> bool:
    """Add what h11 has of the body of a request; return whether that is its end."""
    while isinstance(event := protocol.next_event(), h11.Data):
        body += event.data
    return isinstance(event, h11.EndOfMessage)
