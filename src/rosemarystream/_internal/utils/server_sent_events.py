"""Server-sent events cut out of a stream of bytes."""

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_IDENTIFIER = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Cuts a stream into whole events; half an event is kept back."""

    def __init__(self) -> None:
        self._buffer = b""

    def split(self, data: bytes) -> list[bytes]:
        """Return the events that are now whole, each with its blank line."""
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
        """Bytes of an event that isn't whole."""
        return self._buffer


def find_event_id(event: bytes) -> bytes:
    """Return the identifier of an event, or nothing."""
    match = _IDENTIFIER.search(event)
    return match.group(1) if match else b""
