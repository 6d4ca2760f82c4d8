"""Splitting of a byte stream into server-sent events."""

import re
from collections.abc import Iterator

from rosemarystream._internal.exceptions import BackendError

# Largest event; longer ones are no events of a backend server.
MAX_EVENT_BYTES = 262_144
# Bytes before new data at which the end of an event may begin.
_END_OVERLAP_BYTES = 3
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_IDENTIFIER = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_DATA = re.compile(rb"(?:^|[\r\n])data(?=[:\r\n])")


class EventTooLongError(BackendError):
    """An event is longer than `MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits a stream into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def split(self, data: bytes) -> Iterator[bytes]:
        """Return the events completed by `data`, each with its blank line.

        They are split off as they are taken, since a piece may hold thousands; all
        have to be taken before the next call.

        Raises
        ------
        EventTooLongError
            If the event before `data` is incomplete and already too long.
        """
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        # The bytes buffered before hold no end of an event.
        search_from = max(0, len(self._buffer) - _END_OVERLAP_BYTES)
        self._buffer += data
        return self._take_events(search_from)

    def _take_events(self, search_from: int) -> Iterator[bytes]:
        start = 0
        for match in _END.finditer(self._buffer, search_from):
            yield bytes(self._buffer[start : match.end()])
            start = match.end()
        del self._buffer[:start]

    @property
    def pending_bytes(self) -> int:
        """Number of bytes that are buffered."""
        return len(self._buffer)

    @property
    def remainder(self) -> bytes:
        """Bytes of the incomplete event at the end of the stream."""
        return bytes(self._buffer)


def find_event_id(event: bytes) -> bytes:
    """Return the value of the ``id`` field of an event, or empty bytes."""
    match = _IDENTIFIER.search(event)
    return match.group(1) if match else b""


def has_data(event: bytes) -> bool:
    """Return whether an event has a ``data`` field, as comments don't."""
    return _DATA.search(event) is not None
