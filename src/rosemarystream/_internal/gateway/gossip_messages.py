"""The messages that a host sends to others, with the state that each one carries."""

from collections import Counter
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.context_map import CacheUpdate
from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.fleet_observations import (
    NO_REPORTS,
    ObservationReports,
)
from rosemarystream._internal.decisions.load_table import Load
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.store_freshness import StoreFreshness
from rosemarystream._internal.gateway.era_codec import (
    encode_evacuations,
    encode_rise,
)
from rosemarystream._internal.gateway.gossip_reports import MAX_STORE_AGE_S
from rosemarystream._internal.models.gossip import (
    NEVER_MS,
    CrashUpdates,
    GossipMessage,
    HostAddress,
    LoadScope,
    QuotaAnswer,
    QuotaQuestion,
)

_MS_PER_S = 1000


class Updates(NamedTuple):
    """Updates that are sent in one round."""

    caches: list[CacheUpdate]
    crashes: CrashUpdates | None


NO_UPDATES = Updates([], None)
NO_LOAD = Load(Counter(), Counter())


class GossipMessages:
    """Makes the messages of this host.

    Parameters
    ----------
    this_host : HostAddress
        This host.
    first_sequence : int
        Sequence number of the first message; higher than any of an earlier process.
    list_ejected : callable
        Returns the numbers of the servers that this host has ejected.
    evacuations : Evacuations
        The evacuated data centres; each message carries them.
    freshness : StoreFreshness
        When hosts last knew all that the store had.

    Attributes
    ----------
    sequence : int
        Sequence number of the last message.
    store_lost_ms : int
        Time since this host lost the store, as sent to others; 0 if it has it.
    tells_ended_evacuations : bool
        Whether messages have the evacuations that ended some time ago, too.
    """

    def __init__(
        self,
        *,
        this_host: HostAddress,
        first_sequence: int,
        clock: Callable[[], float],
        replica: Replica,
        list_ejected: Callable[[], list[int]],
        evacuations: Evacuations,
        freshness: StoreFreshness,
    ) -> None:
        self._this_host = this_host
        self._clock = clock
        self._replica = replica
        self._list_ejected = list_ejected
        self._evacuations = evacuations
        self._freshness = freshness
        self.sequence = first_sequence
        self.store_lost_ms = 0
        self.tells_ended_evacuations = True

    def make(
        self,
        scope: LoadScope,
        load: Load,
        *,
        updates: Updates = NO_UPDATES,
        known_hosts: list[HostAddress] | None = None,
        wants_answer: bool = False,
        live_hosts: int = 0,
        reports: ObservationReports = NO_REPORTS,
        question: QuotaQuestion | None = None,
        answer: QuotaAnswer | None = None,
        store_heard_at: float = -inf,
    ) -> GossipMessage:
        """Make the next message.

        Parameters
        ----------
        store_heard_at : float
            When another host knew all that the store had, as it says.
        """
        self.sequence += 1
        now = self._clock()
        position, rise = self._replica.position, self._replica.era.rise
        evacuations, evacuation_eras = encode_evacuations(
            self._evacuations.list_rows(now, is_whole=self.tells_ended_evacuations),
            position.era,
        )
        return GossipMessage(
            sender=self._this_host,
            sequence=self.sequence,
            version=self._replica.version,
            revision=position.revision,
            store_lost_ms=self.store_lost_ms,
            scope=scope,
            counts=load.counts,
            prefill=load.prefill,
            ejected=self._list_ejected() if scope is LoadScope.HOST else [],
            cache_updates=updates.caches,
            known_hosts=known_hosts or [],
            wants_answer=wants_answer,
            live_hosts=live_hosts,
            slowness=reports.slowness,
            crash_updates=updates.crashes,
            limits=reports.limits,
            quota_question=question,
            quota_answer=answer,
            leaving=reports.leaving,
            retry_after=reports.retry_after,
            evacuations=evacuations,
            cold=reports.cold,
            store_age_ms=_measure_age(self._freshness.own_at, now),
            heard_store_age_ms=_measure_age(store_heard_at, now),
            era=position.era,
            rise=encode_rise(rise, now),
            evacuation_eras=evacuation_eras,
        )


def _measure_age(known_at: float, now: float) -> int:
    """Return a time as an age in milliseconds; that of no use to others is left out."""
    age_s = max(0.0, now - known_at)
    return int(age_s * _MS_PER_S) if age_s <= MAX_STORE_AGE_S else NEVER_MS
