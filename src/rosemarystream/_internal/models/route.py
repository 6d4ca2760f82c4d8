"""Routes, services and limits of a configuration in force."""

from enum import StrEnum
from typing import NamedTuple


class RouteKind(StrEnum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: int


class Route(NamedTuple):
    """How the requests of one host and path prefix are served.

    Attributes
    ----------
    timeout_s : float
        Longest time a request may take at this host, in seconds.
    objective_s : float
        Time to the answer, or to its first event, in seconds.
    gap_objective_s : float
        Longest pause between two events of a stream, in seconds.
    max_attempts : int
        Servers to which one request may be sent.
    rank : int
        Urgency; 0 is the most urgent.
    is_anonymous : bool
        Whether requests need no key.
    keeps_context : bool
        Whether servers keep what they have read of a prompt.
    resumable : bool
        Whether a broken stream may go on at another server.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    max_attempts: int
    rank: int
    targets: tuple[Target, ...]
    is_anonymous: bool
    keeps_context: bool
    resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class Service(NamedTuple):
    """A service that requests are sent to.

    Attributes
    ----------
    max_connections : int
        Connections one server accepts from all hosts together.
    cache_tokens : int
        Tokens that an engine's memory holds; 0 for a plain service.
    """

    name: str
    max_connections: int
    cache_tokens: int


class CallerLimits(NamedTuple):
    """What a caller may send and how long it may take.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Largest request head and body, in bytes.
    head_timeout_s : float
        Longest time for a request head to arrive, in seconds.
    idle_timeout_s : float
        Longest silence on a connection, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Workspace(NamedTuple):
    """The holder of a key; its rank goes before the route's."""

    name: str
    rank: int | None


class FleetConfiguration(NamedTuple):
    """One version of what operators have configured.

    Attributes
    ----------
    routes : dict of str to tuple of Route
        Routes by host name, the longest path prefix first.
    workspaces : dict of str to Workspace
        Workspaces by key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    workspaces: dict[str, Workspace]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
