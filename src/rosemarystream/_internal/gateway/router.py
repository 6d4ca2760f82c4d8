"""Routing of requests to backend servers, and the host's view of the fleet.

Combines the decisions on placement, server health, load and retries with the
host's copies of the configuration and of the registered servers. It does no I/O
other than logging.
"""

from collections.abc import Callable, Sequence

from logbook import Logger
from xxhash import xxh3_64_intdigest

from rosemarystream._internal.decisions.context_map import ContextMap, hash_part
from rosemarystream._internal.decisions.fleet_observations import (
    FleetObservations,
)
from rosemarystream._internal.decisions.hashing import hash_name_32
from rosemarystream._internal.decisions.limit_quotas import ColdBound
from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.placement import (
    Placement,
    choose_shared_parts,
    compute_load_bound,
    estimate_slowness,
    place_by_load,
)
from rosemarystream._internal.decisions.priorities import (
    Priority,
    PriorityTable,
    build_priority_table,
)
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.server_availability import (
    ServerAvailability,
)
from rosemarystream._internal.decisions.server_speeds import ServerSpeeds
from rosemarystream._internal.gateway.context_placer import ContextPlacer
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.metrics import GatewayMetrics, ServiceGauges
from rosemarystream._internal.gateway.retry_budgets import RetryBudgets
from rosemarystream._internal.gateway.server_statements import ServerStatements
from rosemarystream._internal.gateway.settings import BoundsSection
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endpoint import Endpoint, ServerEntry
from rosemarystream._internal.models.judgements import Judgement
from rosemarystream._internal.models.log_entries.servers import (
    JudgementWithheld,
    ServerEjected,
    ServerReinstated,
)
from rosemarystream._internal.models.route import Route

log = Logger(__name__)

# Delay that a refused caller is advised to wait before it tries again.
RETRY_AFTER_S = 0.1
# Age of a load report when it arrives: it waits for the rounds of two collectors.
REPORT_DELAY_S = 0.1
_MS_PER_S = 1000


