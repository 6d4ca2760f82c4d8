"""Logs as JSON lines on standard output that never hold a request up."""

import sys
import time
from collections import Counter, deque
from typing import Any

import gevent
import logbook
import logbook.concurrency
import msgspec
from gevent import os as gevent_os
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from rosemarystream._internal.decisions.log_limits import LogRateLimiter
from rosemarystream._internal.logs import truncate_value
from rosemarystream._internal.models.log_entries import LogEntriesDropped, LogEntry

log = logbook.Logger(__name__)

# Lines that wait to be written; memory is bounded by lines of the next size.
MAX_LINES = 2_000
MAX_LINE_BYTES = 4_096
MAX_LIST_ITEMS = 40
# Time for which lines gather before they are written.
GATHER_S = 0.05
# Time between two lines that count what was left out.
NOTE_S = 1.0
# Time that the last lines are given at the end of the process.
END_S = 0.3
_NO_FIELDS = b"{}"


class LineGate:
    """Lets lines of a process through, before a record is made of them.

    Attributes
    ----------
    least_level : int
        Lines below are not written.
    left_out : int
        Lines not written since the start because there were too many.
    """

    def __init__(self) -> None:
        self.least_level = logbook.NOTSET
        self.left_out = 0
        self._limits = LogRateLimiter()
        self._unread: Counter[str] = Counter()

    def allow(self, line: LogEntry) -> bool:
        """Whether a line is written now."""
        if line.level < self.least_level:
            return False
        if self._limits.allow(line.kind, line.limit_per_s, time.monotonic()):
            return True
        self.left_out += 1
        return False

    def count_unread(self, kind: str) -> None:
        """Count a line that found the queue full."""
        self.left_out += 1
        self._unread[kind] += 1

    def take_notes(self) -> list[LogEntriesDropped]:
        """Return lines that tell what was left out since the last call."""
        unread, self._unread = dict(self._unread), Counter()
        found = {
            "too many of a kind": self._limits.take_left_out(),
            "reader too slow": unread,
        }
        return [LogEntriesDropped(why=why, counts=x) for why, x in found.items() if x]


# One for all loggers of the process.
gate = LineGate()


def write_line(log: logbook.Logger, line: LogEntry) -> None:
    """Log a line of a known kind, unless there are too many of them."""
    if gate.allow(line):
        log.log(line.level, line.message, line=line)


class QueuedLinesHandler(logbook.Handler):
    """Queues each record as a line; a greenlet writes them out.

    Lines that find the queue full are counted, and the counts become a line.
    """

    def __init__(self, *, host: str, level: str, descriptor: int) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self._host = host
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._waiting = Event()
        self._writing = BoundedSemaphore()
        gevent_os.make_nonblocking(descriptor)

    def emit(self, record: Any) -> None:
        """Queue one record, if there is room."""
        line = record.kwargs.get("line")
        if len(self._lines) >= MAX_LINES:
            gate.count_unread(line.kind if line is not None else record.msg)
            return
        self._lines.append(self._encode(record, line))
        self._waiting.set()

    def _encode(self, record: Any, line: LogEntry | None) -> bytes:
        head = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "host": self._host,
            "logger": record.channel.rpartition(".")[2],
            "message": line.message
            if line is not None
            else truncate_value(record.message),
        }
        if record.exc_info:
            head["exception"] = record.formatted_exception
        return _join(msgspec.json.encode(head), _encode_fields(line)) + b"\n"

    def write_lines(self) -> None:
        """Write queued lines for ever."""
        while True:
            self._waiting.wait()
            # Lines that come together are written in one call.
            gevent.sleep(GATHER_S)
            self._waiting.clear()
            self.flush_lines()

    def flush_lines(self) -> None:
        """Write what is queued; waits without blocking others."""
        with self._writing:
            while self._lines:
                data = b"".join(self._lines)
                self._lines.clear()
                while data:
                    data = data[gevent_os.nb_write(self._descriptor, data) :]

    def note_left_out(self) -> None:
        """Log the counts of lines left out, for ever."""
        while True:
            gevent.sleep(NOTE_S)
            self._note_counts()

    def _note_counts(self) -> None:
        for line in gate.take_notes():
            write_line(log, line)

    def flush_at_end(self) -> None:
        """Write what is queued unless the reader is too slow."""
        self._note_counts()
        with gevent.Timeout(END_S, False):
            self.flush_lines()


def _encode_fields(line: LogEntry | None) -> bytes:
    if line is None:
        return _NO_FIELDS
    encoded = msgspec.json.encode(line)
    if len(encoded) <= MAX_LINE_BYTES:
        return encoded
    fields = msgspec.structs.asdict(line)
    return msgspec.json.encode({key: _cut(value) for key, value in fields.items()})


def _cut(value: Any) -> Any:
    if isinstance(value, list):
        kept = [truncate_value(item) for item in value[:MAX_LIST_ITEMS]]
        left = len(value) - len(kept)
        return [*kept, f"and {left} more"] if left else kept
    return truncate_value(value)


def _join(first: bytes, second: bytes) -> bytes:
    """Return one JSON object made of two."""
    if second == _NO_FIELDS:
        return first
    return first[:-1] + b"," + second[1:]


def set_up_gateway_logs(*, host: str, level: str) -> QueuedLinesHandler:
    """Send all logs of the process to standard output as JSON lines."""
    logbook.concurrency.enable_gevent()
    handler = QueuedLinesHandler(host=host, level=level, descriptor=sys.stdout.fileno())
    gate.least_level = handler.level
    handler.push_application()
    gevent.spawn(handler.write_lines)
    gevent.spawn(handler.note_left_out)
    return handler
