"""Log entries of the ledger of requests.

Fields that end in ``_ms`` are milliseconds of the host's monotonic clock.
"""

from logbook import ERROR, NOTICE

from rosemarystream._internal.models.endings import (
    AnswerProgress,
    EndingCause,
    ServerAct,
)
from rosemarystream._internal.models.log_entries.base import (
    FAILURE_ENTRIES_PER_S,
    LogEntry,
)


class RequestUnanswered(LogEntry, frozen=True, kw_only=True):
    """A request that was read whole ended without a whole answer.

    Attributes
    ----------
    request : str
        Identifier of the request; empty if its headers could not be understood.
    cause : str
        ``server_broke_off``, ``timed_out``, ``caller_gone``, ``host_stopped``,
        ``connection_closed`` (an earlier answer closed the connection) or ``error``.
    progress : str
        What the caller was sent: ``nothing``, ``head``, ``part`` or ``all_but_end``.
    status : int
        HTTP status sent to the caller; 0 if none.
    ms : float
        Time from the first byte of the request to its end.
    connection_ms : float
        Age of the caller's connection.
    connection_requests : int
        Number of requests that were read from it, with this one.
    version_at_start, version : int
        Version of the configuration when the request had been read, and at its end.
    configuration_ms, reload_ms, stop_ms : float or None
        Time since the last change of the configuration, the last SIGHUP, and SIGTERM;
        None if there was none.
    server : str
        Server that was tried last; empty if none was.
    server_act : str
        What it did last: ``not_asked``, ``not_reached``, ``refused``, ``no_answer``,
        ``answering``, ``answered``, ``closed``, ``unresponsive``, ``unreachable`` or
        ``faulty``.
    quiet_ms : float or None
        Time since it last sent anything for the request, or since it was sent it.
    reason : str
        Reason if one is known.
    """

    message = "request without a whole answer"
    level = NOTICE
    may_overflow = True
    request: str
    cause: EndingCause
    progress: AnswerProgress
    status: int
    ms: float
    connection_ms: float
    connection_requests: int
    version_at_start: int
    version: int
    configuration_ms: float | None = None
    reload_ms: float | None = None
    stop_ms: float | None = None
    server: str = ""
    server_act: ServerAct = ServerAct.NOT_ASKED
    quiet_ms: float | None = None
    reason: str = ""

    @property
    def kind(self) -> str:
        """Causes have separate limits, so a flood of one doesn't suppress others."""
        return f"{self.message} {self.cause}"


class RequestsUnbalanced(LogEntry, frozen=True, kw_only=True):
    """Requests that were begun and not ended aren't those in progress.

    Attributes
    ----------
    begun, ended, in_progress : int
        Requests that were read whole since the start, those of them that have ended,
        and those that are being served.
    difference : int
        Begun less ended less in progress: above 0 if an ending was not counted, below
        0 if one was counted twice.
    """

    message = "requests unbalanced"
    level = ERROR
    limit_per_s = FAILURE_ENTRIES_PER_S
    begun: int
    ended: int
    in_progress: int
    difference: int


class RequestsCounted(LogEntry, frozen=True, kw_only=True):
    """The requests of a process that exits.

    Attributes
    ----------
    begun : int
        Requests that were read whole since the start.
    ended : dict of str to int
        Those of them that have ended, by cause.
    in_progress : int
        Those that have not.
    """

    message = "requests counted"
    begun: int
    ended: dict[str, int]
    in_progress: int
