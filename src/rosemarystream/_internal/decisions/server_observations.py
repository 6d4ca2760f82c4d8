"""What hosts observe of backend servers and pass on to each other.

Handles many hosts that each see a server only now and then. A host passes on what it
has seen lately itself; a collector passes on what the hosts of its data centre have
seen to other data centres, and what all have seen to its own hosts.
"""

from collections.abc import Mapping
from typing import NamedTuple

from rosemarystream._internal.decisions.host_delays import HostDelays

# Age up to which what a host has seen is passed on: a few rounds of messages at each of
# the three steps from one host to all.
REPORTED_AGE_S = 1.0
_MS_PER_S = 1000

# An observed value of a server, and the age of that observation in ms.
ServerReport = tuple[float, int]


class Observation(NamedTuple):
    """A value that was observed of a server.

    Attributes
    ----------
    seen_at : float
        When a host observed it.
    learnt_at : float
        When this host heard of it. What a host was told late is news all the same.
    """

    value: float
    seen_at: float
    learnt_at: float


class ServerObservations:
    """The newest observation of each server by number: own, nearby, and of all hosts.

    Those of the hosts of this data centre are kept apart, to be passed on to others.

    Parameters
    ----------
    delays : HostDelays, optional
        Delays of this host, in which it passes nothing on.
    """

    def __init__(self, *, delays: HostDelays | None = None) -> None:
        self._delays = delays or HostDelays()
        self._own: dict[int, Observation] = {}
        self._nearby: dict[int, Observation] = {}
        self._all: dict[int, Observation] = {}

    def observe(self, server: int, value: float, now: float) -> None:
        """Record what an answer to this host has shown."""
        for known in (self._own, self._nearby, self._all):
            known[server] = Observation(value, now, now)

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
            observation = Observation(value, now - age_ms / _MS_PER_S, now)
            for known in (self._nearby, self._all) if nearby else (self._all,):
                known[server] = _merge_observations(known.get(server), observation)

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

    def _is_reported(self, observation: Observation, now: float) -> bool:
        """Return whether an observation is passed on at this moment."""
        news_at = max(observation.seen_at, observation.learnt_at)
        return is_reported(news_at, now, self._delays)


def _merge_observations(known: Observation | None, new: Observation) -> Observation:
    """Return the newer one of two observations of a server.

    One of the same value that is only a little newer may be the known one, which has
    gone round; it isn't news again.
    """
    if known is None:
        return new
    if new.seen_at <= known.seen_at:
        return known
    is_late = new.seen_at - known.seen_at > REPORTED_AGE_S
    if is_late or new.value != known.value:
        return new
    return new._replace(learnt_at=known.learnt_at)


def is_reported(news_at: float, now: float, delays: HostDelays) -> bool:
    """Return whether what was news at a time is passed on at this moment."""
    return now <= delays.put_off(news_at + REPORTED_AGE_S, now)


def make_report(observation: Observation, now: float) -> ServerReport:
    """Return an observation with its age."""
    return (observation.value, int((now - observation.seen_at) * _MS_PER_S))
