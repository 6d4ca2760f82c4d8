"""Requests in progress at each backend server, over all hosts.

Answers the pattern of many hosts that each see a sliver of the traffic and
follow the same hot prompt: a host counts its own requests exactly, and the
others' by their last reports, so that a bound on a server's load holds for all.

Every host reports to the collectors of its data centre. These add up, tell the
collectors elsewhere their data centre's sum, and tell each host the sum of all
others. Servers are known by their numbers.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

# Reports older than this belong to hosts that are gone.
REPORT_TTL_S = 1.5
# A sum of all others that is older gives way to what was told directly.
SUM_TTL_S = 0.6


class LoadReport(NamedTuple):
    """Requests in progress as told by another host.

    Attributes
    ----------
    sequence : int
        Grows with each report of the same sender.
    counts : mapping of int to int
        Requests by server.
    prefill : mapping of int to int
        Prompt tokens that servers have yet to read, by server.
    """

    sequence: int
    reported_at: float
    counts: Mapping[int, int]
    prefill: Mapping[int, int] = MappingProxyType({})


_NO_REPORT = LoadReport(0, 0.0, {})


class Load(NamedTuple):
    """Requests and unread prompt tokens by server."""

    counts: Counter[int]
    prefill: Counter[int]


class LoadTable:
    """Counts of requests in progress by server."""

    def __init__(self) -> None:
        self._own: Counter[int] = Counter()
        self._own_prefill: Counter[int] = Counter()
        self._hosts: dict[str, LoadReport] = {}
        self._data_centres: dict[str, LoadReport] = {}
        self._others: dict[str, LoadReport] = {}

    def begin(self, server: int) -> None:
        """Count a request that is sent to a server."""
        self._own[server] += 1

    def end(self, server: int) -> None:
        """Count a request as over."""
        _subtract(self._own, server, 1)

    def begin_prefill(self, server: int, tokens: int) -> None:
        """Count prompt tokens that a server has yet to read."""
        self._own_prefill[server] += tokens

    def end_prefill(self, server: int, tokens: int) -> None:
        """Count prompt tokens as read, or as given up."""
        _subtract(self._own_prefill, server, tokens)

    def accept_host(self, name: str, report: LoadReport) -> None:
        """Take a report of a host of this data centre."""
        _store_if_newer(self._hosts, name, report)

    def accept_data_centre(self, name: str, report: LoadReport) -> None:
        """Take the sum of another data centre's reports."""
        _store_if_newer(self._data_centres, name, report)

    def accept_others_sum(self, collector: str, report: LoadReport) -> None:
        """Take a collector's sum of all hosts but this one."""
        _store_if_newer(self._others, collector, report)

    def count_own(self) -> int:
        """Return the number of this host's own requests in progress."""
        return self._own.total()

    def sum_own(self) -> Load:
        """Return this host's own load."""
        return Load(Counter(self._own), Counter(self._own_prefill))

    def sum_data_centre(self, now: float) -> Load:
        """Return this data centre's load as reported to this host."""
        return _add(self.sum_own(), _prune_stale(self._hosts, now))

    def _sum_reported(self, now: float) -> Load:
        """Return the load of the whole fleet as told to a collector."""
        load = self.sum_data_centre(now)
        return _add(load, _prune_stale(self._data_centres, now))

    def sum_others_by_host(self, hosts: Iterable[str], now: float) -> dict[str, Load]:
        """Return for each host of this data centre the load of all others."""
        total = self._sum_reported(now)
        others = {}
        for host in hosts:
            own = self._hosts.get(host, _NO_REPORT)
            others[host] = Load(
                total.counts - Counter(own.counts), total.prefill - Counter(own.prefill)
            )
        return others

    def sum_fleet(self, now: float) -> Load:
        """Return the load of the whole fleet."""
        newest = max(
            _prune_stale(self._others, now).values(),
            key=lambda report: report.reported_at,
            default=None,
        )
        if newest is not None and now - newest.reported_at <= SUM_TTL_S:
            return _add(self.sum_own(), {"others": newest})
        return self._sum_reported(now)

    def measure_report_age(self, now: float) -> float:
        """Return the age of the newest word of other hosts' load, in seconds.

        0 if no other host has told anything of late.
        """
        reported_at = [
            report.reported_at
            for reports in (self._others, self._hosts, self._data_centres)
            for report in reports.values()
        ]
        return now - max(reported_at, default=now)

    def clear_others_sums(self) -> None:
        """Drop collectors' sums, as this host adds up for itself."""
        self._others.clear()


def _subtract(counts: Counter[int], server: int, value: int) -> None:
    counts[server] -= value
    if counts[server] <= 0:
        del counts[server]


def _add(load: Load, reports: Mapping[str, LoadReport]) -> Load:
    for report in reports.values():
        load.counts.update(report.counts)
        load.prefill.update(report.prefill)
    return load


def _store_if_newer(
    reports: dict[str, LoadReport], name: str, report: LoadReport
) -> None:
    known = reports.get(name)
    if known is None or report.sequence > known.sequence:
        reports[name] = report


def _prune_stale(reports: dict[str, LoadReport], now: float) -> dict[str, LoadReport]:
    for name in [
        name
        for name, report in reports.items()
        if now - report.reported_at > REPORT_TTL_S
    ]:
        del reports[name]
    return reports
