"""Which log lines are written when there are too many.

Answers the pattern of a flood, in which thousands of requests a second end the
same way: the first lines of each kind in a second tell as much as all of them.
"""

from collections import Counter

WINDOW_S = 1.0


class LogRateLimiter:
    """Counts the lines of each kind in the present window."""

    def __init__(self) -> None:
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self._window_ends_at = 0.0

    def allow(self, kind: str, limit: int, now: float) -> bool:
        """Whether one more line of a kind is written.

        Parameters
        ----------
        limit : int
            Lines of the kind that are written in a window.
        now : float
            Time of a steady clock, in seconds.
        """
        if now >= self._window_ends_at:
            self._written.clear()
            self._window_ends_at = now + WINDOW_S
        self._written[kind] += 1
        if self._written[kind] <= limit:
            return True
        self._left_out[kind] += 1
        return False

    def take_left_out(self) -> dict[str, int]:
        """Return how many lines of each kind were left out since the last call."""
        left_out, self._left_out = dict(self._left_out), Counter()
        return left_out
