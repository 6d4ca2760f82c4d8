"""How much longer work takes at each backend server at this moment.

Handles servers that share their machines with others: their speed halves or doubles
many times a minute, each time for a fraction of a second. A server reports it with its
answers, and hosts pass reports on, as one host alone sees each server too rarely.
"""

from rosemarystream._internal.decisions.server_observations import (
    Observation,
    ServerObservations,
)

# Time in which an observation loses half of its weight.
HALF_LIFE_S = 0.25
# Age from which an observation is neither used nor passed on.
OBSERVATION_TTL_S = 0.6
# Change against the usual speed from which an observation is passed on.
MIN_REPORTED_CHANGE = 0.2
USUAL_SPEED = 1.0


class ServerSpeeds(ServerObservations):
    """Observed slowness of servers by number; 2.0 means that work takes twice as long.

    Only that of servers that are not as usual is passed on.
    """

    def record(self, server: int, slowness: float, now: float) -> None:
        """Record what an answer to this host reported."""
        self.observe(server, slowness, now)

    def estimate(self, server: int, now: float) -> float:
        """Return how much longer work probably takes at a server now."""
        observation = self._all.get(server)
        if observation is None:
            return USUAL_SPEED
        age_s = now - observation.seen_at
        if age_s > OBSERVATION_TTL_S:
            return USUAL_SPEED
        weight = 0.5 ** (age_s / HALF_LIFE_S)
        return USUAL_SPEED + (observation.value - USUAL_SPEED) * weight

    def _is_reported(self, observation: Observation, now: float) -> bool:
        return (
            now - observation.seen_at <= OBSERVATION_TTL_S / 2
            and abs(observation.value - USUAL_SPEED) >= MIN_REPORTED_CHANGE
        )
