"""Reconciliation: orders engines to load and unload models.

Compares the reports of engines with the sheet and the recalls, and orders one
change at a time per engine.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from rosemarystream._internal.decisions.configuration import Configuration
from rosemarystream._internal.decisions.leases import Lease
from rosemarystream._internal.decisions.recalls import Recalls
from rosemarystream._internal.decisions.routing import Routing
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.configuration import Pool, PoolKind, RecallKind
from rosemarystream._internal.models.events import (
    OrderRefused,
    SendOrder,
    ServerReported,
)
from rosemarystream._internal.models.order import (
    EngineOrder,
    OrderAction,
    OrderSubject,
)
from rosemarystream._internal.models.server import (
    BackendServer,
    PollTarget,
    ServerReport,
)

# Concurrent model loads in a data centre; the weight store is rate-limited.
MAX_LOADS_AT_ONCE = 2


class _NeededOrder(NamedTuple):
    action: OrderAction
    subject: OrderSubject
    target: str


class Reconciliation(Service):
    """Sends orders to the engines of this data centre while it holds a lease.

    An order is derived only from a report that was requested when no earlier
    order for the engine could still arrive, so none is given twice. An engine
    that does not check fencing numbers gets orders only after those of the
    lease's previous holder can no longer arrive.

    Parameters
    ----------
    data_centre : str
        Data centre of the engines.
    lease, configuration, recalls, routing : Service
        Provide the right to act, the wanted state and the servers.
    flight : float
        Time after which a sent order can no longer arrive, in seconds.
    """

    name = "reconciliation"
    handles = (ServerReported, OrderRefused)

    def __init__(
        self,
        *,
        data_centre: str,
        lease: Lease,
        configuration: Configuration,
        recalls: Recalls,
        routing: Routing,
        flight: float,
    ) -> None:
        self._data_centre = data_centre
        self._lease = lease
        self._configuration = configuration
        self._recalls = recalls
        self._routing = routing
        self._flight = flight
        self._order_expiry: dict[str, float] = {}
        self._loading: dict[str, str] = {}
        self._number = 0
        self.orders = 0

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Compare a report with the wanted state, or stop after a refused order."""
        if isinstance(event, OrderRefused):
            self._lease.abandon()
            return ()
        return self._compare(event, now)

    def _compare(self, event: ServerReported, now: float) -> list[Any]:
        server = self._routing.find_server(event.server)
        if server is None or server.data_centre != self._data_centre:
            return []
        pool = self._configuration.find_pool(server.pool)
        if pool is None or pool.kind is not PoolKind.MODEL:
            return []
        if not self._lease.holds(now):
            return []
        if event.asked_at < self._earliest_usable_poll(server, pool):
            return []
        self._remove_loaded(event)
        needed = self._find_needed_order(server, pool, event.report)
        if needed is None:
            self._order_expiry.pop(server.name, None)
        if needed is None or self._must_wait(needed):
            return []
        return [self._give_order(server.name, needed, now)]

    def _earliest_usable_poll(self, server: BackendServer, pool: Pool) -> float:
        taken_over = self._lease.held_since
        if not pool.checks_fence:
            taken_over += self._flight
        return max(taken_over, self._order_expiry.get(server.name, 0.0))

    def _remove_loaded(self, event: ServerReported) -> None:
        if self._loading.get(event.server) in event.report.models:
            del self._loading[event.server]

    def _find_needed_order(
        self, server: BackendServer, pool: Pool, report: ServerReport
    ) -> _NeededOrder | None:
        unwanted = self._find_unwanted(pool, report)
        if unwanted is not None:
            return unwanted
        wanted = f"{pool.model}@{pool.version}"
        recalled = self._recalls.is_model_recalled(pool.model, pool.version)
        if wanted in report.loading:
            return None
        if wanted not in report.models and not recalled:
            return _NeededOrder(OrderAction.LOAD, OrderSubject.MODEL, wanted)
        outdated = [name for name in report.models if name != wanted]
        if wanted in report.models and outdated:
            return _NeededOrder(OrderAction.UNLOAD, OrderSubject.MODEL, outdated[0])
        return None

    def _find_unwanted(self, pool: Pool, report: ServerReport) -> _NeededOrder | None:
        recalled = {(r.kind, r.target) for r in self._recalls.list_active()}
        for name in report.models:
            if (RecallKind.MODEL, name) in recalled:
                return _NeededOrder(OrderAction.UNLOAD, OrderSubject.MODEL, name)
        for name in report.adapters:
            if (RecallKind.ADAPTER, name) in recalled:
                return _NeededOrder(OrderAction.UNLOAD, OrderSubject.ADAPTER, name)
        return None

    def _must_wait(self, needed: _NeededOrder) -> bool:
        # Only loads are limited: they use the rate-limited weight store.
        is_load = needed.action is OrderAction.LOAD
        return is_load and len(self._loading) >= MAX_LOADS_AT_ONCE

    def _give_order(self, server: str, needed: _NeededOrder, now: float) -> SendOrder:
        self._number += 1
        self.orders += 1
        self._order_expiry[server] = now + self._flight
        if needed.action is OrderAction.LOAD:
            self._loading[server] = needed.target
        order = EngineOrder(
            order_id=f"{self._lease.lease_name}-{self._lease.fence}-{self._number}",
            fence=self._lease.fence,
            action=needed.action,
            subject=needed.subject,
            target=needed.target,
        )
        return SendOrder(server=server, order=order)

    def may_send(self, order: EngineOrder, now: float) -> bool:
        """Return whether an order may still be sent; call right before sending."""
        return self._lease.holds(now) and order.fence == self._lease.fence

    def servers_to_poll(self, now: float) -> list[PollTarget]:
        """Return the engines to poll: all local ones, while the lease is held."""
        if not self._lease.holds(now):
            return []
        return [
            PollTarget(server, is_urgent=server.name in self._order_expiry)
            for group, members in self._routing.groups.items()
            if group.data_centre == self._data_centre
            for server in members
        ]

    def dump(self) -> dict[str, Any]:
        """Return the model loads in progress and the number of orders given."""
        return {"loading": dict(self._loading), "orders": self.orders}
