"""Places in the history of the platform's store."""

from typing import NamedTuple

from rosemarystream._internal.models.ranges import Count


class Position(NamedTuple):
    """Revision of the store and the era in which it was given out, ordered by both.

    The era rises whenever the store comes back from a copy. What it had written since
    is lost then, and its revisions go back and are given out again.

    Attributes
    ----------
    era : int
        0 of a store that states none.
    """

    era: Count
    revision: Count

    def __str__(self) -> str:
        return f"{self.era}/{self.revision}"


# Before all that a store has.
START = Position(0, 0)
