"""Routing: the server groups for a request in order of preference.

Also keeps the index of groups, servers and serving servers that others look up.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from rosemarystream._internal.decisions.configuration import Configuration
from rosemarystream._internal.decisions.group_loads import GroupLoads
from rosemarystream._internal.decisions.hashing import pick_candidate
from rosemarystream._internal.decisions.host_exclusions import HostExclusions
from rosemarystream._internal.decisions.ownership import Ownership
from rosemarystream._internal.decisions.recalls import Recalls
from rosemarystream._internal.decisions.server_groups import GroupName, group_servers
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import (
    ConfigurationChanged,
    HostListChanged,
    ServingChanged,
)
from rosemarystream._internal.models.request import ContextHint, Work
from rosemarystream._internal.models.server import BackendServer, EntryHost


class ServingNames(NamedTuple):
    """Names of a pool's serving servers, as insertion-ordered sets.

    Attributes
    ----------
    in_region : dict
        Serving servers in this host's region.
    everywhere : dict
        All serving servers of the pool.
    """

    in_region: dict[str, None]
    everywhere: dict[str, None]


NO_SERVERS = ServingNames(in_region={}, everywhere={})


class Routing(Service):
    """Orders the server groups for each request and finds their owners.

    Parameters
    ----------
    me : EntryHost
        This host; servers of its region are preferred.
    configuration, recalls, ownership, loads : Service
        Provide the servers, their recalls, the owners and the group loads.
    """

    name = "routing"
    handles = (ConfigurationChanged, HostListChanged, ServingChanged)

    def __init__(
        self,
        *,
        me: EntryHost,
        configuration: Configuration,
        recalls: Recalls,
        ownership: Ownership,
        loads: GroupLoads,
    ) -> None:
        self._me = me
        self._configuration = configuration
        self._recalls = recalls
        self._ownership = ownership
        self._loads = loads
        self.exclusions = HostExclusions()
        self._groups: dict[GroupName, tuple[BackendServer, ...]] = {}
        self._group_of: dict[str, GroupName] = {}
        self._servers: dict[str, BackendServer] = {}
        self._by_pool: dict[str, list[BackendServer]] = {}
        self._serving: dict[str, ServingNames] = {}
        self._pool_groups: dict[str, list[GroupName]] = {}
        self._region_groups: dict[str, list[GroupName]] = {}

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Update the index when servers, recalls or server states change."""
        if not isinstance(event, ServingChanged):
            self._regroup()
        elif event.server:
            self._update_serving(event.server)
            return ()
        for pool in self._by_pool:
            self._rebuild_serving(pool)
        return ()

    def _regroup(self) -> None:
        servers = self._configuration.servers()
        self._groups = group_servers(servers)
        self._group_of = {
            server.name: name
            for name, members in self._groups.items()
            for server in members
        }
        self._servers = {server.name: server for server in servers}
        self._by_pool = {}
        self._serving = {}
        for server in servers:
            self._by_pool.setdefault(server.pool, []).append(server)
        self._pool_groups = {pool: [] for pool in self._by_pool}
        self._region_groups = {pool: [] for pool in self._by_pool}
        for name, members in self._groups.items():
            self._pool_groups[name.pool].append(name)
            if members[0].region == self._me.region:
                self._region_groups[name.pool].append(name)

    def _rebuild_serving(self, pool: str) -> None:
        serving = [s for s in self._by_pool[pool] if self.is_serving(s)]
        self._serving[pool] = ServingNames(
            in_region={s.name: None for s in serving if s.region == self._me.region},
            everywhere={s.name: None for s in serving},
        )

    def _update_serving(self, name: str) -> None:
        server = self._servers.get(name)
        if server is None:
            return
        names = self._serving[server.pool]
        if not self.is_serving(server):
            names.in_region.pop(name, None)
            names.everywhere.pop(name, None)
            return
        names.everywhere[name] = None
        if server.region == self._me.region:
            names.in_region[name] = None

    @property
    def groups(self) -> dict[GroupName, tuple[BackendServer, ...]]:
        """Groups of all listed servers, including recalled servers."""
        return self._groups

    def list_pool_groups(self, pool: str) -> list[GroupName]:
        """Return the groups of a pool."""
        return self._pool_groups.get(pool, [])

    def count_serving(self, group: GroupName) -> int:
        """Return how many servers of a group accept new requests."""
        names = self._serving.get(group.pool, NO_SERVERS).everywhere
        return sum(server.name in names for server in self._groups[group])

    def find_server(self, name: str) -> BackendServer | None:
        """Return a listed server by name."""
        return self._servers.get(name)

    def find_group(self, server: str) -> GroupName | None:
        """Return the group of a listed server."""
        return self._group_of.get(server)

    def is_serving(self, server: BackendServer) -> bool:
        """Return whether a server may get new requests, as far as this host knows."""
        if self._recalls.is_leaving(server):
            return False
        return self._recalls.find_recall(server) is None

    def check_hint(self, hint: ContextHint | None, pool: str) -> ContextHint | None:
        """Return the hint if it is still valid, otherwise None.

        Its engine has to serve the pool and must not have restarted, which
        would have emptied its cache.
        """
        if hint is None:
            return None
        server = self._servers.get(hint.server)
        if server is None or server.pool != pool or not self.is_serving(server):
            return None
        if server.incarnation != hint.incarnation:
            return None
        return hint

    def order_groups(self, work: Work, now: float) -> list[GroupName]:
        """Return the groups to try for a request, in order of preference.

        The group of the preferred server comes first: the engine named by the
        hint, else the server that rendezvous hashing picks in this region. The
        others follow by increasing load; among equal loads, those of this data
        centre come first. Groups whose live candidates are all excluded come
        last. Groups of other regions are added only if this region has no group
        that can be reached, or requests wait at all of its usable groups.
        """
        serving = self._serving.get(work.pool, NO_SERVERS)
        hint = self.check_hint(work.hint, work.pool)
        names = serving.in_region or serving.everywhere
        preferred = hint.server if hint else pick_candidate(work.affinity_key, names)
        if preferred is None:
            return []
        first = self._group_of[preferred]
        in_region = self._sort_groups(self._region_groups[work.pool], first, now)
        if in_region and not self._are_all_busy(in_region, now):
            return in_region
        other_regions = set(self._pool_groups[work.pool]) - set(in_region)
        return in_region + self._sort_groups(other_regions, first, now)

    def _sort_groups(
        self, groups: Iterable[GroupName], first: GroupName, now: float
    ) -> list[GroupName]:
        reachable = [group for group in groups if self.find_owner(group)]
        return sorted(
            reachable,
            key=lambda group: (
                self._is_excluded(group, now),
                group != first,
                *self._sort_key(group, now),
            ),
        )

    def _are_all_busy(self, groups: list[GroupName], now: float) -> bool:
        return all(
            self._loads.pressure(group, now).queued > 0 or self._is_excluded(group, now)
            for group in groups
        )

    def _is_excluded(self, group: GroupName, now: float) -> bool:
        owner = self.pick_owner(group, now)
        return owner is None or self.exclusions.is_excluded(str(group), owner, now)

    def _sort_key(self, group: GroupName, now: float) -> tuple[Any, ...]:
        pressure = self._loads.pressure(group, now)
        is_remote = group.data_centre != self._me.data_centre
        return round(pressure.queued), round(pressure.running), is_remote, group

    def find_owner(self, group: GroupName) -> str | None:
        """Return the live host that owns a group, or None if there is none."""
        return self._ownership.owner(str(group), group.data_centre)

    def pick_owner(self, group: GroupName, now: float) -> str | None:
        """Return the host to forward a request to, or None.

        This is the first live candidate that is not excluded; if all of them
        are, the owner.
        """
        name = str(group)
        live = self._ownership.order_live_hosts(name, group.data_centre)
        usable = (
            host for host in live if not self.exclusions.is_excluded(name, host, now)
        )
        return next(usable, live[0] if live else None)

    def dump(self) -> dict[str, Any]:
        """Return the groups with their servers and owners."""
        return {
            str(group): {
                "owner": self.find_owner(group),
                "servers": [server.name for server in members],
            }
            for group, members in self._groups.items()
        }
