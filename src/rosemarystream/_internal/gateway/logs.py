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
MAX_QUEUED_ENTRIES = 2_000
MAX_ENTRY_BYTES = 4_096
MAX_LIST_ITEMS = 40
# Time for which lines gather before they are written.
BATCH_S = 0.05
# Time between two lines that count what was left out.
DROP_REPORT_INTERVAL_S = 1.0
# Time that the last lines are given at the end of the process.
FINAL_FLUSH_TIMEOUT_S = 0.3
_NO_FIELDS = b"{}"


class LogFilter:
    """Lets lines of a process through, before a record is made of them.

    Attributes
    ----------
    minimum_level : int
        Lines below are not written.
    dropped : int
        Lines not written since the start because there were too many.
    """

    def __init__(self) -> None:
        self.minimum_level = logbook.NOTSET
        self.dropped = 0
        self._limits = LogRateLimiter()
        self._overflowed: Counter[str] = Counter()

    def allow(self, entry: LogEntry) -> bool:
        """Whether a line is written now."""
        if entry.level < self.minimum_level:
            return False
        if self._limits.allow(entry.kind, entry.limit_per_s, time.monotonic()):
            return True
        self.dropped += 1
        return False

    def count_overflow(self, kind: str) -> None:
        """Count a line that found the queue full."""
        self.dropped += 1
        self._overflowed[kind] += 1

    def take_drop_reports(self) -> list[LogEntriesDropped]:
        """Return lines that tell what was left out since the last call."""
        overflowed, self._overflowed = dict(self._overflowed), Counter()
        found = {
            "too many of a kind": self._limits.take_left_out(),
            "reader too slow": overflowed,
        }
        return [LogEntriesDropped(why=why, counts=x) for why, x in found.items() if x]


# One for all loggers of the process.
log_filter = LogFilter()


def write_log_entry(log: logbook.Logger, entry: LogEntry) -> None:
    """Log a line of a known kind, unless there are too many of them."""
    if log_filter.allow(entry):
        log.log(entry.level, entry.message, line=entry)


class QueuedJsonHandler(logbook.Handler):
    """Queues each record as a line; a greenlet writes them out.

    Lines that find the queue full are counted, and the counts become a line.
    """

    def __init__(self, *, host: str, level: str, descriptor: int) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self._host = host
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._has_entries = Event()
        self._write_lock = BoundedSemaphore()
        gevent_os.make_nonblocking(descriptor)

    def emit(self, record: Any) -> None:
        """Queue one record, if there is room."""
        entry = record.kwargs.get("line")
        if len(self._queue) >= MAX_QUEUED_ENTRIES:
            log_filter.count_overflow(entry.kind if entry is not None else record.msg)
            return
        self._queue.append(self._encode(record, entry))
        self._has_entries.set()

    def _encode(self, record: Any, entry: LogEntry | None) -> bytes:
        head = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "host": self._host,
            "logger": record.channel.rpartition(".")[2],
            "message": entry.message
            if entry is not None
            else truncate_value(record.message),
        }
        if record.exc_info:
            head["exception"] = record.formatted_exception
        return _merge_objects(msgspec.json.encode(head), _encode_fields(entry)) + b"\n"

    def write_queued(self) -> None:
        """Write queued lines for ever."""
        while True:
            self._has_entries.wait()
            # Lines that come together are written in one call.
            gevent.sleep(BATCH_S)
            self._has_entries.clear()
            self.flush_queue()

    def flush_queue(self) -> None:
        """Write what is queued; waits without blocking others."""
        with self._write_lock:
            while self._queue:
                data = b"".join(self._queue)
                self._queue.clear()
                while data:
                    data = data[gevent_os.nb_write(self._descriptor, data) :]

    def report_dropped(self) -> None:
        """Log the counts of lines left out, for ever."""
        while True:
            gevent.sleep(DROP_REPORT_INTERVAL_S)
            self._log_dropped_counts()

    def _log_dropped_counts(self) -> None:
        for entry in log_filter.take_drop_reports():
            write_log_entry(log, entry)

    def flush_at_end(self) -> None:
        """Write what is queued unless the reader is too slow."""
        self._log_dropped_counts()
        with gevent.Timeout(FINAL_FLUSH_TIMEOUT_S, False):
            self.flush_queue()


def _encode_fields(entry: LogEntry | None) -> bytes:
    if entry is None:
        return _NO_FIELDS
    encoded = msgspec.json.encode(entry)
    if len(encoded) <= MAX_ENTRY_BYTES:
        return encoded
    fields = msgspec.structs.asdict(entry)
    return msgspec.json.encode({key: _shorten(value) for key, value in fields.items()})


def _shorten(value: Any) -> Any:
    if isinstance(value, list):
        kept = [truncate_value(item) for item in value[:MAX_LIST_ITEMS]]
        left = len(value) - len(kept)
        return [*kept, f"and {left} more"] if left else kept
    return truncate_value(value)


def _merge_objects(first: bytes, second: bytes) -> bytes:
    """Return one JSON object made of two."""
    if second == _NO_FIELDS:
        return first
    return first[:-1] + b"," + second[1:]


def set_up_gateway_logs(*, host: str, level: str) -> QueuedJsonHandler:
    """Send all logs of the process to standard output as JSON lines."""
    logbook.concurrency.enable_gevent()
    handler = QueuedJsonHandler(host=host, level=level, descriptor=sys.stdout.fileno())
    log_filter.minimum_level = handler.level
    handler.push_application()
    gevent.spawn(handler.write_queued)
    gevent.spawn(handler.report_dropped)
    return handler
