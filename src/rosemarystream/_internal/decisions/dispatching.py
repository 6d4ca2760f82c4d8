"""Admission service: runs the admission control of this data centre's groups.

Feeds each `GroupAdmission` with the ranks, servers, poll results and shares, and
dispatches waiting requests when one of these changes or a request ends.
"""

from collections.abc import Iterable
from typing import Any

from rosemarystream._internal.decisions.admission import (
    RETRY_SECONDS,
    AdmissionContext,
    GroupAdmission,
)
from rosemarystream._internal.decisions.configuration import Configuration
from rosemarystream._internal.decisions.group_loads import GroupLoads
from rosemarystream._internal.decisions.load_bound import PoolLoad
from rosemarystream._internal.decisions.ownership import Ownership
from rosemarystream._internal.decisions.routing import Routing
from rosemarystream._internal.decisions.server_groups import GroupName
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.configuration import Pool
from rosemarystream._internal.models.events import (
    ConfigurationChanged,
    HostListChanged,
    OwnersChanged,
    ServerReported,
    ServerUnresponsive,
    ServingChanged,
    WorkRefused,
)
from rosemarystream._internal.models.messages import GroupLoad, Heartbeat
from rosemarystream._internal.models.request import Work
from rosemarystream._internal.models.server import (
    BackendServer,
    EntryHost,
    PollTarget,
)

# Interval of attempts to dispatch while requests wait.
RETRY_INTERVAL_SECONDS = 0.05
# A host that did not own a group for this long discards its servers' reports.
TAKE_OVER_SECONDS = 0.5
LONG_AGO = float("-inf")


