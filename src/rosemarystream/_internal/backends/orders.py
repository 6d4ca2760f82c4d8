"""Sends control orders to engines.

``POST /v1/orders`` takes ``{"order_id", "fence", "action", "what", "target"}``
and answers 409 if the engine has seen a higher fencing number.
"""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from logbook import Logger

from rosemarystream._internal.decisions.reconciliation import Reconciliation
from rosemarystream._internal.decisions.routing import Routing
from rosemarystream._internal.exceptions import RosemarystreamError
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import OrderRefused, SendOrder
from rosemarystream._internal.utils.http_exchange import Exchange

log = Logger(__name__)

HTTP_CONFLICT = 409


class OrderSender(Service):
    """Sends each order at most once, and only while its lease is held.

    Parameters
    ----------
    kernel : Kernel
        Receives the event of an order that was refused.
    reconciliation : Reconciliation
        Decides whether an order may still be sent.
    routing : Routing
        Finds the address of an engine.
    flight : float
        Time limit, in seconds, for delivering an order.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "orders"
    handles = (SendOrder,)

    def __init__(
        self,
        *,
        kernel: Kernel,
        reconciliation: Reconciliation,
        routing: Routing,
        flight: float,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._reconciliation = reconciliation
        self._routing = routing
        self._flight = flight
        self._clock = clock
        self._sent = 0

    def handle(self, event: SendOrder, now: float) -> tuple[()]:
        """Send an order in a greenlet of its own."""
        gevent.spawn(self._send, event, now + self._flight)
        return ()

    def _send(self, event: SendOrder, deadline: float) -> None:
        server = self._routing.find_server(event.server)
        if server is None:
            return
        order = event.order
        body = {
            "order_id": order.order_id,
            "fence": order.fence,
            "action": order.action,
            "what": order.subject,
            "target": order.target,
        }
        log.info("order", extra={"server": server.name, **body})
        try:
            with Exchange(address=server.address, clock=self._clock) as exchange:
                exchange.connect(deadline)
                # Check the lease as late as possible, with the connection open: a
                # pause of the process before this point may have outlasted it.
                if not self._reconciliation.may_send(order, self._clock()):
                    return
                self._sent += 1
                status = exchange.send(
                    "POST",
                    "/v1/orders",
                    body=msgspec.json.encode(body),
                    deadline=deadline,
                )
        except RosemarystreamError as error:
            log.notice("order failed: {}", error, extra={"server": server.name})
            return
        if status == HTTP_CONFLICT:
            self._kernel.post(OrderRefused(server=server.name), self._clock())

    def dump(self) -> dict[str, Any]:
        """Return the number of orders sent."""
        return {"sent": self._sent}
