"""Watch of the evacuated data centres in the platform's store.

A host may not be ready before it knows them. One that no other host tells watches them
itself though it is no watcher: at its start, and while the collectors of its data
centre are of an earlier build, which doesn't pass them on.
"""

from collections.abc import Callable
from math import inf
from typing import Any

from logbook import Logger

from rosemarystream._internal.decisions.evacuations import (
    STORE,
    EvacuationRecord,
    Evacuations,
)
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.store_watches import StoreWatch
from rosemarystream._internal.models.log_entries.store import EvacuationInvalid
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.platform.store import EVACUATIONS
from rosemarystream._internal.platform.store_answers import StoredObject

log = Logger(__name__)

# Time for other hosts to tell a host that starts. In a fleet that starts as a whole the
# watchers list first; their news needs about 0.3 s.
FIRST_NEWS_S = 1.0
# Time without a message of a host that knows them. Others replace lost collectors
# after 1.2 s, so that a loss makes no host call the store.
LATER_NEWS_S = 3.0
# Time for which the store gives no answer until a host goes without, as it does without
# the list of servers. No host that knows the evacuations is in contact then.
GO_WITHOUT_AFTER_S = 2.0


class EvacuationWatch(StoreWatch):
    """Watches the evacuated data centres.

    Parameters
    ----------
    evacuations : Evacuations
        Takes the records.
    """

    kind = EVACUATIONS
    loop = "evacuation_watch"

    def __init__(
        self,
        *,
        evacuations: Evacuations,
        is_watcher: Callable[[], bool],
        **arguments: Any,
    ) -> None:
        super().__init__(
            is_watcher=lambda: is_watcher() or self._is_untold(), **arguments
        )
        self._evacuations = evacuations
        self._started_at = inf

    def start(self) -> None:
        """Start the watch."""
        self._started_at = self._clock()
        super().start()

    def is_answered(self) -> bool:
        """Return whether the evacuations are known, or nobody has told them in time."""
        if self._evacuations.is_known:
            return True
        lost_at = self.lost_at
        return lost_at is not None and self._clock() - lost_at >= GO_WITHOUT_AFTER_S

    def _is_untold(self) -> bool:
        """Return whether this host could serve, and no other one tells it."""
        if self._replica.configuration is None:
            return False
        now, told_at = self._clock(), self._evacuations.told_at
        if told_at is None:
            return now - self._started_at >= FIRST_NEWS_S
        return now - told_at >= LATER_NEWS_S

    def _accept_listing(self, objects: list[StoredObject], position: Position) -> None:
        now = self._clock()
        listed = {
            item.name: item.position if item.revision else position
            for item in objects
            if self._has_name(item)
        }
        if self._evacuations.accept_listing(listed, position, now):
            self._on_change()

    def _accept(self, item: StoredObject, deleted: bool, position: Position) -> bool:
        if not self._has_name(item):
            return False
        now = self._clock()
        at = item.position if item.revision and not deleted else position
        record = EvacuationRecord(item.name, at, not deleted, now)
        return self._evacuations.accept(record, source=STORE, now=now)

    def _has_name(self, item: StoredObject) -> bool:
        """Return whether the name can be read; nothing else matters."""
        if item.name:
            return True
        if self._ignored.add(self.kind, item.name, item.position, item.error):
            write_log_entry(log, EvacuationInvalid(error=item.error))
        return False
