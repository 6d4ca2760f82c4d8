"""Log entries of the process itself: start, stop, settings, loops and logs.

Fields that end in ``_ms`` are milliseconds of the host's monotonic clock.
"""

from logbook import ERROR, NOTICE, WARNING

from rosemarystream._internal.models.log_entries.base import (
    FAILURE_ENTRIES_PER_S,
    LogEntry,
)


class LoopFailed(LogEntry, frozen=True, kw_only=True):
    """An unexpected error ended a loop of the host, or one step of it.

    Attributes
    ----------
    loop : str
        Name of the loop.
    error : str
        Type of the error.
    trace : list of str
        Calls that led to it, as file, line and function; the innermost is the last.
    pause_ms : float
        Time until the loop starts again; 0 if it went on with the next step.
    """

    message = "loop failed"
    level = ERROR
    limit_per_s = FAILURE_ENTRIES_PER_S
    loop: str
    error: str
    trace: list[str]
    pause_ms: float

    @property
    def kind(self) -> str:
        """Loops have separate limits, so that each is seen to fail."""
        return f"{self.message} {self.loop}"


class TaskFailed(LogEntry, frozen=True, kw_only=True):
    """An unexpected error ended work in the background; it is not repeated.

    Attributes
    ----------
    task : str
        Name of the kind of work.
    error : str
        Type of the error.
    trace : list of str
        Calls that led to it, as file, line and function; the innermost is the last.
    """

    message = "task failed"
    level = ERROR
    limit_per_s = FAILURE_ENTRIES_PER_S
    task: str
    error: str
    trace: list[str]

    @property
    def kind(self) -> str:
        """Kinds of work have separate limits."""
        return f"{self.message} {self.task}"


class Started(LogEntry, frozen=True, kw_only=True):
    """The process starts to serve.

    Attributes
    ----------
    incarnation : int
        Start time, in milliseconds since the epoch.
    """

    message = "start"
    pid: int
    incarnation: int


class Leaving(LogEntry, frozen=True, kw_only=True):
    """The process was asked to stop and finishes the requests in progress.

    Attributes
    ----------
    busy : int
        Requests in progress.
    end_in_ms : float
        Time after which requests still in progress are aborted.
    """

    message = "leaving"
    busy: int
    end_in_ms: float


class Stopped(LogEntry, frozen=True, kw_only=True):
    """The process exits.

    Attributes
    ----------
    busy : int
        Requests that are aborted.
    """

    message = "stop"
    busy: int


class SettingsReloaded(LogEntry, frozen=True, kw_only=True):
    """The settings file was read again.

    Attributes
    ----------
    changed : list of str
        Changed keys with their old and new values.
    at_next_start : list of str
        Changed keys that only take effect when the process restarts.
    """

    message = "settings reloaded"
    level = NOTICE
    changed: list[str]
    at_next_start: list[str]


class SettingsReloadFailed(LogEntry, frozen=True, kw_only=True):
    """The settings file is invalid; the previous settings stay in force."""

    message = "settings not reloaded"
    level = ERROR
    error: str


class LogEntriesDropped(LogEntry, frozen=True, kw_only=True):
    """Log entries were dropped.

    Attributes
    ----------
    why : str
        ``too many of a kind`` or ``reader too slow``.
    counts : dict of str to int
        Number of dropped entries by kind.
    """

    message = "log entries dropped"
    level = WARNING
    why: str
    counts: dict[str, int]


class HostDelayed(LogEntry, frozen=True, kw_only=True):
    """The host ran late: it had no processor time, or was suspended.

    Timeouts of that moment say nothing of servers and other hosts.
    """

    message = "this host was late"
    level = NOTICE
    limit_per_s = FAILURE_ENTRIES_PER_S
    late_ms: float
