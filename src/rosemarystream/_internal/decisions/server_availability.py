"""Whether a backend server may get a request now, and if not, when.

Combines what an operator wants (data centres that are evacuated), what servers state
(that they leave, when they want the next request, which limit they set) and what a host
has observed (unreachable servers and unresponsive data centres).
"""

from collections.abc import Collection, Iterable, Sequence
from enum import StrEnum
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.health import ServerHealth
from rosemarystream._internal.decisions.leaving_servers import LeavingServers
from rosemarystream._internal.decisions.reachability import Reachability
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.retry_deadlines import RetryDeadlines
from rosemarystream._internal.decisions.server_limits import ServerLimits
from rosemarystream._internal.models.endpoint import Endpoint


class Obstacle(StrEnum):
    """Why a server may not get a request."""

    NONE = "none"
    LEAVING = "leaving"
    RETRY_AFTER = "retry_after"
    EJECTED = "ejected"
    UNRESPONSIVE_DATA_CENTRE = "unresponsive_data_centre"
    LIMIT = "limit"
    EVACUATED = "evacuated"


# A service none of whose servers can be reached is probed with some of its requests,
# but never against what a server has stated or an operator wants.
_PROBED = (Obstacle.EJECTED, Obstacle.UNRESPONSIVE_DATA_CENTRE)
# What holds also for a request that was placed a moment ago.
_UNWANTED = (Obstacle.EVACUATED, Obstacle.LEAVING, Obstacle.RETRY_AFTER)


class Availability(NamedTuple):
    """Whether a server may get a request.

    Attributes
    ----------
    until : float
        Earliest time at which it may; infinite if that is not known.
    """

    obstacle: Obstacle
    until: float


