"""Requests that were sent together with an earlier one, and are not served."""

from collections.abc import Iterator

import h11

from rosemarystream._internal.gateway.request_reader import Request
from rosemarystream._internal.utils.http_heads import (
    HttpHeadError,
    check_http_head,
    find_head_end,
)


def split_requests(data: bytes, received_at: float) -> Iterator[Request]:
    """Yield the whole requests at the start of what was read from a connection.

    What follows the first one that is not whole, or malformed, is left out.
    """
    while (found := _split_first(data, received_at)) is not None:
        request, data = found
        yield request


def _split_first(data: bytes, received_at: float) -> tuple[Request, bytes] | None:
    data = data.lstrip(b"\r\n")
    head_end = find_head_end(data)
    if not head_end:
        return None
    protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=len(data))
    try:
        check_http_head(data[:head_end])
        protocol.receive_data(data)
        event = protocol.next_event()
        body = _read_body(protocol)
    except (HttpHeadError, h11.ProtocolError):
        # It would have been refused, not served.
        return None
    if body is None:
        return None
    request = Request(
        event.method, event.target, list(event.headers), body, received_at
    )
    return request, protocol.trailing_data[0]


def _read_body(protocol: h11.Connection) -> bytes | None:
    """Return the body of a request, or None if it is not whole."""
    body = b""
    while isinstance(event := protocol.next_event(), h11.Data):
        body += event.data
    return body if isinstance(event, h11.EndOfMessage) else None
