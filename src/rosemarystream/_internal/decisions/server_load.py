"""Load of one server, told apart from what other hosts send it."""

from rosemarystream._internal.models.request import Work
from rosemarystream._internal.models.server import ServerReport

REPORT_LAG_SECONDS = 1.0


class ServerLoad:
    """Load of one server as its owner sees it.

    A server's own count is late by up to `REPORT_LAG_SECONDS`, so what others
    run there is known only within limits.
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
        """Return own requests plus those of others.

        When others may be sending work too, the highest possible count of
        theirs is taken, otherwise the lowest.
        """
        foreign = self.foreign_max if contested else self.foreign_min
        return len(self.running) + foreign

    def record_change(self, now: float) -> None:
        """Remember the own count, to tell it from others' in a late report."""
        self._counts.append((now, len(self.running)))
        self._forget_before(now - REPORT_LAG_SECONDS)

    def _forget_before(self, horizon: float) -> None:
        later = [i for i, (time, _) in enumerate(self._counts) if time > horizon]
        first = later[0] if later else len(self._counts)
        del self._counts[: max(0, first - 1)]

    def record_report(self, report: ServerReport, asked_at: float) -> None:
        """Take the server's own count, which is some moments old."""
        self._forget_before(asked_at - REPORT_LAG_SECONDS)
        own = [count for _, count in self._counts]
        self.foreign_min = max(0, report.running - max(own))
        self.foreign_max = max(0, report.running - min(own))
        self.has_report = True
        self.is_unresponsive = False
