"""Logs as JSON lines on standard output, written without delaying requests.

Entries beyond the limit of their kind are dropped before a log record is made of
them. Records that find the queue full are dropped too. The counts are logged.
"""

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
from rosemarystream._internal.models.log_entries.base import LogEntry
from rosemarystream._internal.models.log_entries.process import LogEntriesDropped

log = logbook.Logger(__name__)

# Entries queued at most; with the next limit, on their size, this bounds the memory.
MAX_QUEUED_ENTRIES = 2_000
MAX_ENTRY_BYTES = 4_096
# Entries queued beyond that, of kinds that have to be logged at any load.
MAX_OVERFLOW_ENTRIES = 500
MAX_LIST_ITEMS = 40
# Time for which entries are collected before they are written in one call.
BATCH_S = 0.05
# Interval of the entries that report how many were dropped.
DROP_REPORT_INTERVAL_S = 1.0
# Time limit of the last write at the end of the process.
FINAL_FLUSH_TIMEOUT_S = 0.3
_NO_FIELDS = b"{}"


class LogFilter:
    """Decides which log entries of the process are written.

    It is called before a log record is made, so that a dropped entry costs little.

    Attributes
    ----------
    minimum_level : int
        Entries of a lower level are not written.
    dropped : int
        Entries dropped since the start because there were too many.
    """

    def __init__(self) -> None:
        self.minimum_level = logbook.NOTSET
        self.dropped = 0
        self._limits = LogRateLimiter()
        self._overflowed: Counter[str] = Counter()

    def allow(self, entry: LogEntry) -> bool:
        """Return whether an entry may be written now; count it if it is dropped."""
        if entry.level < self.minimum_level:
            return False
        if self._limits.allow(entry.kind, entry.limit_per_s, time.monotonic()):
            return True
        self.dropped += 1
        return False

    def count_overflow(self, kind: str) -> None:
        """Count an entry that is dropped because the queue is full."""
        self.dropped += 1
        self._overflowed[kind] += 1

    def take_drop_reports(self) -> list[LogEntriesDropped]:
        """Return entries that report what was dropped since the last call."""
        overflowed, self._overflowed = dict(self._overflowed), Counter()
        found = {
            "too many of a kind": self._limits.take_dropped(),
            "reader too slow": overflowed,
        }
        return [LogEntriesDropped(why=why, counts=x) for why, x in found.items() if x]


# Shared by all loggers of the process.
log_filter = LogFilter()


def write_log_entry(log: logbook.Logger, entry: LogEntry) -> None:
    """Log an entry, unless its level is too low or its kind is over its limit."""
    if log_filter.allow(entry):
        log.log(entry.level, entry.message, line=entry)


class QueuedJsonHandler(logbook.Handler):
    """Queues each log record as a JSON line; a greenlet writes the queue.

    Records that find the queue full are dropped and counted; the counts are logged.

    Parameters
    ----------
    host : str
        Name of this host, part of each line.
    descriptor : int
        File descriptor that lines are written to; it is made non-blocking.
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
        """Queue one record, or drop it if the queue is full."""
        entry = record.kwargs.get("line")
        if len(self._queue) >= _get_queue_bound(entry):
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
        """Write the queue whenever it has entries; runs until it is killed."""
        while True:
            self._has_entries.wait()
            # Entries that follow closely are written in one call.
            gevent.sleep(BATCH_S)
            self._has_entries.clear()
            self.flush_queue()

    def flush_queue(self) -> None:
        """Write the queue; only this greenlet waits if the reader is slow."""
        with self._write_lock:
            while self._queue:
                data = b"".join(self._queue)
                self._queue.clear()
                while data:
                    data = data[gevent_os.nb_write(self._descriptor, data) :]

    def report_dropped(self) -> None:
        """Log the counts of dropped entries at intervals; runs until it is killed."""
        while True:
            gevent.sleep(DROP_REPORT_INTERVAL_S)
            self._log_dropped_counts()

    def _log_dropped_counts(self) -> None:
        for entry in log_filter.take_drop_reports():
            write_log_entry(log, entry)

    def flush_at_end(self) -> None:
        """Write the queue at the end, within a time limit for a slow reader."""
        self._log_dropped_counts()
        with gevent.Timeout(FINAL_FLUSH_TIMEOUT_S, False):
            self.flush_queue()


def _get_queue_bound(entry: LogEntry | None) -> int:
    if entry is not None and entry.may_overflow:
        return MAX_QUEUED_ENTRIES + MAX_OVERFLOW_ENTRIES
    return MAX_QUEUED_ENTRIES


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
    """Return one JSON object with the members of two."""
    if second == _NO_FIELDS:
        return first
    return first[:-1] + b"," + second[1:]


def set_up_gateway_logs(*, host: str, level: str) -> QueuedJsonHandler:
    """Send all logs of the process to standard output as JSON lines.

    The caller starts the loops that write them (`write_queued`, `report_dropped`).
    """
    logbook.concurrency.enable_gevent()
    handler = QueuedJsonHandler(host=host, level=level, descriptor=sys.stdout.fileno())
    log_filter.minimum_level = handler.level
    handler.push_application()
    return handler
