"""Orders that bring engines into the state that the sheet states."""

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

MAX_LOADS_AT_ONCE = 2


class _NeededOrder(NamedTuple):
    action: OrderAction
    subject: OrderSubject
    target: str


class Reconciliation(Service):
    """Gives orders to the engines of this data centre under a lease.

    An order is given on the strength of a report that was asked for after
    every earlier order can have arrived, so each is given once. Engines that
    do not check the fencing number get none before the longest flight of a
    previous holder's order has passed.

    Parameters
    ----------
    data_centre : str
        Where the engines stand.
    lease, configuration, recalls, routing : Service
        Right to act, wanted state and servers.
    flight : float
        Seconds after which an order that was sent can no longer arrive.
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
        """Compare a report with the wanted state."""
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
        recalled = self._recalls.withdraws_model(pool.model, pool.version)
        if wanted in report.loading:
            return None
        if wanted not in report.models and not recalled:
            return _NeededOrder(OrderAction.LOAD, OrderSubject.MODEL, wanted)
        outdated = [name for name in report.models if name != wanted]
        if wanted in report.models and outdated:
            return _NeededOrder(OrderAction.UNLOAD, OrderSubject.MODEL, outdated[0])
        return None

    def _find_unwanted(self, pool: Pool, report: ServerReport) -> _NeededOrder | None:
        recalled = {(r.kind, r.target) for r in self._recalls.active()}
        for name in report.models:
            if (RecallKind.MODEL, name) in recalled:
                return _NeededOrder(OrderAction.UNLOAD, OrderSubject.MODEL, name)
        for name in report.adapters:
            if (RecallKind.ADAPTER, name) in recalled:
                return _NeededOrder(OrderAction.UNLOAD, OrderSubject.ADAPTER, name)
        return None

    def _must_wait(self, needed: _NeededOrder) -> bool:
        # The weight store is rate-limited.
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
        """Tell, right before an order leaves, whether it still may."""
        return self._lease.holds(now) and order.fence == self._lease.fence

    def servers_to_poll(self, now: float) -> list[PollTarget]:
        """Return the engines whose state decides on orders."""
        if not self._lease.holds(now):
            return []
        return [
            PollTarget(server, is_urgent=server.name in self._order_expiry)
            for group, members in self._routing.groups.items()
            if group.data_centre == self._data_centre
            for server in members
        ]

    def dump(self) -> dict[str, Any]:
        """Return the loads under way and the number of orders."""
        return {"loading": dict(self._loading), "orders": self.orders}
