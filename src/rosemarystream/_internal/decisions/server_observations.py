"""What hosts observe of backend servers and pass on to each other.

Handles many hosts that each see a server only now and then. A host passes on what it
has seen lately itself; a collector passes on what the hosts of its data centre have
seen to other data centres, and what all have seen to its own hosts.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple

_MS_PER_S = 1000

# An observed value of a server, and the age of that observation in ms.
ServerReport = tuple[float, int]


class Observation(NamedTuple):
    """A value that was observed of a server, and when."""

    value: float
    seen_at: float


class ServerObservations(ABC):
    """The newest observation of each server by number: own, nearby, and of all hosts.

    Those of the hosts of this data centre are kept apart, to be passed on to others.
    """

    def __init__(self) -> None:
        self._own: dict[int, Observation] = {}
        self._nearby: dict[int, Observation] = {}
        self._all: dict[int, Observation] = {}

    @abstractmethod
    def _is_reported(self, observation: Observation, now: float) -> bool:
        """Return whether an observation is passed on at this moment."""

    def observe(self, server: int, value: float, now: float) -> None:
        """Record what an answer to this host has shown."""
        for known in (self._own, self._nearby, self._all):
            known[server] = Observation(value, now)

    def accept_reports(
        self, reports: Mapping[int, ServerReport], now: float, *, nearby: bool
    ) -> None:
        """Record what other hosts have seen.

        Parameters
        ----------
        nearby : bool
            Whether the sender reports its own observations, as a host of this data
            centre.
        """
        for server, (value, age_ms) in reports.items():
            observation = Observation(value, now - age_ms / _MS_PER_S)
            for known in (self._nearby, self._all) if nearby else (self._all,):
                if server not in known or known[server].seen_at < observation.seen_at:
                    known[server] = observation

    def list_own(self, now: float) -> dict[int, ServerReport]:
        """Return what this host saw lately."""
        return self._select_reported(self._own, now)

    def list_nearby(self, now: float) -> dict[int, ServerReport]:
        """Return what the hosts of this data centre saw lately."""
        return self._select_reported(self._nearby, now)

    def list_all(self, now: float) -> dict[int, ServerReport]:
        """Return what all hosts saw lately."""
        return self._select_reported(self._all, now)

    def forget_server(self, server: int) -> None:
        """Drop a server that has left or restarted."""
        for known in (self._own, self._nearby, self._all):
            known.pop(server, None)

    def _select_reported(
        self, observations: Mapping[int, Observation], now: float
    ) -> dict[int, ServerReport]:
        if not observations:
            return {}
        return {
            server: make_report(observation, now)
            for server, observation in observations.items()
            if self._is_reported(observation, now)
        }


def make_report(observation: Observation, now: float) -> ServerReport:
    """Return an observation with its age."""
    return (observation.value, int((now - observation.seen_at) * _MS_PER_S))
