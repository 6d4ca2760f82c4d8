"""Limits that backend servers set on the requests that they get in a second.

Handles servers that accept only so many requests from all hosts together for as long
as they state it, and those that are cold (see `cold_servers`). Each request to such a
server needs a permission of its data centre's quota (see `limit_quotas`).
"""

from collections.abc import Iterable, Mapping
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.cold_servers import ColdServers
from rosemarystream._internal.decisions.host_delays import HostDelays
from rosemarystream._internal.decisions.server_observations import (
    ServerObservations,
    ServerReport,
    make_report,
)
from rosemarystream._internal.decisions.store_era import StoreEra

# Limit of a server that states none.
UNLIMITED = inf


class LimitChange(NamedTuple):
    """A server's new limit, in requests per second; `UNLIMITED` if it has ended."""

    server: int
    per_s: float


class ServerLimits(ServerObservations):
    """The servers' limits in requests per second, by server number.

    A limit holds until the server is seen to state another one, or none.

    Parameters
    ----------
    era : StoreEra, optional
        The era of the store.
    delays : HostDelays, optional
        Delays of this host, in which it learns and passes on nothing.

    Attributes
    ----------
    cold : ColdServers
        The servers that take few requests because they are cold.
    """

    def __init__(
        self, *, era: StoreEra | None = None, delays: HostDelays | None = None
    ) -> None:
        super().__init__(delays=delays)
        self.cold = ColdServers(era=era, delays=delays)
        self._closed_until: dict[int, float] = {}
        self._changes: list[LimitChange] = []

    def record(self, server: int, per_s: float | None, now: float) -> None:
        """Record the limit that an answer of a server stated; None if it did not."""
        before = self.find(server)
        if per_s is None and before == UNLIMITED:
            return
        self.observe(server, UNLIMITED if per_s is None else per_s, now)
        self._record_change(server, before)

    def accept_reports(
        self, reports: Mapping[int, ServerReport], now: float, *, nearby: bool
    ) -> None:
        """Record what other hosts have seen; see the base class."""
        if not reports:
            return
        before = {server: self.find(server) for server in reports}
        super().accept_reports(reports, now, nearby=nearby)
        for server, limit in before.items():
            self._record_change(server, limit)

    def find(self, server: int) -> float:
        """Return a server's limit, `UNLIMITED` if it has none."""
        observation = self._all.get(server)
        return UNLIMITED if observation is None else observation.value

    def is_limited(self, server: int) -> bool:
        """Return whether a server states a limit."""
        return self.find(server) < UNLIMITED

    def needs_permission(self, server: int, now: float) -> bool:
        """Return whether requests need a permission, as it is limited or cold."""
        return self.is_limited(server) or self.cold.is_cold(server, now)

    def make_reports(self, server: int, now: float) -> dict[int, ServerReport]:
        """Return what is known of one server, whatever its age."""
        observation = self._all.get(server)
        return {} if observation is None else {server: make_report(observation, now)}

    def close(self, server: int, until: float) -> None:
        """Take a server for used up until a time, unless its limit changes."""
        self._closed_until[server] = until

    def is_open(self, server: int, now: float) -> bool:
        """Return whether a server may have room for a request."""
        return now >= self.find_opening(server, now)

    def find_opening(self, server: int, now: float) -> float:
        """Return the time from which a server may have room for a request."""
        closed_until = self._closed_until.get(server)
        if closed_until is None:
            return now
        if self.is_limited(server):
            return closed_until
        return min(closed_until, max(now, self.cold.find_until(server)))

    def measure_wait(self, servers: Iterable[int], now: float) -> float | None:
        """Return the time in seconds until one of the limited servers may have room.

        None if none of the servers is limited or cold.
        """
        waits = [
            max(0.0, self.find_opening(server, now) - now)
            for server in servers
            if self.needs_permission(server, now)
        ]
        return min(waits, default=None)

    def take_changes(self) -> list[LimitChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def forget_server(self, server: int) -> None:
        """Drop a server that has left or restarted."""
        super().forget_server(server)
        self._closed_until.pop(server, None)

    def _record_change(self, server: int, before: float) -> None:
        limit = self.find(server)
        if limit != before:
            self._changes.append(LimitChange(server, limit))
            self._closed_until.pop(server, None)
