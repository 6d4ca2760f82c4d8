"""Data centres to whose servers an operator wants no more requests to be sent.

Handles an operator's order that has to be in force on all hosts while the store is
slow, down or rejects some of them. Hosts learn of it from the store and from each
other, late, twice and in any order: the highest revision of the store wins. Records
that are no longer in force are kept, so that late ones of the same data centre don't
restore an evacuation.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rosemarystream._internal.decisions.host_delays import HostDelays
from rosemarystream._internal.decisions.store_era import StoreEra
from rosemarystream._internal.decisions.withheld_states import WithheldStates
from rosemarystream._internal.models.position import START, Position

# Most records in a message: three times the planned data centres. Beyond that the
# oldest that have ended are dropped; those in force are all kept, the newest are sent.
MAX_RECORDS = 64
# Time for which a record that has ended is part of each message: 30 rounds, of which
# some may be lost. Later only whole lists have it, for hosts that were cut off.
NEWS_S = 3.0
# Source of what this host has read from the store itself.
STORE = "store"
_MS_PER_S = 1000


class EvacuationRow(NamedTuple):
    """A record as another host is told it, with its age in milliseconds."""

    data_centre: str
    position: Position
    is_in_force: bool
    age_ms: int


class EvacuationRecord(NamedTuple):
    """What is known of the evacuation of a data centre.

    Attributes
    ----------
    position : Position
        Position of the store at which it was last written, or was seen to be removed.
    read_at : float
        When a host read this from the store, by this host's clock.
    """

    data_centre: str
    position: Position
    is_in_force: bool
    read_at: float

    def is_newer(self, other: "EvacuationRecord") -> bool:
        """Return whether this record replaces another one of its data centre.

        The store gives no position to two changes; if records differ all the same, the
        one in force wins on every host.
        """
        return _get_order(self) > _get_order(other)


class EvacuationChange(NamedTuple):
    """An evacuation that has begun or ended for this host.

    Attributes
    ----------
    source : str
        `STORE`, or the host that has passed it on.
    age_s : float
        Time since a host read it from the store, in seconds.
    """

    data_centre: str
    is_in_force: bool
    revision: int
    source: str
    age_s: float


class Evacuations:
    """Evacuated data centres, merged from the store and from other hosts.

    Parameters
    ----------
    era : StoreEra, optional
        The era of the store.
    delays : HostDelays, optional
        Delays of this host, in which it passes nothing on.

    Attributes
    ----------
    is_known : bool
        Whether the store, or a host that knows them, has told all records.
    told_at : float or None
        When a host that knows them last told; None if none has.
    """

    def __init__(
        self, *, era: StoreEra | None = None, delays: HostDelays | None = None
    ) -> None:
        self._era = era or StoreEra()
        self._delays = delays or HostDelays()
        self.is_known = False
        self.told_at: float | None = None
        self._records: dict[str, EvacuationRecord] = {}
        self._stored_at: dict[str, float] = {}
        self._in_force: frozenset[str] = frozenset()
        self._withheld = WithheldStates[EvacuationRecord](
            era=self._era, get_order=_get_order
        )
        # Position of the last listing: what it lacked isn't in force as of it.
        self._listed_at = START
        self._changes: list[EvacuationChange] = []

    @property
    def is_empty(self) -> bool:
        """Whether no data centre is evacuated."""
        return not self._in_force

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether no request may be sent to the servers of a data centre."""
        return data_centre in self._in_force

    def accept(self, record: EvacuationRecord, *, source: str, now: float) -> bool:
        """Store a record if it is newer; return whether one was stored."""
        name = record.data_centre
        known = self._records.get(name)
        if known is None and record.position <= self._listed_at:
            # Its sender doesn't know of the end, and others may not either.
            ended = record._replace(position=self._listed_at, is_in_force=False)
            if not self._era.may_be_missing(record.position, now):
                record = ended
            else:
                self._withheld.put(name, ended)
        if known is not None and not record.is_newer(known):
            return False
        if known is not None and self._contradicts(record, known):
            self._withheld.put(name, record)
            return False
        self._withheld.drop(name, record.position)
        self._records[name] = record
        self._stored_at[name] = now
        self._update_in_force(record, source, now)
        self._drop_oldest()
        return True

    def _contradicts(self, record: EvacuationRecord, known: EvacuationRecord) -> bool:
        """Return whether a record differs from a known one that may be later."""
        differs = record.is_in_force != known.is_in_force
        return differs and self._era.is_outlasted(record.position, known.position)

    def release(self, now: float) -> None:
        """Apply the withheld records that the store has kept, once doubt is over."""
        for record in self._withheld.take_released(now).values():
            self.accept(record, source=STORE, now=now)

    def _update_in_force(
        self, record: EvacuationRecord, source: str, now: float
    ) -> None:
        if record.is_in_force == self.is_evacuated(record.data_centre):
            return
        self._in_force ^= {record.data_centre}
        change = EvacuationChange(
            record.data_centre,
            record.is_in_force,
            record.position.revision,
            source,
            max(0.0, now - record.read_at),
        )
        self._changes.append(change)

    def _drop_oldest(self) -> None:
        if len(self._records) <= MAX_RECORDS:
            return
        ended = [record for record in self._records.values() if not record.is_in_force]
        if ended:
            oldest = min(ended, key=lambda record: record.position)
            del self._records[oldest.data_centre]
            del self._stored_at[oldest.data_centre]

    def accept_listing(
        self, listed: Mapping[str, Position], position: Position, now: float
    ) -> bool:
        """Apply a complete list of the store; return whether anything is new.

        Parameters
        ----------
        listed : mapping of str to Position
            Positions at which they were written, by data centre.
        position : Position
            Position as of which nothing else is in force.
        """
        self._era.record_answer(position, now)
        records = [EvacuationRecord(name, at, True, now) for name, at in listed.items()]
        for name, known in self._records.items():
            if name in listed:
                continue
            ended = EvacuationRecord(name, position, False, now)
            is_begun = known.is_in_force and known.position < position
            if is_begun and self._era.may_be_missing(known.position, now):
                self._withheld.put(name, ended)
            else:
                records.append(ended)
        self._drop_withheld(listed, position)
        accepted = [self.accept(record, source=STORE, now=now) for record in records]
        self._listed_at = max(self._listed_at, position)
        self.is_known = True
        return any(accepted)

    def _drop_withheld(
        self, listed: Mapping[str, Position], position: Position
    ) -> None:
        """Drop withheld begins of evacuations that the store doesn't list any more."""
        for name, record in self._withheld.list_states().items():
            if record.is_in_force and name not in listed and record.position < position:
                self._withheld.forget(name)

    def accept_rows(
        self, rows: Iterable[EvacuationRow], *, source: str, now: float
    ) -> bool:
        """Apply the records that another host has sent; return whether any is new."""
        accepted = [
            self.accept(
                EvacuationRecord(name, position, is_in_force, now - age_ms / _MS_PER_S),
                source=source,
                now=now,
            )
            for name, position, is_in_force, age_ms in rows
        ]
        self.is_known = True
        self.told_at = now
        return any(accepted)

    def list_records(self) -> list[EvacuationRecord]:
        """Return all records, those in force first, then the newest."""
        return sorted(
            self._records.values(),
            key=lambda record: (
                not record.is_in_force,
                -record.position.era,
                -record.position.revision,
            ),
        )

    def list_rows(
        self, now: float, *, is_whole: bool = True
    ) -> list[EvacuationRow] | None:
        """Return the records for other hosts; None if this host doesn't know all.

        Parameters
        ----------
        is_whole : bool
            Whether records that ended longer ago than `NEWS_S` are included.
        """
        if not self.is_known:
            return None
        if not self._records:
            return []
        return [
            EvacuationRow(
                name, position, is_in_force, max(0, int((now - read_at) * _MS_PER_S))
            )
            for name, position, is_in_force, read_at in self.list_records()[
                :MAX_RECORDS
            ]
            if is_whole or is_in_force or self._is_news(name, now)
        ]

    def _is_news(self, data_centre: str, now: float) -> bool:
        """Return whether other hosts may not know the record of a data centre."""
        return now <= self._delays.put_off(self._stored_at[data_centre] + NEWS_S, now)

    def count_in_force(self) -> int:
        """Return the number of evacuated data centres."""
        return len(self._in_force)

    def take_changes(self) -> list[EvacuationChange]:
        """Return the evacuations that have begun or ended since the last call."""
        changes, self._changes = self._changes, []
        return changes


def _get_order(record: EvacuationRecord) -> tuple[Position, bool]:
    """Return what the records of a data centre are ordered by, on every host alike."""
    return (record.position, record.is_in_force)
