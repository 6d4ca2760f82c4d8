"""Requests in progress at each backend server, over all hosts.

Handles many hosts that each see a small part of the traffic and route the same hot
prompt: a host counts its own requests exactly and those of other hosts from their
last reports, so that the bound on a server's load holds over all hosts.

Every host reports to the collectors of its data centre. The collectors add the
reports up, send the sum of their data centre to the collectors of the others, and
send each host the sum of all other hosts. Servers are identified by their numbers.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

# Older reports are dropped; their hosts are gone.
REPORT_TTL_S = 1.5
# Messages of one sender may overtake each other by fewer than this many. A sequence
# number that is lower by more is that of a restarted host whose clock was set back.
MAX_OVERTAKEN = 50
# A collector's sum of other hosts that is older is ignored in favour of the reports
# received directly.
SUM_TTL_S = 0.6


class LoadReport(NamedTuple):
    """Load reported by another host.

    Attributes
    ----------
    sequence : int
        Increases with each report of the same sender.
    reported_at : float
        When the report arrived, by the clock of this host, in seconds.
    counts : mapping of int to int
        Requests in progress by server.
    prefill : mapping of int to int
        Pending prefill tokens by server.
    """

    sequence: int
    reported_at: float
    counts: Mapping[int, int]
    prefill: Mapping[int, int] = MappingProxyType({})


_NO_REPORT = LoadReport(0, 0.0, {})


class Load(NamedTuple):
    """Requests in progress and pending prefill tokens by server."""

    counts: Counter[int]
    prefill: Counter[int]


class LoadTable:
    """Requests in progress and pending prefill tokens by server, own and reported."""

    def __init__(self) -> None:
        self._own: Counter[int] = Counter()
        self._own_prefill: Counter[int] = Counter()
        self._hosts: dict[str, LoadReport] = {}
        self._data_centres: dict[str, LoadReport] = {}
        self._others: dict[str, LoadReport] = {}

    def begin(self, server: int) -> None:
        """Count a request sent to a server."""
        self._own[server] += 1

    def end(self, server: int) -> None:
        """Remove a finished request from the count."""
        _subtract(self._own, server, 1)

    def begin_prefill(self, server: int, tokens: int) -> None:
        """Add pending prefill tokens of a server."""
        self._own_prefill[server] += tokens

    def end_prefill(self, server: int, tokens: int) -> None:
        """Remove pending prefill tokens, whether processed or abandoned."""
        _subtract(self._own_prefill, server, tokens)

    def accept_host(self, name: str, report: LoadReport) -> None:
        """Store the report of a host of this data centre."""
        _store_if_newer(self._hosts, name, report)

    def accept_data_centre(self, name: str, report: LoadReport) -> None:
        """Store the sum of another data centre's reports."""
        _store_if_newer(self._data_centres, name, report)

    def accept_others_sum(self, collector: str, report: LoadReport) -> None:
        """Store a collector's sum of all hosts but this one."""
        _store_if_newer(self._others, collector, report)

    def count_own(self) -> int:
        """Return the number of this host's own requests in progress."""
        return self._own.total()

    def sum_own(self) -> Load:
        """Return this host's own load."""
        return Load(Counter(self._own), Counter(self._own_prefill))

    def sum_data_centre(self, now: float) -> Load:
        """Return this data centre's load from the reports of its hosts."""
        return _add(self.sum_own(), _prune_stale(self._hosts, now))

    def _sum_reported(self, now: float) -> Load:
        """Return the load of the whole fleet from the reports sent to a collector."""
        load = self.sum_data_centre(now)
        return _add(load, _prune_stale(self._data_centres, now))

    def sum_others_by_host(self, hosts: Iterable[str], now: float) -> dict[str, Load]:
        """Return the load of all other hosts for each host of this data centre."""
        total = self._sum_reported(now)
        others = {}
        for host in hosts:
            own = self._hosts.get(host, _NO_REPORT)
            others[host] = Load(
                _exclude(total.counts, own.counts),
                _exclude(total.prefill, own.prefill),
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
        """Return the age of the newest load report of other hosts, in seconds.

        0 if no report of another host is stored.
        """
        reported_at = [
            report.reported_at
            for reports in (self._others, self._hosts, self._data_centres)
            for report in reports.values()
        ]
        return now - max(reported_at, default=now)

    def clear_others_sums(self) -> None:
        """Drop the sums of collectors, as this host is a collector itself."""
        self._others.clear()


def _subtract(counts: Counter[int], server: int, value: int) -> None:
    counts[server] -= value
    if counts[server] <= 0:
        del counts[server]


def _add(load: Load, reports: Mapping[str, LoadReport]) -> Load:
    for report in reports.values():
        _add_counts(load.counts, report.counts)
        _add_counts(load.prefill, report.prefill)
    return load


# `Counter` can do both, but checks the type of its operand at each call.


def _add_counts(total: Counter[int], counts: Mapping[int, int]) -> None:
    for server, count in counts.items():
        total[server] = total.get(server, 0) + count


def _exclude(total: Counter[int], counts: Mapping[int, int]) -> Counter[int]:
    """Return what is left of a sum without one part of it, where anything is."""
    rest = {server: count - counts.get(server, 0) for server, count in total.items()}
    return Counter({server: count for server, count in rest.items() if count > 0})


def _store_if_newer(
    reports: dict[str, LoadReport], name: str, report: LoadReport
) -> None:
    known = reports.get(name)
    if known is None or not 0 <= known.sequence - report.sequence <= MAX_OVERTAKEN:
        reports[name] = report


def _prune_stale(reports: dict[str, LoadReport], now: float) -> dict[str, LoadReport]:
    for name in [
        name
        for name, report in reports.items()
        if now - report.reported_at > REPORT_TTL_S
    ]:
        del reports[name]
    return reports
