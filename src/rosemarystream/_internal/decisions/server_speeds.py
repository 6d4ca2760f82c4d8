"""How much longer work takes at each backend server at this moment.

Handles servers that share their machines with others: their speed halves or doubles
many times a minute, each time for a fraction of a second. A server reports it with its
answers, and hosts pass reports on, as one host alone sees each server too rarely.
"""

from collections.abc import Mapping
from typing import NamedTuple

# Time in which an observation loses half of its weight.
HALF_LIFE_S = 0.25
# Age from which an observation is neither used nor passed on.
OBSERVATION_TTL_S = 0.6
# Change against the usual speed from which an observation is passed on.
MIN_REPORTED_CHANGE = 0.2
USUAL_SPEED = 1.0
_MS_PER_S = 1000

# How much longer work takes at a server, and the age of that observation in ms.
SpeedReport = tuple[float, int]


class _Observation(NamedTuple):
    """How long work took compared with the usual time, and when that was seen."""

    slowness: float
    seen_at: float


class ServerSpeeds:
    """Observed slowness of servers by number; 2.0 means that work takes twice as long.

    Observations of this data centre are kept apart, to be passed on to others.
    """

    def __init__(self) -> None:
        self._own: dict[int, _Observation] = {}
        self._nearby: dict[int, _Observation] = {}
        self._all: dict[int, _Observation] = {}

    def record(self, server: int, slowness: float, now: float) -> None:
        """Record what an answer to this host told."""
        observation = _Observation(slowness, now)
        for known in (self._own, self._nearby, self._all):
            known[server] = observation

    def accept_reports(
        self, reports: Mapping[int, SpeedReport], now: float, *, nearby: bool
    ) -> None:
        """Record what other hosts saw.

        Parameters
        ----------
        nearby : bool
            Whether the sender reports its own observations, as a host of this data
            centre.
        """
        for server, (slowness, age_ms) in reports.items():
            observation = _Observation(slowness, now - age_ms / _MS_PER_S)
            for known in (self._nearby, self._all) if nearby else (self._all,):
                if server not in known or known[server].seen_at < observation.seen_at:
                    known[server] = observation

    def estimate(self, server: int, now: float) -> float:
        """Return how much longer work probably takes at a server now."""
        observation = self._all.get(server)
        if observation is None:
            return USUAL_SPEED
        age_s = now - observation.seen_at
        if age_s > OBSERVATION_TTL_S:
            return USUAL_SPEED
        weight = 0.5 ** (age_s / HALF_LIFE_S)
        return USUAL_SPEED + (observation.slowness - USUAL_SPEED) * weight

    def list_own(self, now: float) -> dict[int, SpeedReport]:
        """Return what this host saw lately of servers that are not as usual."""
        return _select_changed(self._own, now)

    def list_nearby(self, now: float) -> dict[int, SpeedReport]:
        """Return what the hosts of this data centre saw lately."""
        return _select_changed(self._nearby, now)

    def list_all(self, now: float) -> dict[int, SpeedReport]:
        """Return what all hosts saw lately."""
        return _select_changed(self._all, now)

    def forget_server(self, server: int) -> None:
        """Drop a server that has left or restarted."""
        for known in (self._own, self._nearby, self._all):
            known.pop(server, None)


def _select_changed(
    observations: Mapping[int, _Observation], now: float
) -> dict[int, SpeedReport]:
    return {
        server: (seen.slowness, int((now - seen.seen_at) * _MS_PER_S))
        for server, seen in observations.items()
        if now - seen.seen_at <= OBSERVATION_TTL_S / 2
        and abs(seen.slowness - USUAL_SPEED) >= MIN_REPORTED_CHANGE
    }
