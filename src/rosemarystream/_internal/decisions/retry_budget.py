"""Retry budget of the fleet, enforced by each host without coordination.

Handles servers that fail for all hosts at once. Every host may retry a share of the
requests it has seen itself, plus an equal part of the fleet's fixed allowance, so
the sum over all hosts stays within the bound.
"""

from collections import deque

# Fraction of the bound that is used; the rest covers hosts with different views of the
# fleet.
USED_SHARE = 0.85


class RetryBudget:
    """Retries of one host towards one service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the sliding window in seconds.
    slack : int
        Retries that the whole fleet may make per window in addition to the ratio.
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
        """Spend one retry; return False if the budget is used up.

        Parameters
        ----------
        hosts : int
            Number of live hosts, among which the slack is divided.
        """
        if self.count_left(now, hosts=hosts) < 1.0:
            return False
        self._retries.append(now)
        return True

    def count_left(self, now: float, *, hosts: int) -> float:
        """Return the number of retries this host may still make."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, hosts)
        return USED_SHARE * allowed - len(self._retries)