class Router:
    """Routes requests, and records how the servers handle them.

    One instance is shared by all requests of a host.

    Parameters
    ----------
    data_centre : str
        Data centre of this host; its servers are preferred.
    bounds : BoundsSection
        Retry budget and load bound from the settings.
    replica : Replica
        This host's copy of the configuration and of the registered servers.
    read_epoch_s : callable
        Returns the time since the epoch in seconds; it must not jump.
    on_load : callable
        Called after this host's own load has changed.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        bounds: BoundsSection,
        replica: Replica,
        peer_table: PeerTable,
        loads: LoadTable,
        contexts: ContextMap,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        read_epoch_s: Callable[[], float],
        on_load: Callable[[], None],
    ) -> None:
        self.replica = replica
        self.metrics = metrics
        self.contexts = contexts
        self.availability = ServerAvailability(replica=replica)
        self.health = self.availability.health
        self.limits = self.availability.limits
        self.cold = self.limits.cold
        self.cold.bound = _make_cold_bound(bounds)
        self.speeds = ServerSpeeds()
        self.statements = ServerStatements(
            replica=replica,
            availability=self.availability,
            metrics=metrics,
            clock=clock,
            read_epoch_s=read_epoch_s,
        )
        self.observations = FleetObservations(
            speeds=self.speeds,
            limits=self.limits,
            retries=self.availability.retries,
            leaving=self.availability.leaving,
        )
        self._data_centre = data_centre
        self._bounds = bounds
        self._peer_table = peer_table
        self._loads = loads
        self._clock = clock
        self._on_load = on_load
        self._priorities = PriorityTable(pairs=())
        self._priorities_version = 0
        self._incarnations: dict[str, int] = {}
        self._retries = RetryBudgets(bounds=bounds, peer_table=peer_table, clock=clock)
        self._placer = ContextPlacer(
            replica=replica,
            availability=self.availability,
            contexts=contexts,
            loads=loads,
            speeds=self.speeds,
            read_epoch_s=read_epoch_s,
        )

    def set_bounds(self, bounds: BoundsSection) -> None:
        """Apply new bounds; the retry budgets are reset."""
        self._bounds = bounds
        self._retries.set_bounds(bounds)
        self.cold.bound = _make_cold_bound(bounds)

    def choose_service(self, route: Route, call: Call) -> str:
        """Return the service for a request, drawn by the weights of its route.

        The request id decides the draw, so a repeated request gets the same one.
        """
        total = sum(target.weight for target in route.targets)
        if len(route.targets) == 1 or not total:
            return route.targets[0].service
        draw = xxh3_64_intdigest(call.request_id.encode()) % total
        for target in route.targets:
            draw -= target.weight
            if draw < 0:
                return target.service
        return route.targets[-1].service

    def place(
        self,
        route: Route,
        service: str,
        call: Call,
        *,
        rank: int,
        exclude: Sequence[str],
        may_probe: bool = True,
        ignores_ejections: bool = False,
    ) -> Placement | None:
        """Choose the server for the next attempt of a request.

        Parameters
        ----------
        exclude : sequence of str
            Servers that have been tried already, or don't permit another request.
        may_probe : bool
            Whether one may be chosen that is assumed to be unreachable.
        ignores_ejections : bool
            Whether it may be any that is assumed to be unreachable.

        Returns
        -------
        Placement or None
            The server with the inputs of the decision; None if no server is left.
        """
        now = self._clock()
        ready = self.availability.list_ready(service)
        candidates = self.availability.select_open(
            service,
            ready,
            exclude=exclude,
            now=now,
            may_probe=may_probe,
            ignores_ejections=ignores_ejections,
        )
        load = self._loads.sum_fleet(now)
        if route.keeps_context and call.parts:
            share = self.find_priority(rank, route).share
            return self._placer.place(
                call,
                ready,
                candidates,
                load,
                now,
                objective_s=route.objective_s,
                share=share,
                load_multiple=self._bounds.load_multiple,
            )
        counts_age_s = self._loads.measure_report_age(now)
        endpoint = place_by_load(
            candidates,
            loads={e.name: load.counts[e.number] for e in candidates},
            failure_rates=self._list_failure_rates(candidates, now),
            slowness=self._list_slowness(candidates, now),
            data_centre=self._data_centre,
            unseen=self._estimate_unseen(service, counts_age_s, now),
            salt=call.request_id,
        )
        if endpoint is None:
            return None
        return Placement(
            endpoint,
            load.counts[endpoint.number],
            counts_age_s=counts_age_s,
            slowness=self.speeds.estimate(endpoint.number, now),
        )

    def _estimate_unseen(self, service: str, age_s: float, now: float) -> float:
        """Return the requests that others have probably sent since their reports."""
        others = self._peer_table.count_live(now) - 1
        rate = self._retries.measure_request_rate(service)
        return others * rate * (age_s + REPORT_DELAY_S)

    def list_unreachable_services(self) -> list[str]:
        """Return the services none of whose servers this host can reach."""
        return self.availability.list_unreachable_services(self._clock())

    def record_reachable(self, endpoint: Endpoint) -> None:
        """Record that a server assumed unresponsive accepts connections again."""
        self._record_outcome(endpoint, failed=False)
        self.record_answer(endpoint)

    def _list_failure_rates(
        self, endpoints: Sequence[Endpoint], now: float
    ) -> dict[str, float]:
        return {e.name: self.health.failure_rate(e.name, now) for e in endpoints}

    def _list_slowness(
        self, endpoints: Sequence[Endpoint], now: float
    ) -> dict[str, float]:
        return {
            e.name: estimate_slowness(
                self.speeds.estimate(e.number, now),
                is_cold=self.cold.is_cold(e.number, now),
            )
            for e in endpoints
        }

    def begin_prefill(self, placement: Placement, call: Call) -> None:
        """Count the prompt tokens that a server has to prefill for a request."""
        if not call.parts:
            return
        endpoint = placement.endpoint
        tokens = sum(part.tokens for part in call.parts)
        self.metrics.prompt_tokens.inc(tokens)
        self.metrics.prompt_tokens_unread.inc(placement.uncached_tokens)
        self._loads.begin_prefill(endpoint.number, placement.uncached_tokens)
        self.contexts.record_use(
            [hash_part(call.model, part) for part in choose_shared_parts(call.parts)],
            endpoint.number,
            self._clock(),
        )

    def end_prefill(self, placement: Placement) -> None:
        """Stop counting the prompt tokens of a finished or abandoned prefill."""
        if placement.uncached_tokens:
            self._loads.end_prefill(
                placement.endpoint.number, placement.uncached_tokens
            )

    def find_priority(self, rank: int, route: Route) -> Priority:
        """Return the priority of a request relative to the whole configuration."""
        if self._priorities_version != self.replica.version:
            assert self.replica.configuration is not None
            self._priorities = build_priority_table(self.replica.configuration)
            self._priorities_version = self.replica.version
        return self._priorities.find(rank, route.objective_s)

    def begin(self, endpoint: Endpoint) -> None:
        """Count a request that is sent to a server."""
        self._loads.begin(endpoint.number)
        self.statements.record_send(endpoint)
        self._on_load()

    def end(self, endpoint: Endpoint) -> None:
        """Stop counting a request at a server."""
        self._loads.end(endpoint.number)
        self._on_load()

    def record_request(self, service: str) -> None:
        """Record a caller's request; the retry budget grows with these."""
        self._retries.record_request(service)

    def reserve_retry(self, service: str, now: float) -> bool:
        """Set one retry of a service's budget aside; False if it is used up."""
        return self._retries.take(service, now)

    def release_retry(self, service: str, reserved_at: float) -> None:
        """Return a retry to the budget that was set aside, and not made."""
        self._retries.release(service, reserved_at)

    def record_retry(self) -> None:
        """Count a retry that was set aside as made."""
        self.metrics.retries.inc()

    def take_retry(self, service: str) -> bool:
        """Take one retry from a service's budget; False if it is used up."""
        taken = self.reserve_retry(service, self._clock())
        (self.metrics.retries if taken else self.metrics.retries_refused).inc()
        return taken

    def forget_departed(self, endpoints: Sequence[Endpoint]) -> None:
        """Drop the state of servers that have left or restarted."""
        present = {endpoint.name: endpoint.incarnation for endpoint in endpoints}
        for name, incarnation in self._incarnations.items():
            if present.get(name) != incarnation:
                number = hash_name_32(name)
                self.contexts.forget_server(number)
                self.speeds.forget_server(number)
                self.availability.forget(name, number)
        self._incarnations = present
        self.cold.update(endpoints, self.replica.configuration, self._clock())
        self.availability.set_registered(endpoints)

    def list_ejected(self) -> list[int]:
        """Return the numbers of the servers that this host has ejected."""
        return [hash_name_32(name) for name in self.health.list_ejected(self._clock())]

    def accept_ejections(self, servers: Sequence[int]) -> None:
        """Record the servers, by number, that another host has ejected."""
        now = self._clock()
        for endpoint in self.replica.list_endpoints():
            if endpoint.number in servers:
                self.health.record_reported_unreachable(endpoint.name, now)

    def record_answer(
        self, endpoint: Endpoint, *, slowness: float | None = None
    ) -> None:
        """Record that a server has begun to answer, so it is reachable.

        Parameters
        ----------
        slowness : float or None
            How much longer work takes there at this moment, if it tells.
        """
        self.health.record_data_centre_answer(endpoint.data_centre)
        self.cold.record_reachable(endpoint.number, self._clock())
        if slowness is not None:
            self.speeds.record(endpoint.number, slowness, self._clock())

    def record_rejected(self, endpoint: Endpoint) -> None:
        """Record that a server received a request and refused to run it."""
        self.metrics.attempts.labels("turned_away").inc()
        self._record_outcome(endpoint, failed=True)

    def record_unreachable(
        self, endpoint: Endpoint, *, is_refused: bool = False
    ) -> None:
        """Record that a server can't be reached or has stopped responding.

        Parameters
        ----------
        is_refused : bool
            Whether its machine answered that nothing listens there.
        """
        self.metrics.attempts.labels("unreachable").inc()
        self.record_gone(endpoint, is_refused=is_refused)
        now = self._clock()
        self.health.record_data_centre_failure(endpoint.data_centre, endpoint.name, now)

    def record_gone(self, endpoint: Endpoint, *, is_refused: bool = False) -> None:
        """Eject a server that was found to accept no connections."""
        now = self._clock()
        self.record_still_down(endpoint, is_refused=is_refused)
        ejection_s = self.health.record_unreachable(endpoint.name, now)
        if ejection_s:
            entry = ServerEjected(server=endpoint.name, for_ms=ejection_s * _MS_PER_S)
            write_log_entry(log, entry)

    def record_still_down(self, endpoint: Endpoint, *, is_refused: bool) -> None:
        """Record that a server accepts no connections, so it will come back cold."""
        now = self._clock()
        self.cold.record_failure(endpoint.number, now, is_refused=is_refused)

    def record_withheld(
        self,
        judgement: Judgement,
        endpoint: Endpoint | None = None,
        *,
        request: str | None = None,
    ) -> None:
        """Record that a timeout says nothing of a server, as this host was late."""
        self.metrics.judgements_withheld.labels(judgement.value).inc()
        server = endpoint.name if endpoint else None
        entry = JudgementWithheld(judgement=judgement, server=server, request=request)
        write_log_entry(log, entry)

    def record_closed(self, endpoint: Endpoint, since: float) -> None:
        """Record that a server has closed a connection, at some moment since a time."""
        self.cold.record_closed(endpoint.number, since)

    def record_entry(self, entry: ServerEntry) -> None:
        """Record how long a server is cold by its entry in the store."""
        endpoint = entry.endpoint
        self.cold.record_entry(
            endpoint.number, endpoint.position, entry.cold_left_s, self._clock()
        )

    def record_outcome(self, endpoint: Endpoint, *, failed: bool) -> None:
        """Record whether a server answered a request or failed."""
        self.metrics.attempts.labels("failed" if failed else "answered").inc()
        self._record_outcome(endpoint, failed=failed)

    def _record_outcome(self, endpoint: Endpoint, *, failed: bool) -> None:
        now = self._clock()
        if self.health.record_outcome(endpoint.name, failed=failed, now=now):
            write_log_entry(log, ServerReinstated(server=endpoint.name))

    def list_gauges(self) -> dict[str, ServiceGauges]:
        """Return the current gauges of each service."""
        return {name: self._measure_service(name) for name in self._list_services()}

    def _list_services(self) -> list[str]:
        return sorted({e.service for e in self.replica.list_endpoints()})

    def _measure_service(self, service: str) -> ServiceGauges:
        now = self._clock()
        ready = self.availability.list_ready(service)
        evacuated = len(self.availability.list_evacuated(service))
        counts = self._loads.sum_fleet(now).counts
        loads = [counts[endpoint.number] for endpoint in ready]
        bound = compute_load_bound(loads, self._bounds.load_multiple)
        return ServiceGauges(
            ready=len(ready),
            set_aside=sum(self.health.is_ejected(e.name, now) for e in ready),
            limited=len(self.availability.list_limited(service)),
            cold=len(self.availability.list_cold(service, now)),
            waiting=len(self.availability.list_waiting(service, now)),
            leaving=len(self.replica.list_ready(service)) - len(ready) - evacuated,
            load_share=round(max(loads) / bound, 3) if bound else 0.0,
            retries_left=round(self._retries.count_left(service), 1),
            evacuated=evacuated,
        )

    def suggest_retry_after(self) -> float:
        """Return the delay in seconds to advise to a refused caller."""
        return RETRY_AFTER_S


def _make_cold_bound(bounds: BoundsSection) -> ColdBound:
    return ColdBound(bounds.cold_overshoot, bounds.cold_slack)
