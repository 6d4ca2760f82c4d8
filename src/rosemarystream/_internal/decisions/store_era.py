"""The era of the store, and what may be of the copy from which it has come back.

Handles a store that has lost what was written since a copy was taken. Its owners write
that again within some seconds. Until then hosts doubt the entries that may be of the
copy: where they contradict what a host knows of an earlier era, that stays in force.
"""

from typing import NamedTuple

from rosemarystream._internal.decisions.host_delays import HostDelays
from rosemarystream._internal.models.position import Position

# Time from the first answer of an era in which what the copy lacks is written again:
# two seconds, and one until the era is noticed.
MISSING_GRACE_S = 3.0
# Time after which the entry of a server that has left is no longer in the copy: longer
# than the three heartbeats after which it lapses.
DOUBT_S = 4.0


class EraRise(NamedTuple):
    """The first answer of an era, as the hosts in contact have seen it.

    Attributes
    ----------
    revision : int
        Revision of the store then; what is above it was written in the era.
    seen_at : float
        When it came, by this host's clock.
    """

    revision: int
    seen_at: float


class EraChange(NamedTuple):
    """An era that this host has heard of, for the log.

    Attributes
    ----------
    before, after : Position
        What was known of the store until then, and the first position of the era.
    """

    before: Position
    after: Position


class StoreEra:
    """The era that this host knows, and whether a state of it is in doubt.

    Parameters
    ----------
    delays : HostDelays, optional
        Delays of this host, in which it learns nothing.

    Attributes
    ----------
    number : int
        The era; 0 before any is known.
    unstated : int
        Era of what hosts of earlier builds tell, who state none: they go on as if the
        store had not come back since.
    rise : EraRise or None
        How the era began; None if no host in contact has seen that.
    is_in_doubt : bool
        Whether states may still be of the copy.
    """

    def __init__(self, *, delays: HostDelays | None = None) -> None:
        self._delays = delays or HostDelays()
        self.number = 0
        self.unstated = 0
        self.rise: EraRise | None = None
        self.is_in_doubt = False
        self._last = Position(0, 0)
        self._changes: list[EraChange] = []

    def find_grace_end(self, now: float) -> float:
        """Return the time until which what the store lacks may be written again."""
        if self.rise is None:
            return 0.0
        return self._delays.put_off(self.rise.seen_at + MISSING_GRACE_S, now)

    def record_answer(self, position: Position, now: float) -> None:
        """Record the position of a list that the store has sent to this host."""
        if position.era > self.number:
            rise = EraRise(position.revision, now) if self.number else None
            self._begin(position, rise, now)
        self._last = max(self._last, position)

    def accept_report(
        self, position: Position, rise: EraRise | None, now: float
    ) -> None:
        """Record the position of another host, and how its era began."""
        if position.era > self.number:
            if rise is None and self.number:
                rise = EraRise(position.revision, now)
            self._begin(position, rise, now)
        elif position.era == self.number and rise is not None:
            known = self.rise or rise
            # All answers of the era are later than the copy, the first one the least.
            self.rise = EraRise(
                min(rise.revision, known.revision), min(rise.seen_at, known.seen_at)
            )
            self._update_doubt(now)
        self._last = max(self._last, position)

    def _begin(self, position: Position, rise: EraRise | None, now: float) -> None:
        if self.number:
            self._changes.append(EraChange(self._last, position))
        else:
            self.unstated = position.era
        self.number = position.era
        self.rise = rise
        self._update_doubt(now)

    def _update_doubt(self, now: float) -> None:
        if self.rise is None:
            self.is_in_doubt = False
            return
        doubt_until = self._delays.put_off(self.rise.seen_at + DOUBT_S, now)
        self.is_in_doubt = now < doubt_until

    def expire(self, now: float) -> None:
        """End the doubt if its time is over."""
        if self.is_in_doubt:
            self._update_doubt(now)

    def is_doubtful(self, position: Position) -> bool:
        """Return whether what has this position may be of a copy."""
        return self.is_in_doubt and position <= Position(
            self.number, self.rise.revision
        )

    def is_outlasted(self, position: Position, by: Position) -> bool:
        """Return whether a state may be older than one of an earlier era.

        It is if it may be of the copy, in whose history it comes first.
        """
        return (
            by.era < position.era
            and by.revision > position.revision
            and self.is_doubtful(position)
        )

    def may_be_missing(self, position: Position, now: float) -> bool:
        """Return whether the store may lack what was known at a position."""
        is_earlier = position.era < self.number
        return self.is_in_doubt and is_earlier and now < self.find_grace_end(now)

    def locate(self, era: int | None, revision: int) -> Position:
        """Return the position that another host has told; None is an unstated era."""
        return Position(self.unstated if era is None else era, revision)

    def take_changes(self) -> list[EraChange]:
        """Return the eras that have begun since the last call."""
        changes, self._changes = self._changes, []
        return changes
