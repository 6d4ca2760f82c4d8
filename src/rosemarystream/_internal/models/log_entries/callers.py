"""Log entries of callers that are refused, or whose connections are closed."""

from logbook import WARNING

from rosemarystream._internal.models.log_entries.base import (
    FAILURE_ENTRIES_PER_S,
    LogEntry,
)


class CallerClosed(LogEntry, frozen=True, kw_only=True):
    """A caller's connection was closed to make room for others.

    Attributes
    ----------
    cause : str
        ``unread_answer`` (the caller took nothing of its answer for a second),
        ``stalled_request`` (it sent nothing more of a request), ``pipelined`` (its
        requests were waiting behind others that it had sent), ``slow_reader`` or
        ``idle``.
    address : str
        IP address of the caller.
    bytes, all_bytes : int
        Cost in memory of what was held for it, and of what is held for all others.
    connections : int
        Connections of callers that are left.
    """

    message = "caller closed to make room"
    level = WARNING
    limit_per_s = FAILURE_ENTRIES_PER_S
    cause: str
    address: str
    bytes: int
    all_bytes: int
    connections: int


class CallerRefused(LogEntry, frozen=True, kw_only=True):
    """A connection or a request was refused for lack of room; nothing has run.

    Attributes
    ----------
    cause : str
        ``connections`` (too many are open), ``address`` (too many from this address),
        ``requests`` (too many in progress), ``bytes`` (too much is held) or ``turn``
        (too many were sent together).
    address : str
        IP address of the caller.
    all_bytes : int
        Cost in memory of what is held for all callers.
    connections, requests : int
        Connections of callers that are open, and requests in progress.
    """

    message = "caller refused"
    level = WARNING
    limit_per_s = FAILURE_ENTRIES_PER_S
    cause: str
    address: str
    all_bytes: int
    connections: int
    requests: int
