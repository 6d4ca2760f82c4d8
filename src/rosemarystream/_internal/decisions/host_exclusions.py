"""Hosts that are excluded for a short time after forwarding to them failed.

Heartbeats and forwarded requests use different connections, so a host may send
heartbeats and yet be unreachable. It may also refuse a group that this host
considers it the owner of.
"""

from rosemarystream._internal.decisions.bounded_dict import BoundedDict

UNREACHABLE_SECONDS = 3.0
NOT_OWNER_SECONDS = 0.5
MAX_ENTRIES = 4096

_ANY_GROUP = ""


class HostExclusions:
    """Exclusions of hosts, for all groups or for one, each with a deadline."""

    def __init__(self) -> None:
        self._deadlines = BoundedDict[tuple[str, str], float](most=MAX_ENTRIES)

    def record_unreachable(self, host: str, now: float) -> None:
        """Record that a host could not be reached."""
        self._exclude(_ANY_GROUP, host, now + UNREACHABLE_SECONDS)

    def record_not_owner(self, group: str, host: str, now: float) -> None:
        """Record that a host refused a group as not its own."""
        self._exclude(group, host, now + NOT_OWNER_SECONDS)

    def _exclude(self, group: str, host: str, deadline: float) -> None:
        self._deadlines.put((group, host), deadline)

    def is_excluded(self, group: str, host: str, now: float) -> bool:
        """Return whether a host is excluded for a group."""
        if not self._deadlines:
            return False
        keys = (_ANY_GROUP, host), (group, host)
        return any(self._deadlines.get(key, 0.0) > now for key in keys)

    def __len__(self) -> int:
        return len(self._deadlines)
