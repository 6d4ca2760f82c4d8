"""Limits that backend servers set on the requests that they get in a second.

Handles servers in need, which take only so many requests from all hosts together for
as long as they say so.
"""

from math import inf
from typing import NamedTuple

# Limit of a server that states none.
UNLIMITED = inf


class LimitChange(NamedTuple):
    """A server's new limit, in requests per second; `UNLIMITED` if it has ended."""

    server: int
    per_s: float


class ServerLimits:
    """The servers' limits in requests per second, by server number."""

    def __init__(self) -> None:
        self._limits: dict[int, float] = {}
        self._changes: list[LimitChange] = []

    def record(self, server: int, per_s: float | None) -> None:
        """Record the limit that an answer of a server stated; None if it did not."""
        limit = UNLIMITED if per_s is None else per_s
        if limit != self.find(server):
            self._changes.append(LimitChange(server, limit))
        self._limits[server] = limit

    def find(self, server: int) -> float:
        """Return a server's limit, `UNLIMITED` if it has none."""
        return self._limits.get(server, UNLIMITED)

    def is_limited(self, server: int) -> bool:
        """Return whether a server has a limit."""
        return self.find(server) < UNLIMITED

    def take_changes(self) -> list[LimitChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def forget_server(self, server: int) -> None:
        """Drop a server that has left or restarted."""
        self._limits.pop(server, None)
