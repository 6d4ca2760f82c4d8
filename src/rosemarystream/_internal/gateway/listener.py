"""Accepts callers' connections, and ends them when the host stops."""

from collections.abc import Callable

from gevent import socket
from gevent.server import StreamServer

from rosemarystream._internal.gateway.caller_connection import CallerConnection, Handler
from rosemarystream._internal.gateway.caller_resources import (
    ANSWER_BUFFER_BYTES,
    OPERATOR_LIMITS,
    REQUEST_BUFFER_BYTES,
    CallerResources,
)
from rosemarystream._internal.gateway.request_ledger import RequestLedger
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.utils.address import split_address

BACKLOG = 1024
# Connections accepted in one iteration of the event loop. Those closed to make room end
# only in later iterations, so more at once would exceed the limit.
MAX_ACCEPTED = 16


class Listener:
    """Accepts connections and passes their requests to a handler.

    Parameters
    ----------
    handler : callable
        Answers a request; runs in the connection's greenlet, in which
        `CallerDisconnectedError` is raised when the caller disconnects.
    get_limits : callable
        Returns the limits in force.
    record_error : callable
        Called with an error that no code expects.
    ledger : RequestLedger or None
        Counts the requests; None for listeners of operators.
    resources : CallerResources or None
        What is held for the callers; the limits for operators if None.

    Attributes
    ----------
    leaving : bool
        Whether the host is shutting down, so that each connection is closed after
        its answer.
    resources : CallerResources
        What is held for the callers.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Handler,
        get_limits: Callable[[], CallerLimits],
        record_error: Callable[[Exception], None],
        clock: Callable[[], float],
        ledger: RequestLedger | None = None,
        resources: CallerResources | None = None,
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.record_error = record_error
        self.clock = clock
        self.ledger = ledger
        self.leaving = False
        self.resources = resources or CallerResources(
            limits=OPERATOR_LIMITS, clock=clock
        )
        self._connections: set[CallerConnection] = set()
        self._server = StreamServer(
            split_address(address), self._serve, backlog=BACKLOG
        )
        self._server.max_accept = MAX_ACCEPTED

    def start(self) -> None:
        """Start listening."""
        self._server.init_socket()
        # Inherited by each connection, and kept from growing.
        set_option = self._server.socket.setsockopt
        set_option(socket.SOL_SOCKET, socket.SO_RCVBUF, REQUEST_BUFFER_BYTES)
        set_option(socket.SOL_SOCKET, socket.SO_SNDBUF, ANSWER_BUFFER_BYTES)
        self._server.start()

    def stop(self) -> None:
        """Stop listening and abort the requests in progress."""
        self._server.stop(timeout=0)

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in [*self._connections]:
            connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Stop listening; connections that are open go on."""
        self._server.close()

    def end_requests(self) -> None:
        """End each request with the answer that is true, if none has begun."""
        for connection in [*self._connections]:
            connection.end_request()

    def count_busy(self) -> int:
        """Return the number of requests in progress."""
        return sum(connection.busy for connection in self._connections)

    def count_unfinished(self) -> int:
        """Return the number of requests in progress, being read or being refused."""
        return sum(not connection.is_idle for connection in self._connections)

    def has_connections(self) -> bool:
        """Return whether any connection is open."""
        return bool(self._connections)

    def _serve(self, opened: socket.socket, address: tuple[str, int]) -> None:
        refused = self.resources.admit(address[0])
        if refused is not None:
            self._refuse(opened, address[0])
            return
        connection = self._make_connection(opened, address[0])
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def _refuse(self, opened: socket.socket, address: str) -> None:
        if not self.resources.begin_refusal():
            opened.close()
            return
        try:
            self._make_connection(opened, address).refuse()
        finally:
            self.resources.end_refusal()

    def _make_connection(self, opened: socket.socket, address: str) -> CallerConnection:
        return CallerConnection(
            opened=opened,
            handler=self.handler,
            get_limits=self.get_limits,
            record_error=self.record_error,
            clock=self.clock,
            ledger=self.ledger,
            address=address,
            resources=self.resources,
            is_leaving=lambda: self.leaving,
        )
