"""Logging as JSON lines to standard error."""

import sys
from typing import Any

import logbook
import logbook.concurrency
import msgspec

MAX_VALUE_CHARACTERS = 512


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each log record as one JSON object per line."""

    def __init__(self, *, host: str, level: str) -> None:
        super().__init__(sys.stderr, level=level.upper(), bubble=False)
        self._host = host

    def format(self, record: Any) -> str:
        """Encode a log record as JSON."""
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "host": self._host,
            "logger": record.channel,
            "message": record.message[:MAX_VALUE_CHARACTERS],
        }
        extra = {key: truncate_value(value) for key, value in record.extra.items()}
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode({**line, **extra}).decode()


def truncate_value(value: Any) -> Any:
    """Return the value, truncated if it is a long string."""
    if isinstance(value, str):
        return value[:MAX_VALUE_CHARACTERS]
    return value


def set_up_logs(*, host: str, level: str) -> None:
    """Write all logs of the process to standard error as JSON lines."""
    logbook.concurrency.enable_gevent()
    JsonLinesHandler(host=host, level=level).push_application()
