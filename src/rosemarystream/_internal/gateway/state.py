"""State of an entry host, as gauges for metrics and as a dump for operators."""

from collections.abc import Callable
from typing import TypedDict

from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.prompt_parts import format_part
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.host_times import HostTimes
from rosemarystream._internal.gateway.metrics import CallerGauges, HostGauges
from rosemarystream._internal.gateway.request_ledger import (
    RequestBalance,
    RequestLedger,
)
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.supervisor import FailingLoop
from rosemarystream._internal.models.endpoint import Endpoint

# Value of `heard_ms` for a host that has never given a sign of life.
NEVER_HEARD_MS = -1.0
_MS_PER_S = 1000


class ColdState(TypedDict):
    """Whether a backend server is cold, as a host knows; see `ServerState`."""

    cold_s: float | None
    cold_source: str | None


class ServerState(ColdState):
    """A backend server as a host sees it.

    Attributes
    ----------
    requests : int
        Requests in progress there, over all hosts.
    reading : int
        Prompt tokens that it still has to prefill, over all hosts.
    failure_rate : float
        Fraction of its recent requests that failed, 0 to 1.
    set_aside : bool
        Whether this host has ejected it for a while.
    limit_per_s : float or None
        Requests that it takes in a second from all hosts together; None if it has no
        limit.
    cold_s : float or None
        Time in seconds for which it is still cold; None if it is warm.
    cold_source : str or None
        How the host knows that: ``entry``, ``incarnation``, ``refused``,
        ``unreachable`` or ``reported``.
    leaving : bool
        Whether it has stated that it leaves, to this host or to another.
    retry_after_s : float or None
        Time in seconds for which it wants no requests of this host; None if it wants
        them.
    """

    service: str
    state: str
    address: str
    data_centre: str
    incarnation: int
    requests: int
    reading: int
    failure_rate: float
    set_aside: bool
    limit_per_s: float | None
    leaving: bool
    retry_after_s: float | None


class StoreState(TypedDict):
    """The era of the store, as a host knows it.

    Attributes
    ----------
    era : int
        Rises when the store comes back from a copy; 0 if it states none.
    in_doubt : bool
        Whether what may be of the copy doesn't count yet.
    withheld : list of str
        Servers whose entries may be of the copy and were removed since.
    """

    era: int
    in_doubt: bool
    withheld: list[str]


class EvacuationState(TypedDict):
    """What a host knows of the evacuation of a data centre.

    Attributes
    ----------
    era, revision : int
        Position of the store at which it was written or removed.
    age_s : float
        Time in seconds since a host read that from the store.
    """

    era: int
    revision: int
    in_force: bool
    age_s: float


class PeerState(TypedDict):
    """Another host; `heard_ms` is the time since its last sign of life, -1 if none."""

    data_centre: str
    ip: str
    heard_ms: float


class StateDump(TypedDict):
    """The state of a host; it contains no keys and no content of requests.

    Attributes
    ----------
    blocked_parts : dict of str to float
        Numbers of the prompt parts whose requests are rejected, as in the store, with
        the time until the end of the block in seconds.
    failing_loops : dict of str to FailingLoop
        Loops of the host that have failed and don't count as sound yet.
    requests : RequestBalance
        Requests that were begun, have ended and are in progress.
    left_out : dict of str to str
        Why objects of the store or of other hosts are left out, by kind and name.
    evacuations_known : bool
        Whether this host knows which data centres are evacuated.
    evacuations : dict of str to EvacuationState
        The evacuations that are in force, or have ended, by data centre.
    """

    host: str
    data_centre: str
    ready: bool
    leaving: bool
    figures: HostGauges
    revision: int
    store: StoreState
    requests: RequestBalance
    routes: dict[str, list[str]]
    workspaces: list[str]
    out_of_reach: list[str]
    blocked_parts: dict[str, float]
    failing_loops: dict[str, FailingLoop]
    left_out: dict[str, str]
    is_collector: bool
    collectors: list[str]
    servers: dict[str, ServerState]
    peers: dict[str, PeerState]
    evacuations_known: bool
    evacuations: dict[str, EvacuationState]


