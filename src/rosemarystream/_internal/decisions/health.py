"""Passive health checks: outlier ejection of backend servers.

Handles servers that crash, stop responding, or fail some of their requests while
their own health check passes. Also handles data centres that are cut off, where a
request would otherwise lose its time on one unresponsive server after the other.
"""

from typing import NamedTuple

# Ejection time of a server that can't be reached; doubled each time, up to the
# maximum.
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Weight of the newest outcome in a server's failure rate, a moving average.
OUTCOME_WEIGHT = 0.15
# Least failure rate of a server that another host reports as unreachable.
REPORTED_FAILURE_RATE = 0.2
# Time in which a failure rate halves without further requests.
HALF_LIFE_S = 3.0
# Number of unresponsive servers from which a whole data centre is suspected.
MIN_UNRESPONSIVE_SERVERS = 2
# Time for which a failure counts towards the suspicion of a data centre.
SUSPICION_S = 1.5


class _State(NamedTuple):
    failure_rate: float
    updated_at: float
    ejected_until: float
    ejection_s: float


_UNKNOWN = _State(0.0, 0.0, 0.0, 0.0)


class ServerHealth:
    """Failure rates and ejections of servers, and suspected data centres."""

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}
        self._unresponsive: dict[str, dict[str, float]] = {}

    def record_outcome(self, server: str, *, failed: bool, now: float) -> bool:
        """Record the outcome of a request that a server has answered.

        Returns whether this ends the ejection of the server.
        """
        state = self._states.get(server, _UNKNOWN)
        rate = self.failure_rate(server, now)
        rate += OUTCOME_WEIGHT * ((1.0 if failed else 0.0) - rate)
        ejection_s = state.ejection_s if failed else 0.0
        ejected_until = state.ejected_until if failed else 0.0
        self._states[server] = _State(rate, now, ejected_until, ejection_s)
        return bool(state.ejection_s) and not failed

    def record_unreachable(self, server: str, now: float) -> float:
        """Record that a server could not be reached or stopped responding.

        Returns the time for which it is ejected from now on, in seconds; 0 if it is
        ejected already.
        """
        state = self._states.get(server, _UNKNOWN)
        if now < state.ejected_until:
            return 0.0
        ejection_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * state.ejection_s))
        rate = max(self.failure_rate(server, now), 0.5)
        self._states[server] = _State(rate, now, now + ejection_s, ejection_s)
        return ejection_s

    def record_data_centre_failure(
        self, data_centre: str, server: str, now: float
    ) -> None:
        """Record that a server of a data centre could not be reached."""
        self._unresponsive.setdefault(data_centre, {})[server] = now

    def record_data_centre_answer(self, data_centre: str) -> None:
        """Record that a server of a data centre answered; ends the suspicion."""
        self._unresponsive.pop(data_centre, None)

    def is_suspected(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre seems to be cut off."""
        unresponsive = self._unresponsive.get(data_centre, {})
        recent = [at for at in unresponsive.values() if now - at <= SUSPICION_S]
        return len(recent) >= MIN_UNRESPONSIVE_SERVERS

    def record_reported_unreachable(self, server: str, now: float) -> None:
        """Record that another host can't reach a server.

        The fault may lie with that host, so only the failure rate is raised.
        """
        state = self._states.get(server, _UNKNOWN)
        rate = max(self.failure_rate(server, now), REPORTED_FAILURE_RATE)
        self._states[server] = state._replace(failure_rate=rate, updated_at=now)

    def is_ejected(self, server: str, now: float) -> bool:
        """Return whether a server is ejected."""
        return now < self._states.get(server, _UNKNOWN).ejected_until

    def find_ejected_until(self, server: str) -> float:
        """Return the time at which the ejection of a server ends, or ended."""
        return self._states.get(server, _UNKNOWN).ejected_until

    def list_ejected(self, now: float) -> list[str]:
        """Return the names of the ejected servers."""
        return [name for name, s in self._states.items() if now < s.ejected_until]

    def failure_rate(self, server: str, now: float) -> float:
        """Return the fraction of a server's recent requests that failed, 0 to 1."""
        state = self._states.get(server, _UNKNOWN)
        if not state.failure_rate:
            return 0.0
        return state.failure_rate * 0.5 ** ((now - state.updated_at) / HALF_LIFE_S)

    def forget(self, server: str) -> None:
        """Drop the state of a server that has left or restarted."""
        self._states.pop(server, None)
