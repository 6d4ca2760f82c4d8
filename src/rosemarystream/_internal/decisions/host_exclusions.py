"""Hosts that are passed over for a while after an exchange with them failed.

Heartbeats and forwarded requests take different connections; a host can be
heard and yet not be reached, or refuse a group that it is thought to own.
"""

UNREACHABLE_SECONDS = 3.0
NOT_OWNER_SECONDS = 0.5
MAX_ENTRIES = 4096

_ANY_GROUP = ""


class HostExclusions:
    """Remembers recent failures of other hosts, each with a deadline."""

    def __init__(self) -> None:
        self._deadlines: dict[tuple[str, str], float] = {}

    def record_unreachable(self, host: str, now: float) -> None:
        """Take that a host could not be reached."""
        self._exclude(_ANY_GROUP, host, now + UNREACHABLE_SECONDS)

    def record_not_owner(self, group: str, host: str, now: float) -> None:
        """Take that a host said that it does not own a group."""
        self._exclude(group, host, now + NOT_OWNER_SECONDS)

    def _exclude(self, group: str, host: str, deadline: float) -> None:
        self._deadlines.pop((group, host), None)
        self._deadlines[group, host] = deadline
        if len(self._deadlines) > MAX_ENTRIES:
            del self._deadlines[next(iter(self._deadlines))]

    def is_excluded(self, group: str, host: str, now: float) -> bool:
        """Tell whether a host is passed over for a group."""
        if not self._deadlines:
            return False
        keys = (_ANY_GROUP, host), (group, host)
        return any(self._deadlines.get(key, 0.0) > now for key in keys)

    def __len__(self) -> int:
        return len(self._deadlines)
