"""Load of one server, split into own requests and those of other hosts."""

from rosemarystream._internal.models.request import Work
from rosemarystream._internal.models.server import ServerReport

# Longest delay of a server's own count of its requests.
REPORT_LAG_SECONDS = 1.0


class ServerLoad:
    """Load of one server as seen by the owner of its group.

    A server's report may be up to `REPORT_LAG_SECONDS` old, so the number of
    requests from other hosts is known only as a range.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.running: dict[str, Work] = {}
        self.has_report = False
        self.is_unresponsive = False
        self.foreign_min = 0
        self.foreign_max = 0
        self._counts: list[tuple[float, int]] = [(0.0, 0)]

    def count_running(self, *, contested: bool) -> int:
        """Return the number of own requests plus those of other hosts.

        For the latter the upper limit is used while the group is contested,
        otherwise the lower one.
        """
        foreign = self.foreign_max if contested else self.foreign_min
        return len(self.running) + foreign

    def record_change(self, now: float) -> None:
        """Record the number of own requests, to subtract it from later reports."""
        self._counts.append((now, len(self.running)))
        self._forget_before(now - REPORT_LAG_SECONDS)

    def _forget_before(self, horizon: float) -> None:
        later = [i for i, (time, _) in enumerate(self._counts) if time > horizon]
        first = later[0] if later else len(self._counts)
        del self._counts[: max(0, first - 1)]

    def record_report(self, report: ServerReport, asked_at: float) -> None:
        """Estimate the requests of other hosts from a server's report."""
        self._forget_before(asked_at - REPORT_LAG_SECONDS)
        own = [count for _, count in self._counts]
        self.foreign_min = max(0, report.running - max(own))
        self.foreign_max = max(0, report.running - min(own))
        self.has_report = True
        self.is_unresponsive = False
