"""Log entries of other hosts: gossip and pulls.

Fields that end in ``_ms`` are milliseconds of the host's monotonic clock.
"""

from logbook import DEBUG, WARNING

from rosemarystream._internal.models.log_entries.base import LogEntry


class UpdatesPulled(LogEntry, frozen=True, kw_only=True):
    """Newer servers or a newer configuration were pulled from another host."""

    message = "updates pulled"
    updates: list[str]
    revision: int


class PullFailed(LogEntry, frozen=True, kw_only=True):
    """Pulling newer state from another host failed; it is retried soon.

    Attributes
    ----------
    state : str
        ``servers``, or ``document`` for the configuration.
    """

    message = "pull from a host failed"
    state: str
    ip: str
    error: str


class PullUnanswered(LogEntry, frozen=True, kw_only=True):
    """A pull request of another host could not be answered."""

    message = "a pull was not answered"
    error: str


class GossipUnreadable(LogEntry, frozen=True, kw_only=True):
    """A gossip message of another host could not be decoded."""

    message = "gossip message unreadable"
    level = WARNING
    ip: str
    error: str


class GossipFailed(LogEntry, frozen=True, kw_only=True):
    """Sending or receiving a gossip message failed."""

    message = "gossip failed"
    level = DEBUG
    ip: str = ""
    error: str


class HostLost(LogEntry, frozen=True, kw_only=True):
    """Another host stopped sending gossip messages; its load no longer counts.

    Attributes
    ----------
    last_seen_ms : float
        Time since this host or another got a message of the lost one.
    """

    message = "host lost"
    peer: str
    data_centre: str
    last_seen_ms: float


class HostFound(LogEntry, frozen=True, kw_only=True):
    """A gossip message of another host arrived, the first one or after a loss."""

    message = "host found"
    peer: str
    data_centre: str
