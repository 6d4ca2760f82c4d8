"""Rate limits of log entries, by kind.

Handles floods in which thousands of requests a second end in the same way: the first
entries of each kind in a second carry as much information as all of them.
"""

from collections import Counter

from rosemarystream._internal.decisions.window_limit import WindowLimit


class LogRateLimiter:
    """Limits the number of entries of each kind per window of a `WindowLimit`."""

    def __init__(self) -> None:
        self._windows: dict[str, WindowLimit] = {}
        self._dropped: Counter[str] = Counter()

    def allow(self, kind: str, limit: int, now: float) -> bool:
        """Return whether one more entry of a kind may be written.

        Parameters
        ----------
        limit : int
            Maximum number of entries of the kind per window; always the same one.
        now : float
            Time of a monotonic clock, in seconds.
        """
        if kind not in self._windows:
            self._windows[kind] = WindowLimit(most=limit)
        if self._windows[kind].allow(now):
            return True
        self._dropped[kind] += 1
        return False

    def take_dropped(self) -> dict[str, int]:
        """Return the number of entries dropped since the last call, by kind."""
        dropped, self._dropped = dict(self._dropped), Counter()
        return dropped
