"""Log entries of backend servers: their entries in the store, and what they state.

Fields that end in ``_ms`` are milliseconds of the host's monotonic clock.
"""

from logbook import DEBUG, NOTICE, WARNING

from rosemarystream._internal.models.judgements import Judgement
from rosemarystream._internal.models.log_entries.base import LogEntry


class ServerChanged(LogEntry, frozen=True, kw_only=True):
    """The store reported a new server or another state of a known one."""

    message = "server changed"
    server: str
    state: str
    revision: int


class ServerRemoved(LogEntry, frozen=True, kw_only=True):
    """The store reported that a server was removed."""

    message = "server removed"
    server: str
    revision: int


class ServersListed(LogEntry, frozen=True, kw_only=True):
    """All servers were listed from the store, and some of them had changed.

    Attributes
    ----------
    updates : list of str
        Servers that were added, changed or removed.
    """

    message = "servers listed"
    updates: list[str]
    revision: int


class ServerEntryInvalid(LogEntry, frozen=True, kw_only=True):
    """The entry of a server in the store is invalid and is ignored."""

    message = "server entry ignored"
    error: str


class ServersNotReturned(LogEntry, frozen=True, kw_only=True):
    """Servers were dropped whose entries expired in an outage of the store."""

    message = "servers did not come back"
    servers: list[str]


class ServersReleased(LogEntry, frozen=True, kw_only=True):
    """Servers are used again: the store has kept their entries since it came back."""

    message = "servers used again after a copy of the store"
    servers: list[str]


class ServerEjected(LogEntry, frozen=True, kw_only=True):
    """A server was ejected for a while: it is unreachable or does not respond."""

    message = "server ejected"
    server: str
    for_ms: float


class ServerReinstated(LogEntry, frozen=True, kw_only=True):
    """An ejected server answered and receives requests again."""

    message = "server reinstated"
    server: str


class ServerLeaving(LogEntry, frozen=True, kw_only=True):
    """A server states that it leaves; it gets no more requests.

    Attributes
    ----------
    reported_by_host : bool
        Whether another host has reported it to this one, rather than the server.
    """

    message = "server leaving"
    level = NOTICE
    server: str
    reported_by_host: bool


class ServerAskedToWait(LogEntry, frozen=True, kw_only=True):
    """A server states that it accepts no requests of this host for a while."""

    message = "server accepts no requests"
    server: str
    for_ms: float


class ServerLimitChanged(LogEntry, frozen=True, kw_only=True):
    """A server limits the requests that it gets, changes the limit, or ends it.

    Attributes
    ----------
    per_s : float or None
        Requests that it takes in a second from all hosts together; None if it states
        no limit any more.
    """

    message = "server limit"
    level = NOTICE
    server: str
    per_s: float | None


class EvacuationBegun(LogEntry, frozen=True, kw_only=True):
    """An operator wants no more requests to be sent to the servers of a data centre.

    Attributes
    ----------
    source : str
        ``store``, or the host that has passed it on; its IP address after a pull.
    age_ms : float
        Time since a host read it from the store.
    """

    message = "evacuation begun"
    level = NOTICE
    evacuated: str
    revision: int
    source: str
    age_ms: float


class EvacuationEnded(LogEntry, frozen=True, kw_only=True):
    """The servers of an evacuated data centre may get requests again.

    Attributes
    ----------
    source : str
        ``store``, or the host that has passed it on; its IP address after a pull.
    age_ms : float
        Time since a host read it from the store.
    """

    message = "evacuation ended"
    level = NOTICE
    evacuated: str
    revision: int
    source: str
    age_ms: float


class ServerCold(LogEntry, frozen=True, kw_only=True):
    """A server is cold: it gets few requests, each with a permission.

    Attributes
    ----------
    for_ms : float
        Time until it is warm, as known now.
    source : str
        How the host knows: ``entry`` (the store), ``incarnation`` (it has started
        again), ``refused`` (nothing listened there), ``unreachable`` (this host could
        not reach it for a while) or ``reported`` (by another host).
    """

    message = "server cold"
    level = NOTICE
    server: str
    for_ms: float
    source: str


class ServerWarm(LogEntry, frozen=True, kw_only=True):
    """A server that was cold gets requests as before."""

    message = "server warm"
    level = NOTICE
    server: str


class ServicesUnreachable(LogEntry, frozen=True, kw_only=True):
    """The set of services without a reachable server changed.

    The host is not ready while there are any.

    Attributes
    ----------
    services : list of str
        All such services; empty once each is reachable again.
    """

    message = "services unreachable"
    level = WARNING
    services: list[str]


class ServerStillUnreachable(LogEntry, frozen=True, kw_only=True):
    """Another attempt to reach an unreachable server failed."""

    message = "server still unreachable"
    level = DEBUG
    server: str
    reason: str


class JudgementWithheld(LogEntry, frozen=True, kw_only=True):
    """A timeout was not held against servers, as this host was late meanwhile.

    Attributes
    ----------
    judgement : str
        ``connect`` (no connection was made in time), ``silence`` (no answer came) or
        ``no_backend`` (no server could be reached); each was tried once more.
    request : str or None
        Identifier of the request, where one is known.
    """

    message = "judgement withheld"
    level = NOTICE
    judgement: Judgement
    server: str | None = None
    request: str | None = None
