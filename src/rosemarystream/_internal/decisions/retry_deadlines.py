"""Until when backend servers accept no requests, as they state with refusals.

What a server states binds the host to which it states it. Other hosts receive it as
advice to place requests elsewhere.
"""

from rosemarystream._internal.decisions.host_delays import HostDelays
from rosemarystream._internal.decisions.server_observations import ServerObservations
from rosemarystream._internal.models.endpoint import Endpoint

# Longest time for which a statement holds.
MAX_RETRY_AFTER_S = 600.0


class RetryDeadlines(ServerObservations):
    """Times from which servers accept requests again.

    The observed value is the time in seconds for which a server accepts none.

    Parameters
    ----------
    delays : HostDelays, optional
        Delays of this host, in which it passes nothing on.
    """

    def __init__(self, *, delays: HostDelays | None = None) -> None:
        super().__init__(delays=delays)
        self._deadlines: dict[tuple[int, int], float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no server is known to have asked hosts to wait."""
        return not self._all

    def record(self, endpoint: Endpoint, delay_s: float, now: float) -> None:
        """Record what a server has stated to this host.

        Each statement holds to its end: a shorter one that follows lifts no longer one.

        Parameters
        ----------
        delay_s : float
            Time for which it accepts no requests; at most `MAX_RETRY_AFTER_S` count.
        """
        stated = now + min(delay_s, MAX_RETRY_AFTER_S)
        self._deadlines = {
            key: deadline for key, deadline in self._deadlines.items() if now < deadline
        }
        key = endpoint.number, endpoint.incarnation
        deadline = max(stated, self._deadlines.get(key, stated))
        self._deadlines[key] = deadline
        self.observe(endpoint.number, deadline - now, now)

    def find(self, endpoint: Endpoint) -> float:
        """Return the time from which a server accepts requests of this host."""
        if not self._deadlines:
            return 0.0
        return self._deadlines.get((endpoint.number, endpoint.incarnation), 0.0)

    def is_advised(self, server: int, now: float) -> bool:
        """Return whether a server has asked a host to wait, this or another."""
        observation = self._all.get(server)
        return observation is not None and now < (
            observation.seen_at + min(observation.value, MAX_RETRY_AFTER_S)
        )