class StateReport:
    """Reports the state of this host.

    Parameters
    ----------
    list_failing_loops : callable
        Returns the loops that don't count as sound.
    count_busy : callable
        Returns the number of requests in progress.
    count_dropped_entries : callable
        Returns the number of log entries dropped since the start.
    collect_callers : callable
        Returns what is held for callers.

    Attributes
    ----------
    store_lost_s : float
        Time since the store was lost, in seconds; 0 if it answers.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        clock: Callable[[], float],
        replica: Replica,
        peer_table: PeerTable,
        loads: LoadTable,
        router: Router,
        blocks: PromptBlocks,
        list_failing_loops: Callable[[], dict[str, FailingLoop]],
        count_busy: Callable[[], int],
        count_dropped_entries: Callable[[], int],
        collect_callers: Callable[[], CallerGauges],
        left_out: IgnoredObjects,
        times: HostTimes,
        ledger: RequestLedger,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._clock = clock
        self._replica = replica
        self._peer_table = peer_table
        self._loads = loads
        self._router = router
        self._evacuations = router.availability.evacuations
        self._blocks = blocks
        self._list_failing_loops = list_failing_loops
        self._count_busy = count_busy
        self._collect_callers = collect_callers
        self._left_out = left_out
        self._times = times
        self._ledger = ledger
        self._count_dropped_entries = count_dropped_entries
        self.store_lost_s = 0.0

    def record_version(self) -> None:
        """Record the time if another configuration has come into force."""
        self._times.record_version(self._replica.version)

    def collect_gauges(self) -> HostGauges:
        """Return the current gauges of this host, and bring its counters up to date."""
        self._ledger.publish()
        now = self._clock()
        return HostGauges(
            in_progress=self._count_busy(),
            version=self._replica.version,
            configuration_age_s=round(now - self._times.configured_at, 1),
            counts_age_s=round(self._loads.measure_report_age(now), 3),
            store_lost_s=round(self.store_lost_s, 1),
            live_hosts=self._peer_table.count_live(now),
            lines_left_out=self._count_dropped_entries(),
            callers=self._collect_callers(),
            services=self._router.list_gauges(),
            data_centres_evacuated=self._evacuations.count_in_force(),
        )

    def make_dump(self, *, ready: bool, leaving: bool) -> StateDump:
        """Return the state dump of this host."""
        now = self._clock()
        configuration = self._replica.configuration
        routes = configuration.routes if configuration else {}
        workspaces = configuration.workspaces.values() if configuration else ()
        collectors = self._peer_table.list_collectors(self._data_centre, now)
        return StateDump(
            host=self._name,
            data_centre=self._data_centre,
            ready=ready,
            leaving=leaving,
            figures=self.collect_gauges(),
            revision=self._replica.position.revision,
            store=StoreState(
                era=self._replica.era.number,
                in_doubt=self._replica.era.is_in_doubt,
                withheld=self._replica.list_withheld(),
            ),
            requests=self._ledger.read_balance(self._count_busy()),
            routes={host: [r.name for r in group] for host, group in routes.items()},
            workspaces=sorted({workspace.name for workspace in workspaces}),
            out_of_reach=self._router.list_unreachable_services(),
            blocked_parts={
                format_part(block.part): round(block.until - now, 1)
                for block in self._blocks.list_blocks()
            },
            failing_loops=self._list_failing_loops(),
            left_out=self._left_out.list_reasons(),
            is_collector=self._name in collectors,
            collectors=collectors,
            servers=self._list_servers(now),
            peers=self._list_peers(now),
            evacuations_known=self._evacuations.is_known,
            evacuations={
                record.data_centre: EvacuationState(
                    era=record.position.era,
                    revision=record.position.revision,
                    in_force=record.is_in_force,
                    age_s=round(now - record.read_at, 1),
                )
                for record in self._evacuations.list_records()
            },
        )

    def _list_servers(self, now: float) -> dict[str, ServerState]:
        load = self._loads.sum_fleet(now)
        health = self._router.health
        return {
            endpoint.name: ServerState(
                service=endpoint.service,
                state=endpoint.state,
                address=endpoint.address,
                data_centre=endpoint.data_centre,
                incarnation=endpoint.incarnation,
                requests=load.counts[endpoint.number],
                reading=load.prefill[endpoint.number],
                failure_rate=round(health.failure_rate(endpoint.name, now), 3),
                set_aside=health.is_ejected(endpoint.name, now),
                limit_per_s=self._find_limit(endpoint.number),
                **self._describe_cold(endpoint.number, now),
                leaving=self._router.availability.leaving.is_leaving(endpoint),
                retry_after_s=self._measure_retry_wait(endpoint, now),
            )
            for endpoint in self._replica.list_endpoints()
        }

    def _find_limit(self, server: int) -> float | None:
        limits = self._router.limits
        return limits.find(server) if limits.is_limited(server) else None

    def _describe_cold(self, server: int, now: float) -> ColdState:
        cold = self._router.cold
        if not cold.is_cold(server, now):
            return ColdState(cold_s=None, cold_source=None)
        left_s = round(cold.find_until(server) - now, 3)
        return ColdState(cold_s=left_s, cold_source=cold.find_source(server))

    def _measure_retry_wait(self, endpoint: Endpoint, now: float) -> float | None:
        left_s = self._router.availability.retries.find(endpoint) - now
        return round(left_s, 3) if left_s > 0 else None

    def _list_peers(self, now: float) -> dict[str, PeerState]:
        return {
            host.name: PeerState(
                data_centre=host.data_centre,
                ip=host.ip,
                heard_ms=round((now - host.last_seen_at) * _MS_PER_S, 1)
                if host.last_seen_at
                else NEVER_HEARD_MS,
            )
            for host in self._peer_table.list_known()
        }
