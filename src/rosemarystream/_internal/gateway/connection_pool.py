"""Kept connections to backend servers."""

from collections.abc import Callable

from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.utils.http_connection import ClientConnection

CONNECT_TIMEOUT_S = 0.25
MAX_IDLE = 16
# Idle time for which a server is trusted to keep a connection when it says none.
DEFAULT_KEEP_ALIVE_S = 4.0
# Part of the idle time a server states that is made use of.
KEEP_ALIVE_SHARE = 0.6


class ConnectionPool:
    """Idle connections by server incarnation; the latest used goes first."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[tuple[str, str, int], list[ClientConnection]] = {}
        self._max_idle_s: dict[str, float] = {}

    def take(self, endpoint: Endpoint) -> ClientConnection | None:
        """Return an idle connection that is open and clean, if there is one."""
        idle = self._idle.get(_key(endpoint), [])
        max_idle_s = self._max_idle_s.get(endpoint.name, DEFAULT_KEEP_ALIVE_S)
        while idle:
            connection = idle.pop()
            fresh = self._clock() - connection.idle_since < max_idle_s
            if fresh and connection.is_reusable():
                return connection
            connection.close()
        return None

    def open(self, endpoint: Endpoint, deadline: float) -> ClientConnection:
        """Open a connection.

        Raises
        ------
        ConnectError
            If there is none by the deadline.
        """
        connection = ClientConnection(address=endpoint.address, clock=self._clock)
        connection.connect(min(deadline, self._clock() + CONNECT_TIMEOUT_S))
        return connection

    def put(
        self,
        endpoint: Endpoint,
        connection: ClientConnection,
        *,
        keep_alive_s: float | None,
    ) -> None:
        """Keep a connection whose exchange is complete, if it can be used again."""
        if keep_alive_s is not None:
            self._max_idle_s[endpoint.name] = keep_alive_s * KEEP_ALIVE_SHARE
        idle = self._idle.setdefault(_key(endpoint), [])
        if len(idle) >= MAX_IDLE or not connection.finish():
            connection.close()
            return
        idle.append(connection)

    def close_others(self, endpoints: list[Endpoint]) -> None:
        """Close the connections to servers that are no longer registered."""
        kept = {_key(endpoint) for endpoint in endpoints}
        for key in [key for key in self._idle if key not in kept]:
            for connection in self._idle.pop(key):
                connection.close()
            self._max_idle_s.pop(key[0], None)


def _key(endpoint: Endpoint) -> tuple[str, str, int]:
    return (endpoint.name, endpoint.address, endpoint.incarnation)
