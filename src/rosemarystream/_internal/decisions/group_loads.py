"""Loads of the server groups of other hosts, as reported in heartbeats.

A confirmed load, never above the true one, goes into load bounds; the latest
reported load is used only to choose between groups.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from rosemarystream._internal.decisions.load_bound import PoolLoad, RemoteLoad
from rosemarystream._internal.decisions.server_groups import GroupName, parse_group
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.messages import GroupLoad, Heartbeat

MAX_GROUPS = 65_536
EXPIRY_INTERVAL_SECONDS = 1.0


class GroupReport:
    """Load of one group as one host reports it."""

    def __init__(self) -> None:
        self.remote_load = RemoteLoad()
        self.latest: GroupLoad | None = None
        self.deadline = 0.0

    def record_report(self, load: GroupLoad, deadline: float) -> None:
        """Record a report, which is valid until `deadline`."""
        self.remote_load.record_report(
            floor=min(load.running_floor, load.running),
            servers=load.servers,
            deadline=deadline,
        )
        self.latest = load
        self.deadline = deadline


class GroupPressure(NamedTuple):
    """Load of a group per server, to choose between groups.

    Attributes
    ----------
    queued : float
        Waiting requests per server.
    running : float
        Requests in progress per server.
    """

    queued: float
    running: float


NO_PRESSURE = GroupPressure(queued=0.0, running=0.0)


class GroupLoads(Service):
    """Stores the group loads that other hosts report."""

    name = "loads"
    handles = (Heartbeat,)

    def __init__(self) -> None:
        self._reports: dict[GroupName, dict[str, GroupReport]] = {}
        self._due = 0.0

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Record the group loads of a heartbeat."""
        deadline = now + event.valid_ms / 1000
        for load in event.loads:
            self._record_load(event.host.name, load, deadline)
        return ()

    def _record_load(self, host: str, load: GroupLoad, deadline: float) -> None:
        group = parse_group(load.group)
        if group not in self._reports and len(self._reports) >= MAX_GROUPS:
            return
        reports = self._reports.setdefault(group, {})
        if host not in reports:
            reports[host] = GroupReport()
        reports[host].record_report(load, deadline)

    def expire(self, now: float) -> Iterable[Any]:
        """Delete reports whose deadline has passed."""
        self._due = now + EXPIRY_INTERVAL_SECONDS
        for group, reports in list(self._reports.items()):
            current = {host: r for host, r in reports.items() if r.deadline > now}
            if current:
                self._reports[group] = current
            else:
                del self._reports[group]
        return ()

    def next_deadline(self) -> float | None:
        """Time of the next check for expired reports."""
        return self._due

    def _list_current(self, group: GroupName, now: float) -> list[GroupReport]:
        reports = self._reports.get(group, {}).values()
        return [report for report in reports if report.deadline > now]

    def find_confirmed_load(self, group: GroupName, now: float) -> PoolLoad | None:
        """Return a load that a group certainly has; None without a valid report."""
        loads = [
            report.remote_load.read(now) for report in self._list_current(group, now)
        ]
        if not loads:
            return None
        return PoolLoad(
            running=sum(load.running for load in loads),
            servers=max(load.servers for load in loads),
        )

    def pressure(self, group: GroupName, now: float) -> GroupPressure:
        """Return the load per server from the valid reports on a group."""
        latest = [r.latest for r in self._list_current(group, now) if r.latest]
        servers = max((load.servers for load in latest), default=0)
        if not servers:
            return NO_PRESSURE
        return GroupPressure(
            queued=sum(load.queued for load in latest) / servers,
            running=sum(load.running for load in latest) / servers,
        )

    def dump(self) -> dict[str, Any]:
        """Return the latest load of every group by reporting host."""
        return {
            f"{host}:{group}": report.latest._asdict()
            for group, reports in self._reports.items()
            for host, report in reports.items()
            if report.latest
        }
