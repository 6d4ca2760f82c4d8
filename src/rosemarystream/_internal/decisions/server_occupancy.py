"""Requests that servers hold, as their own last answers state it.

Handles counts of other hosts that arrive late: the statement of a server covers all
hosts, and is used where it is newer than those counts.
"""

from typing import NamedTuple


class _Statement(NamedTuple):
    """Requests that a server held, running and queued, at a time."""

    requests: int
    stated_at: float


class ServerOccupancy:
    """The newest statement of each server by number."""

    def __init__(self) -> None:
        self._statements: dict[int, _Statement] = {}

    def record(self, server: int, requests: int, now: float) -> None:
        """Record what an answer of a server to this host states."""
        self._statements[server] = _Statement(requests, now)

    def estimate(
        self, server: int, counted: int, counted_at: float, *, own: int
    ) -> int:
        """Return the requests that a server holds, from what is newer.

        Parameters
        ----------
        counted : int
            Requests that all hosts have counted there.
        counted_at : float
            Time of the counts of other hosts.
        own : int
            Requests of this host, which are counted exactly.
        """
        statement = self._statements.get(server)
        if statement is None or statement.stated_at <= counted_at:
            return counted
        return max(own, statement.requests)

    def forget_server(self, server: int) -> None:
        """Drop a server that has left or restarted."""
        self._statements.pop(server, None)
