"""Splitting of a byte stream into server-sent events."""

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_IDENTIFIER = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Splits a stream into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._buffer = b""

    def split(self, data: bytes) -> list[bytes]:
        """Return the events completed by `data`, each with its blank line."""
        self._buffer += data
        events = []
        start = 0
        for match in _END.finditer(self._buffer):
            events.append(self._buffer[start : match.end()])
            start = match.end()
        self._buffer = self._buffer[start:]
        return events

    @property
    def remainder(self) -> bytes:
        """Bytes of the incomplete event at the end of the stream."""
        return self._buffer


def find_event_id(event: bytes) -> bytes:
    """Return the value of the ``id`` field of an event, or empty bytes."""
    match = _IDENTIFIER.search(event)
    return match.group(1) if match else b""
