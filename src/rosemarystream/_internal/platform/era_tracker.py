"""The era that the store states in the header of all its answers."""

from collections.abc import Callable
from enum import StrEnum

from rosemarystream._internal.models.ranges import MAX_COUNT
from rosemarystream._internal.platform.headers import parse_whole

ERA = b"store-era"
# Largest rise that is believed: a store comes back a few times a day.
MAX_RISE = 1_000
# Answers in a row with a lower era that are taken for late ones; a host has fewer
# connections to the store.
MAX_LATE_ANSWERS = 16


class EraFault(StrEnum):
    """Why the era of an answer can't be used."""

    MISSING = "missing"
    UNREADABLE = "unreadable"
    LOWER = "lower"
    TOO_HIGH = "too_high"


class EraTracker:
    """The last usable era of the store's answers, on all connections of this host.

    Parameters
    ----------
    on_fault : callable
        Called with what is wrong with an era and the value of the header.
    find_known : callable
        Returns the era that this host has heard of.

    Attributes
    ----------
    era : int
        0 of a store that has never stated one.
    """

    def __init__(
        self,
        *,
        on_fault: Callable[[EraFault, bytes], None] = lambda fault, value: None,
        find_known: Callable[[], int] = lambda: 0,
    ) -> None:
        self.era = 0
        self._on_fault = on_fault
        self._find_known = find_known
        self._late_answers = 0

    def read(self, value: bytes | None) -> int | None:
        """Return the era of an answer; None if the answer is one of an earlier era.

        An answer whose era can't be used counts as one of the last usable era. So does
        one with a lower era, if only such answers come.
        """
        if value is None:
            if self.era:
                self._on_fault(EraFault.MISSING, b"")
            return self.era
        era = parse_whole(value.strip(), MAX_COUNT)
        known = max(self.era, self._find_known())
        if era is None:
            self._on_fault(EraFault.UNREADABLE, value)
        elif era < self.era:
            self._on_fault(EraFault.LOWER, value)
            self._late_answers += 1
            return self.era if self._late_answers > MAX_LATE_ANSWERS else None
        elif known and era > known + MAX_RISE:
            self._on_fault(EraFault.TOO_HIGH, value)
        else:
            self._late_answers = 0
            self.era = era
        return self.era