class ServerAvailability:
    """Answers for each registered server whether it may get a request now."""

    def __init__(self, *, replica: Replica) -> None:
        self._replica = replica
        self._reachability = Reachability()
        self.health = ServerHealth()
        self.delays = replica.delays
        self.limits = ServerLimits(era=replica.era, delays=self.delays)
        self.leaving = LeavingServers()
        self.retries = RetryDeadlines(delays=self.delays)
        self.evacuations = Evacuations(era=replica.era, delays=self.delays)

    def check(self, endpoint: Endpoint, now: float) -> Availability:
        """Return whether a server may get a request now, else why not and when."""
        obstacle = self._find_obstacle(endpoint, now)
        until = now
        if obstacle is Obstacle.RETRY_AFTER:
            until = self.retries.find(endpoint)
        elif obstacle is Obstacle.EJECTED:
            until = self.health.find_ejected_until(endpoint.name)
        elif obstacle is Obstacle.LIMIT:
            until = self.limits.find_opening(endpoint.number, now)
        elif obstacle is not Obstacle.NONE:
            until = inf
        return Availability(obstacle, until)

    def _find_obstacle(self, endpoint: Endpoint, now: float) -> Obstacle:
        """Return why a server may not get a request.

        The operator's order comes first, then the server's own statements.
        """
        if self.is_evacuated(endpoint):
            return Obstacle.EVACUATED
        if self.leaving.is_leaving(endpoint):
            return Obstacle.LEAVING
        if now < self.retries.find(endpoint):
            return Obstacle.RETRY_AFTER
        if self.health.is_ejected(endpoint.name, now):
            return Obstacle.EJECTED
        if self.health.is_suspected(endpoint.data_centre, now):
            return Obstacle.UNRESPONSIVE_DATA_CENTRE
        if not self.limits.is_open(endpoint.number, now):
            return Obstacle.LIMIT
        return Obstacle.NONE

    def is_wanted(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether neither a server nor an operator is against a request now."""
        obstacle = self._find_obstacle(endpoint, now)
        return obstacle not in _UNWANTED

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether an operator wants no requests to be sent to a server."""
        return self.evacuations.is_evacuated(endpoint.data_centre)

    def list_ready(self, service: str) -> list[Endpoint]:
        """Return the servers of a service that don't drain, leave or are evacuated."""
        ready = self._replica.list_ready(service)
        if not self.evacuations.is_empty:
            ready = [e for e in ready if not self.is_evacuated(e)]
        if self.leaving.is_empty:
            return ready
        return [e for e in ready if not self.leaving.is_leaving(e)]

    def list_evacuated(self, service: str) -> list[Endpoint]:
        """Return the servers of a service that would be ready but for evacuations."""
        if self.evacuations.is_empty:
            return []
        ready = self._replica.list_ready(service)
        return [e for e in ready if self.is_evacuated(e)]

    def is_all_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave a service without servers."""
        return bool(self.list_evacuated(service)) and not self.list_ready(service)

    def select_open(
        self,
        service: str,
        ready: Iterable[Endpoint],
        *,
        exclude: Collection[str],
        now: float,
        may_probe: bool = True,
        ignores_ejections: bool = False,
    ) -> list[Endpoint]:
        """Return those of the ready servers of a service that may get a request now.

        Those that accept no requests of other hosts for a while are excluded if there
        are others. If no server seems to be reachable, some requests are let through
        to all of them as probes.

        Parameters
        ----------
        may_probe : bool
            Whether this request may be such a probe.
        ignores_ejections : bool
            Whether it may be sent to any of them, as this host was late lately.
        """
        states = [
            (endpoint, self._find_obstacle(endpoint, now))
            for endpoint in ready
            if endpoint.name not in exclude
        ]
        opened = [e for e, obstacle in states if obstacle is Obstacle.NONE]
        limited = [e for e, obstacle in states if obstacle is Obstacle.LIMIT]
        if opened or limited:
            self._reachability.record_reachable(service)
            return self._prefer_unadvised(opened, now)
        if not may_probe:
            return []
        unreachable = [e for e, obstacle in states if obstacle in _PROBED]
        if not ignores_ejections and not (
            unreachable and self._reachability.allow_probe(service, now)
        ):
            return []
        return [e for e in unreachable if self.limits.is_open(e.number, now)]

    def _prefer_unadvised(
        self, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        if self.retries.is_empty:
            return endpoints
        preferred = [e for e in endpoints if not self.retries.is_advised(e.number, now)]
        return preferred or endpoints

    def is_unreachable(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a server is assumed to be unreachable."""
        return self.health.is_ejected(endpoint.name, now) or self.health.is_suspected(
            endpoint.data_centre, now
        )

    def list_unreachable_services(self, now: float) -> list[str]:
        """Return the services none of whose servers can be reached."""
        unreachable = []
        for service in self._reachability.list_unreachable_services(now):
            ready = self.list_ready(service)
            if ready and all(self.is_unreachable(e, now) for e in ready):
                unreachable.append(service)
            else:
                self._reachability.record_reachable(service)
        return unreachable

    def list_probed(self, service: str, now: float) -> list[Endpoint]:
        """Return the servers of a service to which a connection may be tried."""
        ready = self.list_ready(service)
        return [e for e in ready if now >= self.retries.find(e)]

    def list_limited(self, service: str) -> list[str]:
        """Return the names of the servers of a service that limit their requests."""
        ready = self.list_ready(service)
        return [e.name for e in ready if self.limits.is_limited(e.number)]

    def list_needing_permission(self, service: str, now: float) -> list[str]:
        """Return the names of the servers of a service that are limited or cold."""
        ready = self.list_ready(service)
        return [e.name for e in ready if self.limits.needs_permission(e.number, now)]

    def list_cold(self, service: str, now: float) -> list[str]:
        """Return the names of the servers of a service that are cold."""
        ready = self.list_ready(service)
        return [e.name for e in ready if self.limits.cold.is_cold(e.number, now)]

    def measure_limit_wait(
        self, service: str, *, exclude: Collection[str], now: float
    ) -> float | None:
        """Return the time in seconds until a limited or cold server may have room.

        None if no server of the service is limited, those of `exclude` not counted, nor
        those that are presumed cold because they can't be reached.
        """
        endpoints = [
            e
            for e in self.list_ready(service)
            if e.name not in exclude
            and (self.limits.is_limited(e.number) or not self.is_unreachable(e, now))
        ]
        return self.limits.measure_wait([e.number for e in endpoints], now)

    def find_retry_time(self, service: str, now: float) -> float | None:
        """Return when the first server that accepts no requests now may get one.

        That is not before the end of its ejection, if it is ejected as well. None if
        none of the service's servers has asked this host to wait.
        """
        times = [
            max(self.retries.find(e), self.health.find_ejected_until(e.name))
            for e in self.list_ready(service)
            if now < self.retries.find(e)
        ]
        return min(times, default=None)

    def list_waiting(self, service: str, now: float) -> list[str]:
        """Return the names of the servers that accept no requests of this host now."""
        ready = self.list_ready(service)
        return [e.name for e in ready if now < self.retries.find(e)]

    def set_registered(self, endpoints: Sequence[Endpoint]) -> None:
        """Set which servers the store names."""
        self.leaving.set_registered(endpoints)

    def has_accepting(self, service: str, now: float) -> bool:
        """Return whether a server of a service hasn't asked this host to wait."""
        return any(now >= self.retries.find(e) for e in self.list_ready(service))

    def forget(self, name: str, server: int) -> None:
        """Drop what was observed of a server that has left or restarted."""
        self.health.forget(name)
        self.limits.forget_server(server)
        self.retries.forget_server(server)
