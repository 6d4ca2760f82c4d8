"""Retry budget of the fleet, enforced by each host without coordination.

Handles servers that fail for all hosts at once. Every host may retry a share of the
requests it has seen itself, plus an equal part of the fleet's fixed allowance, so
the sum over all hosts stays within the bound, also if hosts take the fleet for half
as large as it is.
"""

from collections import deque

# Fraction of the retries per request that is used; a host counts its requests itself.
USED_RATIO_SHARE = 0.9
# Fraction of the fleet's allowance that is used; hosts may misjudge their number by
# half.
USED_SLACK_SHARE = 0.5


class RetryBudget:
    """Retries of one host towards one service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the sliding window in seconds.
    slack : float
        Retries that the whole fleet may make per window in addition to the ratio.
    """

    def __init__(self, *, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        # Nobody else may look at the budget, so that the times would add up.
        _drop_before(self._requests, now - self._window_s)
        self._requests.append(now)

    def measure_request_rate(self, now: float) -> float:
        """Return the callers' requests a second, on average over the window."""
        _drop_before(self._requests, now - self._window_s)
        return len(self._requests) / self._window_s

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

    def release(self, taken_at: float) -> None:
        """Return a retry that was taken at a time, and not made."""
        if taken_at in self._retries:
            self._retries.remove(taken_at)

    def count_left(self, now: float, *, hosts: int) -> float:
        """Return the number of retries this host may still make."""
        for times in (self._requests, self._retries):
            _drop_before(times, now - self._window_s)
        by_requests = USED_RATIO_SHARE * self._ratio * len(self._requests)
        by_slack = USED_SLACK_SHARE * self._slack / max(1, hosts)
        return by_requests + by_slack - len(self._retries)


def _drop_before(times: deque[float], horizon: float) -> None:
    while times and times[0] <= horizon:
        times.popleft()
