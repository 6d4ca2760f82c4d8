"""Rate limits of log entries, by kind.

Handles floods in which thousands of requests a second end in the same way: the first
entries of each kind in a second carry as much information as all of them.
"""

from collections import Counter

WINDOW_S = 1.0


class LogRateLimiter:
    """Limits the number of entries of each kind per window of `WINDOW_S`."""

    def __init__(self) -> None:
        self._written: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._window_ends_at = 0.0

    def allow(self, kind: str, limit: int, now: float) -> bool:
        """Return whether one more entry of a kind may be written.

        Parameters
        ----------
        limit : int
            Maximum number of entries of the kind per window.
        now : float
            Time of a monotonic clock, in seconds.
        """
        if now >= self._window_ends_at:
            self._written.clear()
            self._window_ends_at = now + WINDOW_S
        self._written[kind] += 1
        if self._written[kind] <= limit:
            return True
        self._dropped[kind] += 1
        return False

    def take_dropped(self) -> dict[str, int]:
        """Return the number of entries dropped since the last call, by kind."""
        dropped, self._dropped = dict(self._dropped), Counter()
        return dropped
