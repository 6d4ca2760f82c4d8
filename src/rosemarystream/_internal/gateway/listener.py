"""Accepts callers' connections, and ends them when the host stops."""

from collections.abc import Callable

from gevent import socket
from gevent.server import StreamServer

from rosemarystream._internal.gateway.caller_connection import CallerConnection, Handler
from rosemarystream._internal.gateway.request_ledger import RequestLedger
from rosemarystream._internal.gateway.request_reader import HeldBytes
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.utils.address import split_address

BACKLOG = 1024


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

    Attributes
    ----------
    leaving : bool
        Whether the host is shutting down, so that each connection is closed after
        its answer.
    held : HeldBytes
        Bytes of request bodies that are held now, for all connections.
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
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.record_error = record_error
        self.clock = clock
        self.ledger = ledger
        self.leaving = False
        self.held = HeldBytes()
        self._connections: set[CallerConnection] = set()
        self._server = StreamServer(
            split_address(address), self._serve, backlog=BACKLOG
        )

    def start(self) -> None:
        """Start listening."""
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

    def _serve(self, opened: socket.socket, _: object) -> None:
        connection = CallerConnection(
            opened=opened,
            handler=self.handler,
            get_limits=self.get_limits,
            record_error=self.record_error,
            clock=self.clock,
            ledger=self.ledger,
            held=self.held,
            is_leaving=lambda: self.leaving,
        )
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
