"""Logs as JSON lines on standard output that never hold a request up."""

import sys
from collections import deque
from typing import Any

import gevent
import logbook
import logbook.concurrency
import msgspec
from gevent import os as gevent_os
from gevent.event import Event

from rosemarystream._internal.logs import MAX_VALUE_CHARACTERS, shorten_value

MAX_LINES = 2_000


class QueuedLinesHandler(logbook.Handler):
    """Queues each record as a line; a greenlet writes them out.

    Lines that find the queue full are counted, and the count is written as a
    line of its own.
    """

    def __init__(self, *, host: str, level: str, descriptor: int) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self._host = host
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._left_out = 0
        self._waiting = Event()
        gevent_os.make_nonblocking(descriptor)

    def emit(self, record: Any) -> None:
        """Queue one record."""
        if len(self._lines) >= MAX_LINES:
            self._left_out += 1
            return
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "host": self._host,
            "logger": record.channel.rpartition(".")[2],
            "message": record.message[:MAX_VALUE_CHARACTERS],
        }
        for key, value in record.kwargs.items():
            line[key] = shorten_value(value)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        self._lines.append(msgspec.json.encode(line, enc_hook=str) + b"\n")
        self._waiting.set()

    def write_lines(self) -> None:
        """Write queued lines for ever."""
        while True:
            self._waiting.wait()
            self._waiting.clear()
            self.flush_lines()

    def flush_lines(self) -> None:
        """Write what is queued; waits without blocking others."""
        while self._lines:
            data = b"".join(self._lines)
            self._lines.clear()
            if self._left_out:
                note = {"host": self._host, "message": "lines left out"}
                note["count"] = str(self._left_out)
                self._left_out = 0
                data += msgspec.json.encode(note) + b"\n"
            while data:
                data = data[gevent_os.nb_write(self._descriptor, data) :]


def set_up_gateway_logs(*, host: str, level: str) -> QueuedLinesHandler:
    """Send all logs of the process to standard output as JSON lines."""
    logbook.concurrency.enable_gevent()
    handler = QueuedLinesHandler(host=host, level=level, descriptor=sys.stdout.fileno())
    handler.push_application()
    gevent.spawn(handler.write_lines)
    return handler
