"""The retry budgets of all services, of which each host spends its share."""

from collections.abc import Callable

from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.retry_budget import RetryBudget
from rosemarystream._internal.gateway.settings import BoundsSection


class RetryBudgets:
    """Keeps a retry budget a service.

    Parameters
    ----------
    bounds : BoundsSection
        Ratio, window and slack of each budget.
    peer_table : PeerTable
        Counts the hosts that share the budgets.
    """

    def __init__(
        self,
        *,
        bounds: BoundsSection,
        peer_table: PeerTable,
        clock: Callable[[], float],
    ) -> None:
        self._bounds = bounds
        self._peer_table = peer_table
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def set_bounds(self, bounds: BoundsSection) -> None:
        """Apply new bounds; all budgets begin anew."""
        self._bounds = bounds
        self._budgets.clear()

    def record_request(self, service: str) -> None:
        """Record a caller's request; the budget of its service grows with these."""
        self._find(service).record_request(self._clock())

    def measure_request_rate(self, service: str) -> float:
        """Return the callers' requests for a service at this host, per second."""
        return self._find(service).measure_request_rate(self._clock())

    def take(self, service: str, now: float) -> bool:
        """Take one retry from the budget of a service; False if it is used up."""
        hosts = self._peer_table.count_recent_peak(now)
        return self._find(service).take(now, hosts=hosts)

    def release(self, service: str, taken_at: float) -> None:
        """Return a retry that was taken at a time, and not made."""
        self._find(service).release(taken_at)

    def count_left(self, service: str) -> float:
        """Return the retries that this host may still make for a service."""
        now = self._clock()
        hosts = self._peer_table.count_recent_peak(now)
        return self._find(service).count_left(now, hosts=hosts)

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self._bounds.retry_ratio,
                window_s=self._bounds.get_retry_window_s(),
                slack=self._bounds.retry_slack,
            )
            self._budgets[service] = budget
        return budget
