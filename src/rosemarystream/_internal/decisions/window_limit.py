"""A limit on how often something may be done in a second.

Handles work that many greenlets begin in the same turn of the loop, where each of them
alone does little.
"""

from math import inf

WINDOW_S = 1.0


class WindowLimit:
    """Allows something so many times per window of `WINDOW_S`.

    Parameters
    ----------
    most : int
        Largest number of times in a window.
    """

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._left = 0
        self._window_ends_at = -inf

    def allow(self, now: float) -> bool:
        """Return whether it may be done once more."""
        if now >= self._window_ends_at:
            self._left = self._most
            self._window_ends_at = now + WINDOW_S
        if not self._left:
            return False
        self._left -= 1
        return True
