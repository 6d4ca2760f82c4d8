"""A bound on repeats that all hosts keep together without asking each other.

Answers the pattern of servers that fail for everybody at once: every host may
repeat a share of the requests it has seen itself, and an equal part of the
fleet's fixed allowance, so the sum over all hosts stays inside the bound.
"""

from collections import deque

# Part of the bound that is used; the rest covers views that differ.
USED_SHARE = 0.85


class RetryBudget:
    """Repeats of one host towards one service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    window_s : float
        Length of the sliding window in seconds.
    slack : int
        Repeats that the whole fleet may make beside the ratio in a window.
    """

    def __init__(self, *, ratio: float, window_s: float, slack: int) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)

    def take(self, now: float, *, hosts: int) -> bool:
        """Spend one repeat; False if the budget is used up.

        Parameters
        ----------
        hosts : int
            Live hosts, among which the slack is divided.
        """
        if self.count_left(now, hosts=hosts) < 1.0:
            return False
        self._retries.append(now)
        return True

    def count_left(self, now: float, *, hosts: int) -> float:
        """Return how many repeats this host may still make."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, hosts)
        return USED_SHARE * allowed - len(self._retries)
