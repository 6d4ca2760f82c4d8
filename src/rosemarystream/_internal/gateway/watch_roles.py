"""Whether this host watches the store, and how long its calls wait there."""

from collections.abc import Callable, Collection

from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.store_freshness import (
    StoreFreshness,
    WatchReserve,
)
from rosemarystream._internal.platform.store import (
    BLOCKED_PARTS,
    CONFIGURATION,
    EVACUATIONS,
    SERVERS,
)

WATCHED_KINDS = (CONFIGURATION, SERVERS, BLOCKED_PARTS, EVACUATIONS)


class WatchRoles:
    """The part of this host in watching the store, by what it hears of the others.

    Parameters
    ----------
    list_lost_stores : callable
        Returns the hosts that have lately reported that they lost the store.

    Attributes
    ----------
    freshness : StoreFreshness
        When hosts last knew all that the store had.
    reserve : WatchReserve
        Whether this host watches in place of others.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        peer_table: PeerTable,
        list_lost_stores: Callable[[float], Collection[str]],
        clock: Callable[[], float],
    ) -> None:
        self._peer_table = peer_table
        self._list_lost_stores = list_lost_stores
        self._clock = clock
        self.freshness = StoreFreshness(data_centre=data_centre, kinds=WATCHED_KINDS)
        self.reserve = WatchReserve(
            freshness=self.freshness, peer_table=peer_table, probe=CONFIGURATION
        )

    def is_watcher(self, kind: str) -> bool:
        """Return whether this host watches a kind of objects now."""
        now = self._clock()
        lost = self._list_lost_stores(now)
        is_regular = self._peer_table.is_watcher(now, lost=lost)
        return is_regular or self.reserve.is_due(kind, now)

    def keeps_waits_short(self) -> bool:
        """Return whether a lost answer of the store has to be detected soon."""
        now = self._clock()
        is_short = self._peer_table.keeps_waits_short(now)
        return is_short or self.reserve.is_active(now)

    def record_current(self, kind: str) -> None:
        """Record that all that the store has of a kind is known."""
        self.freshness.record_answer(kind, self._clock())