class Dispatching(Service):
    """Admits requests to the server groups that this host owns.

    Parameters
    ----------
    me : EntryHost
        This host.
    configuration, routing, ownership, loads : Service
        Provide the limits, the groups, the shares and the load of other groups.
    queue_limit : int
        Maximum number of waiting requests per rank and group.
    """

    name = "dispatching"
    handles = (
        ConfigurationChanged,
        HostListChanged,
        OwnersChanged,
        ServingChanged,
        ServerReported,
        ServerUnresponsive,
        Heartbeat,
    )

    def __init__(
        self,
        *,
        me: EntryHost,
        configuration: Configuration,
        routing: Routing,
        ownership: Ownership,
        loads: GroupLoads,
        queue_limit: int,
    ) -> None:
        self._me = me
        self._configuration = configuration
        self._routing = routing
        self._ownership = ownership
        self._loads = loads
        self._queue_limit = queue_limit
        self._groups: dict[GroupName, GroupAdmission] = {}
        self._group_of: dict[str, GroupName] = {}
        self._due = 0.0
        self._not_owner_since: dict[GroupName, float] = {}

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Apply a change and grant the requests that it makes room for."""
        if isinstance(event, ServerReported | ServerUnresponsive):
            return self._record_poll(event, now)
        if isinstance(event, ServingChanged) and event.server:
            self._update_server(event.server)
        elif isinstance(event, OwnersChanged):
            if event.data_centre == self._me.data_centre:
                self._record_shares(now)
        elif not isinstance(event, Heartbeat):
            self._update_groups()
            self._record_shares(now)
        return self._dispatch_all(now)

    def _update_server(self, server: str) -> None:
        name = self._routing.find_group(server)
        group = None if name is None else self._groups.get(name)
        if name is not None and group is not None:
            self._set_serving(group, self._routing.groups[name])

    def _set_serving(
        self, group: GroupAdmission, members: tuple[BackendServer, ...]
    ) -> None:
        group.set_serving(
            server.name for server in members if self._routing.is_serving(server)
        )

    def _record_shares(self, now: float) -> None:
        for name in self._groups:
            self._record_share(name, self._ownership.share(str(name), now), now)

    def _record_poll(
        self, event: ServerReported | ServerUnresponsive, now: float
    ) -> Iterable[Any]:
        name = self._routing.find_group(event.server)
        group = None if name is None else self._groups.get(name)
        if name is None or group is None:
            return ()
        if isinstance(event, ServerReported):
            group.record_report(event.server, event.report, event.asked_at)
        else:
            group.mark_unresponsive(event.server)
        return self._dispatch(name, group, now)

    def _update_groups(self) -> None:
        local = {
            name: members
            for name, members in self._routing.groups.items()
            if name.data_centre == self._me.data_centre
        }
        for name, members in local.items():
            group = self._groups.get(name)
            if group is None:
                group = self._groups[name] = self._make_group(name)
                self._not_owner_since[name] = LONG_AGO
            group.set_ranks(self._configuration.ranks)
            self._set_serving(group, members)
        for name, group in list(self._groups.items()):
            if name in local:
                continue
            group.set_serving(())
            if not group.running and not group.is_waiting:
                del self._groups[name]
                self._not_owner_since.pop(name, None)

    def _make_group(self, name: GroupName) -> GroupAdmission:
        return GroupAdmission(
            name=str(name),
            ranks=self._configuration.ranks,
            queue_limit=self._queue_limit,
            get_weight=self._configuration.get_workspace_weight,
        )

    def submit(
        self, work: Work, group: GroupName, *, may_queue: bool, now: float
    ) -> list[Any]:
        """Submit a request to the admission control of a group.

        Returns
        -------
        actions : list of WorkGranted or WorkRefused
            For `work` or for a request dropped to make room; empty if it waits.
        """
        admission = self._groups.get(group)
        pool = self._configuration.find_pool(group.pool)
        if admission is None or pool is None:
            return [_refuse(work, ErrorKind.NO_BACKEND, "unknown server group")]
        context = self._make_context(group, pool, now)
        if context.share <= 0:
            return [_refuse(work, ErrorKind.NOT_OWNER, "host does not own the group")]
        self._group_of[work.request_id] = group
        actions = admission.submit(work, context=context, may_queue=may_queue, now=now)
        self._remove_refused(actions)
        return actions

    def _remove_refused(self, actions: Iterable[Any]) -> None:
        for action in actions:
            if isinstance(action, WorkRefused):
                self._group_of.pop(action.request_id, None)

    def finish(self, request_id: str, now: float) -> list[Any]:
        """Remove a request that has ended or was cancelled, and grant waiting ones."""
        name = self._group_of.pop(request_id, None)
        if name is None:
            return []
        admission = self._groups[name]
        admission.cancel(request_id, now)
        return self._dispatch(name, admission, now)

    def _dispatch_all(self, now: float) -> list[Any]:
        return [
            action
            for name, group in list(self._groups.items())
            if group.is_waiting
            for action in self._dispatch(name, group, now)
        ]

    def _dispatch(
        self, name: GroupName, group: GroupAdmission, now: float
    ) -> list[Any]:
        if not group.is_waiting:
            return []
        pool = self._configuration.find_pool(name.pool)
        if pool is None:
            actions = group.refuse_waiting()
        else:
            context = self._make_context(name, pool, now)
            actions = group.dispatch(context=context, now=now)
        self._remove_refused(actions)
        return actions

    def _make_context(
        self, group: GroupName, pool: Pool, now: float
    ) -> AdmissionContext:
        share = self._ownership.share(str(group), now)
        self._record_share(group, share, now)
        return AdmissionContext(
            pool=pool,
            other_groups=self._sum_other_groups(group, now),
            share=share,
            contested=share < 1 or self._is_contested(group, now),
        )

    def _record_share(self, group: GroupName, share: float, now: float) -> None:
        # A host that did not own the group for a while does not know what the
        # owners sent in the meantime, so it waits for new reports.
        if share <= 0:
            self._not_owner_since.setdefault(group, now)
            return
        since = self._not_owner_since.pop(group, now)
        if now - since >= TAKE_OVER_SECONDS:
            self._groups[group].take_over(now)

    def _is_contested(self, group: GroupName, now: float) -> bool:
        reported = self._loads.pressure(group, now).running > 0
        return reported or self._groups[group].has_foreign_requests

    def _sum_other_groups(self, group: GroupName, now: float) -> PoolLoad:
        # Servers of a data centre without a live host cannot be reached, so
        # neither their load nor their number counts in the pool's mean.
        running = 0
        servers = 0
        for name in self._routing.list_pool_groups(group.pool):
            if name == group or self._routing.find_owner(name) is None:
                continue
            load = self._loads.find_confirmed_load(name, now)
            own = self._groups.get(name)
            if own is not None and own.running:
                running += own.count_own_running()
                servers += self._routing.count_serving(name)
            elif load is None:
                servers += self._routing.count_serving(name)
            else:
                servers += load.servers
            running += load.running if load is not None else 0
        return PoolLoad(running=running, servers=servers)

    def expire(self, now: float) -> Iterable[Any]:
        """Refuse expired requests and dispatch those that can be granted now."""
        self._due = now + RETRY_INTERVAL_SECONDS
        return self._dispatch_all(now)

    def next_deadline(self) -> float | None:
        """Time of the next attempt to dispatch; None while no request waits."""
        waiting = any(group.is_waiting for group in self._groups.values())
        return self._due if waiting else None

    def servers_to_poll(self, now: float) -> list[PollTarget]:
        """Return the servers to poll: those of groups owned or used by this host."""
        return [
            PollTarget(server, is_urgent=self._is_urgent(name, server, now))
            for name in self._groups
            if self._needs_reports(name)
            for server in self._routing.groups.get(name, ())
        ]

    def _needs_reports(self, name: GroupName) -> bool:
        if self._routing.find_owner(name) == self._me.name:
            return True
        return self._groups[name].running > 0

    def _is_urgent(self, name: GroupName, server: BackendServer, now: float) -> bool:
        if not self._groups[name].has_current_report(server.name):
            return True
        share = self._ownership.share(str(name), now)
        return 0 < share < 1 or self._is_contested(name, now)

    def report_loads(self, *, remote: bool) -> tuple[GroupLoad, ...]:
        """Return the group loads for the next heartbeat; resets their floors."""
        return tuple(
            self._report(name, group, remote=remote)
            for name, group in self._groups.items()
            if self._is_reported(name, group)
        )

    def has_load_change(self, *, remote: bool) -> bool:
        """Return whether a load has changed a lot since it was last reported."""
        return any(
            group.get_floor_tracker(remote=remote).has_changed
            for group in self._groups.values()
        )

    def _is_reported(self, name: GroupName, group: GroupAdmission) -> bool:
        is_owner = self._routing.find_owner(name) == self._me.name
        return is_owner or group.running > 0

    def _report(
        self, name: GroupName, group: GroupAdmission, *, remote: bool
    ) -> GroupLoad:
        return GroupLoad(
            group=str(name),
            servers=group.responsive_servers,
            running_floor=group.get_floor_tracker(remote=remote).take_floor(),
            running=group.running,
            queued=group.queued,
        )

    @property
    def running(self) -> int:
        """Number of requests that this host has in progress on its groups."""
        return sum(group.running for group in self._groups.values())

    def dump(self) -> dict[str, Any]:
        """Return load and queue of the groups that this host owns or uses."""
        return {
            str(name): group.dump()
            for name, group in self._groups.items()
            if self._is_reported(name, group)
        }


def _refuse(work: Work, kind: ErrorKind, message: str) -> WorkRefused:
    return WorkRefused(
        request_id=work.request_id,
        kind=kind,
        message=message,
        retry_after=RETRY_SECONDS,
    )
