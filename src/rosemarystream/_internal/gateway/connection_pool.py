"""Idle connections to backend servers, kept for reuse."""

from collections import OrderedDict
from collections.abc import Callable, Collection

from rosemarystream._internal.decisions.host_delays import HostDelays
from rosemarystream._internal.exceptions import ConnectError
from rosemarystream._internal.gateway.caller_resources import CallerResources
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.utils.http_connection import ClientConnection

# Name, address and incarnation of a server.
_Key = tuple[str, str, int]

CONNECT_TIMEOUT_S = 0.25
# Idle connections kept per server.
MAX_IDLE = 16
# Idle time assumed for servers that announce no keep-alive time.
DEFAULT_KEEP_ALIVE_S = 4.0
# Fraction of an announced keep-alive time after which a connection is not reused.
KEEP_ALIVE_SHARE = 0.6


class ConnectionPool:
    """Keeps idle connections by server incarnation; the last one used goes first.

    Parameters
    ----------
    resources : CallerResources
        Bounds the idle connections to all servers together, and what is read at once.
    delays : HostDelays, optional
        Whether this host was late, so that a timeout says nothing of a server.
    on_withheld : callable
        Called when a timeout is not held against a server.
    on_closed : callable
        Called with a server that has closed an idle connection before the end of its
        keep-alive time, and since when it may have.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        resources: CallerResources,
        delays: HostDelays | None = None,
        on_withheld: Callable[[Endpoint], None] = lambda endpoint: None,
        on_closed: Callable[[Endpoint, float], None] = lambda endpoint, since: None,
    ) -> None:
        self._on_closed = on_closed
        self._delays = delays or HostDelays()
        self._on_withheld = on_withheld
        self._clock = clock
        self._resources = resources
        self._max_all_idle = resources.budget.limits.idle_servers
        self._idle: dict[_Key, list[ClientConnection]] = {}
        # All of them by the server, the one that has been idle for longest first.
        self._by_age: OrderedDict[ClientConnection, _Key] = OrderedDict()
        self._max_idle_s: dict[str, float] = {}

    def take(
        self,
        endpoint: Endpoint,
        *,
        request_id: str = "",
        excluded: Collection[ClientConnection] = (),
    ) -> ClientConnection | None:
        """Return an idle connection that is open and has no stray bytes, if any.

        Parameters
        ----------
        request_id : str
            Id of the request to be sent. Connections that had one with this id lately
            stay idle.
        excluded : collection of ClientConnection
            Other connections that stay idle.
        """
        idle = self._idle.get(_key(endpoint), [])
        max_idle_s = self._max_idle_s.get(endpoint.name, DEFAULT_KEEP_ALIVE_S)
        for connection in idle[::-1]:
            if connection in excluded or connection.had_request(request_id):
                continue
            idle.remove(connection)
            del self._by_age[connection]
            fresh = self._clock() - connection.idle_since < max_idle_s
            if fresh and connection.is_reusable():
                return connection
            if fresh:
                self._on_closed(endpoint, connection.idle_since)
            connection.close()
        return None

    def open(self, endpoint: Endpoint, deadline: float) -> ClientConnection:
        """Open a new connection to a server.

        It is tried once more if this host was late while it waited.

        Raises
        ------
        ConnectError
            If the connection is not made by the deadline.
        """
        began_at = self._clock()
        try:
            return self._connect(endpoint, deadline)
        except ConnectError as error:
            now = self._clock()
            is_timeout = isinstance(error.__cause__, TimeoutError)
            was_late = is_timeout and self._delays.was_late(began_at, now)
            if not was_late or now >= deadline:
                raise
        self._on_withheld(endpoint)
        return self._connect(endpoint, deadline)

    def _connect(self, endpoint: Endpoint, deadline: float) -> ClientConnection:
        connection = ClientConnection(
            address=endpoint.address,
            clock=self._clock,
            get_read_bytes=lambda: self._resources.answer_read_bytes,
        )
        connection.connect(
            min(deadline, self._clock() + CONNECT_TIMEOUT_S),
            receive_bytes=self._resources.answer_buffer_bytes,
        )
        return connection

    def probe(self, endpoint: Endpoint) -> None:
        """Check that a server accepts connections.

        Raises
        ------
        ConnectError
            If it does not, within `CONNECT_TIMEOUT_S`.
        """
        self.open(endpoint, self._clock() + CONNECT_TIMEOUT_S).close()

    def put(
        self,
        endpoint: Endpoint,
        connection: ClientConnection,
        *,
        keep_alive_s: float | None,
    ) -> None:
        """Keep a connection after a complete exchange, if it can be reused.

        Parameters
        ----------
        keep_alive_s : float or None
            Idle time that the server has announced, in seconds.
        """
        if keep_alive_s is not None:
            self._max_idle_s[endpoint.name] = keep_alive_s * KEEP_ALIVE_SHARE
        key = _key(endpoint)
        idle = self._idle.setdefault(key, [])
        is_full = len(idle) >= MAX_IDLE or not self._max_all_idle
        if is_full or not connection.finish():
            connection.close()
            return
        # Servers that are no longer used keep their connections only until then.
        while len(self._by_age) >= self._max_all_idle:
            self._close_oldest()
        idle.append(connection)
        self._by_age[connection] = key

    def _close_oldest(self) -> None:
        connection, key = self._by_age.popitem(last=False)
        self._idle[key].remove(connection)
        connection.close()

    def close_others(self, endpoints: list[Endpoint]) -> None:
        """Close the connections to all servers but those given."""
        kept = {_key(endpoint) for endpoint in endpoints}
        for key in [key for key in self._idle if key not in kept]:
            for connection in self._idle.pop(key):
                del self._by_age[connection]
                connection.close()
            self._max_idle_s.pop(key[0], None)


def _key(endpoint: Endpoint) -> _Key:
    return (endpoint.name, endpoint.address, endpoint.incarnation)
