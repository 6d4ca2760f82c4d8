"""How fresh the knowledge of the store is, and which hosts step in for watchers.

The regular watchers of the store may all be turned away, paused or deaf while the store
serves other hosts. So each host knows when some host last heard of all that is watched.
If that is too long ago, hosts that don't watch try it in their order, more of them at
each step, until one is served.
"""

from collections.abc import Collection
from math import inf

from rosemarystream._internal.decisions.bounded_dict import BoundedDict
from rosemarystream._internal.decisions.peer_table import (
    COLLECTORS,
    RESERVE_WATCHERS,
    PeerTable,
)

# Hosts whose reports are remembered; a few of each data centre watch the store.
MAX_REPORTS = 128
# Age of the fleet's knowledge at which further hosts watch. A regular watcher confirms
# it every 0.9 s, and its messages reach all hosts through one other.
STALE_AFTER_S = 1.4
# Time between the attempts of the first host in order and of the next ones; each
# further step takes twice as long, with twice as many hosts in it.
STAGGER_S = 0.25
# Time in which a host has to be served by the store, once it has begun to watch.
ATTEMPT_S = 1.0
# Time for which one that is served goes on for each host before it in its step: longer
# than what others know stays fresh, so that of several that are served one is left.
ATTEMPT_S_PER_PLACE = 1.6
MAX_PLACE = 3
# Time from one attempt to the next, at least, and for each host of the fleet.
RETRY_S = 5.0
RETRY_S_PER_HOST = 0.1
# Time for which a host goes on that alone is served.
TERM_S = 5.0
# Time without a check after which a host has been paused and may have missed reports.
MAX_CHECK_GAP_S = 1.0


class StoreFreshness:
    """When hosts last knew all that the store had, by their own watches.

    What a watching host says of itself is passed on once. Reports that went round would
    stay fresh by the delays of the messages.

    Parameters
    ----------
    kinds : collection of str
        Kinds of objects that a host watches.
    """

    def __init__(self, *, data_centre: str, kinds: Collection[str]) -> None:
        self._data_centre = data_centre
        self._answered_at = dict.fromkeys(kinds, -inf)
        # By name of the watching host, with its data centre.
        self._heard = BoundedDict[str, tuple[str, float]](most=MAX_REPORTS)
        self._relayed_at = -inf
        # The same by collectors of other data centres, which is passed on here.
        self._relayed_far_at = -inf

    @property
    def own_at(self) -> float:
        """When this host last knew all by its own watches; minus infinity if never."""
        return min(self._answered_at.values())

    def record_answer(self, kind: str, now: float) -> None:
        """Record that this host knows all objects of a kind that the store has now."""
        self._answered_at[kind] = now

    def has_answer(self, kind: str, since: float) -> bool:
        """Return whether the store has answered the watch of a kind since a time."""
        return self._answered_at[kind] >= since

    def accept_report(self, host: str, data_centre: str, known_at: float) -> None:
        """Record when another host knew all, as it says itself."""
        _, before = self._heard.get(host, ("", -inf))
        self._heard.put(host, (data_centre, max(before, known_at)))

    def accept_relayed(self, known_at: float) -> None:
        """Record when some host knew all, as another one has heard from it."""
        self._relayed_at = max(self._relayed_at, known_at)

    def accept_relayed_far(self, known_at: float) -> None:
        """Record the same as a collector of another data centre has heard nearby."""
        self._relayed_far_at = max(self._relayed_far_at, known_at)

    def find_heard(self, *, but: str) -> float:
        """Return when a host but one knew all, as it or its data centre says.

        Minus infinity if none did.
        """
        times = [at for name, (_, at) in self._heard.items() if name != but]
        return max([*times, self._relayed_far_at])

    def find_heard_nearby(self) -> float:
        """Return when a host of this data centre knew all, as it says."""
        own = self._data_centre
        times = [at for home, at in self._heard.values() if home == own]
        return max(times, default=-inf)

    def find_others(self) -> float:
        """Return when some other host last knew all; minus infinity if never."""
        return max(self.find_heard(but=""), self._relayed_at)


class WatchReserve:
    """Decides when a host watches the store though it is no regular watcher.

    Parameters
    ----------
    probe : str
        Kind of objects that is watched first, to find out whether the store serves
        this host.
    """

    def __init__(
        self, *, freshness: StoreFreshness, peer_table: PeerTable, probe: str
    ) -> None:
        self._freshness = freshness
        self._peer_table = peer_table
        self._probe = probe
        # When this host could have heard of others for the first time.
        self._hears_since = inf
        self._checked_at = -inf
        # When the attempt began; None in a term.
        self._attempt_at: float | None = None
        self._until = -inf
        self._retry_at = -inf
        self._place = 0

    def is_active(self, now: float) -> bool:
        """Return whether this host tries to watch, or watches."""
        return now < self._until

    def is_due(self, kind: str, now: float) -> bool:
        """Return whether this host watches a kind of objects now."""
        if now - self._checked_at > MAX_CHECK_GAP_S:
            self._hears_since = now
        self._checked_at = now
        if now >= self._until:
            self._renew(now)
        if now >= self._until:
            return False
        return kind == self._probe or self._is_served()

    def _renew(self, now: float) -> None:
        """Begin an attempt or a term where one is due."""
        others_at = max(self._freshness.find_others(), self._hears_since)
        is_served = self._freshness.own_at >= now - STALE_AFTER_S
        if is_served and self._place:
            self._until = now + ATTEMPT_S_PER_PLACE * self._place
            self._place = 0
            return
        self._attempt_at = None
        if now < others_at + STALE_AFTER_S:
            return
        if is_served:
            self._until = now + TERM_S
            return
        step, place = find_turn(self._peer_table.find_position(now))
        delay_s = STAGGER_S * (2**step - 1)
        if now >= max(self._retry_at, others_at + STALE_AFTER_S + delay_s):
            hosts = self._peer_table.count_live(now)
            self._attempt_at, self._place = now, place
            self._until = now + ATTEMPT_S
            self._retry_at = now + max(RETRY_S, RETRY_S_PER_HOST * hosts)

    def _is_served(self) -> bool:
        """Return whether the store serves this host, as far as its attempt shows."""
        attempt_at = self._attempt_at
        return attempt_at is None or self._freshness.has_answer(self._probe, attempt_at)


def find_turn(position: int) -> tuple[int, int]:
    """Return the step in which a host tries, and its place among those of that step.

    Parameters
    ----------
    position : int
        Number of hosts before it in the order of its data centre. The first ones watch
        by themselves where others have lost the store.
    """
    number = 1 + max(0, position - COLLECTORS - RESERVE_WATCHERS)
    step = number.bit_length() - 1
    return step, min(MAX_PLACE, number - 2**step)
