"""The share of the requests for a plain service that a host sends at each look.

Handles demand above the capacity of a service at many hosts that know each other's
counts some tenths of a second late. In that time the servers change all of their
requests, so free places can't be counted and taken: all hosts would take the same ones.
Each host instead sends a share of its requests. It lowers the share while the servers
hold more than they should and raises it while they hold less; as all hosts see about
the same counts, their shares move together, and no host needs to know how many others
there are or how fast the servers work.
"""

from math import exp
from typing import NamedTuple

# Requests that servers should queue for each of their slots. Hosts can't level the
# servers out within the age of the counts: with 0.5, some 12 in 100 slots were idle in
# the replayed bursts while other servers queued requests; with 1.2 some 3 in 100.
MIN_QUEUE = 0.5
MAX_QUEUE = 1.5
# Part of the time between work and objective that requests may spend in that queue.
QUEUE_SHARE = 0.6
# Weight of a new response in the mean times; some 30 count.
RESPONSE_WEIGHT = 1 / 30
# Below this, places are free at the servers, and every request is sent at once.
OPEN_FILL = 1.0
# Time constant of the mean over the known fill, in seconds; single counts scatter.
SMOOTHING_S = 0.2
# Change of the share in a second for each request too many or too few at a slot. With
# the age of the counts, a larger one makes the shares of all hosts swing together.
INTEGRAL_PER_S = 0.25
# Sends of this host whose refusals count. Some refusals are normal, as servers are full
# in turn; beyond that part, each weighs like this many requests at a slot. Counts alone
# don't show how much more is sent than servers with short queues can hold.
REFUSED_SENDS = 10
REFUSED_NORMAL = 0.5
REFUSED_WEIGHT = 8.0
# Change of the share at once.
PROPORTIONAL = 0.2
# Time in which the share rises from 0 to 1 while places are free, in seconds.
RECOVERY_S = 0.2
# Least share, so that no kind of request is kept from the service.
MIN_SHARE = 0.02
# Longest time between two observations that counts; more would be a guess.
MAX_GAP_S = 1.0
# Part of the share that the less urgent ranks of a service get.
OTHER_RANKS = 0.95
# Fill from which requests that can't meet their objective are not sent at all, and
# decrease of their part for each request at a slot.
LATE_FILL = 1.4
LATE_SLOPE = 4.0


class ServiceLoad(NamedTuple):
    """Load of a service as a host knows it.

    Attributes
    ----------
    slots : int
        Requests that its servers run at once.
    requests : float
        Requests that they hold, over all hosts.
    own : int
        Those of this host, which are counted exactly.
    """

    slots: int
    requests: float
    own: int = 0

    @property
    def fill(self) -> float:
        """Requests for each slot."""
        return self.requests / self.slots if self.slots else 0.0

    @property
    def own_fill(self) -> float:
        """Requests of this host for each slot."""
        return self.own / self.slots if self.slots else 0.0


class AdmissionShare:
    """Share of a service's requests that one host sends."""

    def __init__(self) -> None:
        self._share = 1.0
        self._fill = 0.0
        self._refused = 0.0
        self._response_s = 0.0
        self._work_s = 0.0
        self._objective_s = 0.0
        self._observed_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether places are known to be free."""
        return self._fill < OPEN_FILL

    @property
    def value(self) -> float:
        """The share, 0 to 1, without what depends on the request."""
        return self._share

    @property
    def target_fill(self) -> float:
        """Requests that servers should hold for each slot."""
        if not self._work_s:
            return 1.0 + MAX_QUEUE
        queue = QUEUE_SHARE * (self._objective_s - self._work_s) / self._work_s
        return 1.0 + min(MAX_QUEUE, max(MIN_QUEUE, queue))

    @property
    def response_s(self) -> float:
        """Mean time to the head of an answer, in seconds; 0 if it isn't known."""
        return self._response_s

    def is_overfilled(self, load: ServiceLoad) -> bool:
        """Return whether this host alone fills the servers as far as it may.

        That is certain and known at once, unlike what others have sent.
        """
        return load.own_fill >= self.target_fill

    def record_response(self, seconds: float, objective_s: float) -> None:
        """Record the time from the send of a request to the head of its answer.

        Parameters
        ----------
        objective_s : float
            Time in which the answer was due, in seconds.
        """
        # Servers that hold more than their slots queue it for the rest of the time.
        work_s = seconds / max(1.0, self._fill)
        weight = RESPONSE_WEIGHT if self._work_s else 1.0
        self._response_s += weight * (seconds - self._response_s)
        self._work_s += weight * (work_s - self._work_s)
        self._objective_s += weight * (objective_s - self._objective_s)

    def observe(self, load: ServiceLoad, now: float) -> None:
        """Enter the known load at a time."""
        elapsed_s = max(0.0, min(now - self._observed_at, MAX_GAP_S))
        self._observed_at = now
        weight = 1.0 - exp(-elapsed_s / SMOOTHING_S)
        self._fill += weight * (load.fill - self._fill)
        if self.is_open:
            change = elapsed_s / RECOVERY_S
        else:
            excess = REFUSED_WEIGHT * max(0.0, self._refused - REFUSED_NORMAL)
            missing = self.target_fill - self._fill - excess
            change = INTEGRAL_PER_S * elapsed_s * missing
        self._share = min(1.0, max(MIN_SHARE, self._share + change))

    def record_send(self, *, is_refused: bool) -> None:
        """Record whether a server refused a request of this host as it was full."""
        self._refused += (is_refused - self._refused) / REFUSED_SENDS

    def find(self, *, is_urgent: bool, is_late: bool) -> float:
        """Return the share for a request, 0 to 1.

        Parameters
        ----------
        is_urgent : bool
            Whether its rank is the most urgent one of the service.
        is_late : bool
            Whether it can't meet its objective any more. Such a request gets what
            others leave.
        """
        share = self._share + PROPORTIONAL * (self.target_fill - self._fill)
        share = min(1.0, max(MIN_SHARE, share))
        if is_late:
            left = LATE_SLOPE * (LATE_FILL - self._fill)
            return share * min(1.0, max(0.0, left))
        return share if is_urgent else share * OTHER_RANKS
