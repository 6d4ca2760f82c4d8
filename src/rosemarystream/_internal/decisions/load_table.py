"""Requests in progress at each backend server, over all hosts.

Answers the pattern of many hosts that each see a sliver of the traffic and
follow the same hot prompt: a host counts its own requests exactly, and the
others' by their last reports, so that a bound on a server's load holds for all.
"""

from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

# Reports older than this belong to hosts that are gone.
REPORT_LIFE_S = 1.5


class Report(NamedTuple):
    """Requests in progress as one host or data centre has told them.

    Attributes
    ----------
    counts : mapping of str to int
        Requests by server.
    reading : mapping of str to int
        Prompt tokens that servers have yet to read, by server.
    """

    sequence: int
    told_at: float
    counts: Mapping[str, int]
    reading: Mapping[str, int] = MappingProxyType({})


class LoadTable:
    """Counts of requests in progress by server."""

    def __init__(self) -> None:
        self.own: Counter[str] = Counter()
        self.own_reading: Counter[str] = Counter()
        self._hosts: dict[str, Report] = {}
        self._data_centres: dict[str, Report] = {}

    def begin(self, server: str) -> None:
        """Count a request that is sent to a server."""
        self.own[server] += 1

    def end(self, server: str) -> None:
        """Count a request as over."""
        self.own[server] -= 1
        if self.own[server] <= 0:
            del self.own[server]

    def begin_reading(self, server: str, tokens: int) -> None:
        """Count prompt tokens that a server has yet to read."""
        self.own_reading[server] += tokens

    def end_reading(self, server: str, tokens: int) -> None:
        """Count prompt tokens as read, or as given up."""
        self.own_reading[server] -= tokens
        if self.own_reading[server] <= 0:
            del self.own_reading[server]

    def accept_host(self, name: str, report: Report) -> None:
        """Take a report of a host of this data centre."""
        _accept(self._hosts, name, report)

    def accept_data_centre(self, name: str, report: Report) -> None:
        """Take the sum of another data centre's reports."""
        _accept(self._data_centres, name, report)

    def list_hosts(self, now: float) -> dict[str, Report]:
        """Return the reports of this data centre's hosts that still count."""
        return _select_live(self._hosts, now)

    def list_data_centres(self, now: float) -> dict[str, Report]:
        """Return the other data centres' sums that still count."""
        return _select_live(self._data_centres, now)

    def sum_data_centre(self, now: float) -> Counter[str]:
        """Return this data centre's counts, this host's included."""
        total = Counter(self.own)
        for report in self.list_hosts(now).values():
            total.update(report.counts)
        return total

    def sum_data_centre_reading(self, now: float) -> Counter[str]:
        """Return this data centre's unread tokens, this host's included."""
        total = Counter(self.own_reading)
        for report in self.list_hosts(now).values():
            total.update(report.reading)
        return total

    def sum_all_reading(self, now: float) -> Counter[str]:
        """Return the unread tokens of the whole fleet."""
        total = self.sum_data_centre_reading(now)
        for report in self.list_data_centres(now).values():
            total.update(report.reading)
        return total

    def sum_all(self, now: float) -> Counter[str]:
        """Return the counts of the whole fleet."""
        total = self.sum_data_centre(now)
        for report in self.list_data_centres(now).values():
            total.update(report.counts)
        return total


def _accept(reports: dict[str, Report], name: str, report: Report) -> None:
    known = reports.get(name)
    if known is None or report.sequence > known.sequence:
        reports[name] = report


def _select_live(reports: dict[str, Report], now: float) -> dict[str, Report]:
    for name in [
        name for name, report in reports.items() if now - report.told_at > REPORT_LIFE_S
    ]:
        del reports[name]
    return reports
