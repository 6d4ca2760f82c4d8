"""The base class of log entries, and how many of a kind are written."""

from typing import ClassVar

import msgspec
from logbook import INFO

# Maximum rate per kind of entries written by a host; entries beyond it are counted.
ENTRIES_PER_S = 50
REQUEST_ENTRIES_PER_S = 100
FAILURE_ENTRIES_PER_S = 10


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all log entries; each is written with time, level, host, logger."""

    message: ClassVar[str]
    level: ClassVar[int] = INFO
    limit_per_s: ClassVar[int] = ENTRIES_PER_S
    # Whether entries are queued beyond the bound of the queue, up to another one.
    may_overflow: ClassVar[bool] = False

    @property
    def kind(self) -> str:
        """Key of the rate limit: entries of the same kind share one limit."""
        return self.message
