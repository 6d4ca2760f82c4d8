"""What a host knows of the fleet, and its decisions on requests."""

from collections.abc import Callable, Sequence

from xxhash import xxh3_64_intdigest

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.health import ServerHealth
from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.neighbours import Neighbours
from rosemarystream._internal.decisions.placement import (
    ContextLoad,
    bound_load,
    choose_context_key,
    place_by_context,
    place_by_load,
)
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.retry_budget import RetryBudget
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.gateway.settings import BoundsSection
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.route import Route
from rosemarystream._internal.platform.headers import ServerLoad

RETURN_S = 0.1
_MS_PER_S = 1000


class Fleet:
    """Knowledge and decisions shared by all requests of a host."""

    def __init__(
        self,
        *,
        data_centre: str,
        bounds: BoundsSection,
        replica: Replica,
        neighbours: Neighbours,
        loads: LoadTable,
        contexts: ContextMap,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        on_load: Callable[[], None],
    ) -> None:
        self.replica = replica
        self.metrics = metrics
        self.contexts = contexts
        self.health = ServerHealth()
        self._data_centre = data_centre
        self._bounds = bounds
        self._neighbours = neighbours
        self._loads = loads
        self._clock = clock
        self._on_load = on_load
        self._incarnations: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def choose_service(self, route: Route, call: Call) -> str:
        """Return the service of a request by the weights of its route."""
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
        self, route: Route, service: str, call: Call, *, exclude: Sequence[str]
    ) -> Endpoint | None:
        """Return the server that takes a request next."""
        now = self._clock()
        ready = [
            endpoint
            for endpoint in self.replica.list_ready(service)
            if endpoint.name not in exclude
        ]
        awake = [e for e in ready if not self.health.is_resting(e.name, now)]
        candidates = awake or ready
        loads = self._loads.sum_all(now)
        rates = {e.name: self.health.failure_rate(e.name, now) for e in candidates}
        if route.keeps_context and call.parts:
            reading = self._loads.sum_all_reading(now)
            name = place_by_context(
                choose_context_key(call.model, call.parts),
                {
                    e.name: ContextLoad(
                        requests=loads[e.name],
                        reading=reading[e.name],
                        unread=self.contexts.count_unread(
                            call.model, call.parts, e.name, now
                        ),
                        failure_rate=rates[e.name],
                    )
                    for e in candidates
                },
                bound=bound_load(
                    [loads[e.name] for e in ready], self._bounds.load_multiple
                ),
            )
            return self.replica.find_endpoint(name) if name else None
        return place_by_load(
            candidates,
            loads=loads,
            failure_rates=rates,
            data_centre=self._data_centre,
            salt=call.request_id,
        )

    def begin_reading(self, endpoint: Endpoint, call: Call) -> int:
        """Count a prompt that a server has to read; returns the unread tokens."""
        if not call.parts:
            return 0
        now = self._clock()
        unread = self.contexts.count_unread(call.model, call.parts, endpoint.name, now)
        self._loads.begin_reading(endpoint.name, unread)
        shared = [f"{call.model}/{part.name}" for part in call.parts[:-1]]
        self.contexts.note_use(shared, endpoint.name, now)
        return unread

    def end_reading(self, endpoint: Endpoint, tokens: int) -> None:
        """Count a prompt as read, or as given up."""
        if tokens:
            self._loads.end_reading(endpoint.name, tokens)

    def begin(self, endpoint: Endpoint) -> None:
        """Count a request that is sent to a server."""
        self._loads.begin(endpoint.name)
        self._on_load()

    def end(self, endpoint: Endpoint) -> None:
        """Count a request at a server as over."""
        self._loads.end(endpoint.name)
        self._on_load()

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._find_budget(service).note_request(self._clock())

    def take_retry(self, service: str) -> bool:
        """Spend one repeat of a service's budget; False if it is used up."""
        now = self._clock()
        hosts = self._neighbours.count_live(now)
        taken = self._find_budget(service).take(now, hosts=hosts)
        self.metrics.count("retries" if taken else "retries_refused")
        return taken

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self._bounds.retry_ratio,
                window_s=self._bounds.retry_window_ms / _MS_PER_S,
                slack=self._bounds.retry_slack,
            )
            self._budgets[service] = budget
        return budget

    def forget_others(self, endpoints: Sequence[Endpoint]) -> None:
        """Drop what is known of servers that have left or started anew."""
        present = {endpoint.name: endpoint.incarnation for endpoint in endpoints}
        for name, incarnation in self._incarnations.items():
            if present.get(name) != incarnation:
                self.health.forget(name)
                self.contexts.forget_server(name)
        self._incarnations = present

    def note_load(self, endpoint: Endpoint, load: ServerLoad) -> None:
        """Take what a server says of its load."""
        self.metrics.count("answers_with_load")

    def note_turned_away(self, endpoint: Endpoint, status: int) -> None:
        """Note that a server has not run a request it was sent."""
        self.metrics.count("turned_away")
        self.health.note_outcome(endpoint.name, failed=True, now=self._clock())

    def note_unreachable(self, endpoint: Endpoint) -> None:
        """Note that a server can't be reached or is silent."""
        self.metrics.count("unreachable")
        self.health.note_unreachable(endpoint.name, self._clock())

    def note_outcome(self, endpoint: Endpoint, *, failed: bool) -> None:
        """Note how a server has dealt with a request."""
        self.health.note_outcome(endpoint.name, failed=failed, now=self._clock())

    def suggest_return(self) -> float:
        """Return the time after which a refused caller comes back, in seconds."""
        return RETURN_S
