"""Routes, services and limits of a configuration version."""

from enum import StrEnum
from typing import NamedTuple


class RouteKind(StrEnum):
    """Whether requests of a route may be repeated, and how they are answered."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: int


class Route(NamedTuple):
    """Policy for the requests of a host name and path prefix.

    Attributes
    ----------
    timeout_s : float
        Maximum time that a request may take at this host, in seconds.
    objective_s : float
        Target for the time to the answer, or to its first event, in seconds.
    gap_objective_s : float
        Target for the gap between two events of a stream, in seconds.
    max_attempts : int
        Maximum number of servers to which one request may be sent.
    rank : int
        Priority; 0 is the highest.
    is_anonymous : bool
        Whether requests without an API key are accepted.
    keeps_context : bool
        Whether servers keep the KV cache of prompts between requests.
    resumable : bool
        Whether an interrupted stream may be resumed at another server.
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
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class Service(NamedTuple):
    """A service of interchangeable backend servers.

    Attributes
    ----------
    max_connections : int
        Connections that one server accepts from all hosts together.
    cache_tokens : int
        Capacity of an engine's KV cache in tokens; 0 for a plain service.
    warmup_s : float
        Time after its start for which a server is cold, in seconds; 0 if never.
    cold_per_s : float
        Requests a second that a cold server takes from all hosts; 0 if none is cold.
    """

    name: str
    max_connections: int
    cache_tokens: int
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Limits on the size and duration of callers' requests.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Maximum size of a request's head and body, in bytes.
    head_timeout_s : float
        Timeout for receiving a whole request head, in seconds.
    idle_timeout_s : float
        Timeout for a connection on which nothing arrives, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Workspace(NamedTuple):
    """The owner of an API key; its rank overrides the rank of the route."""

    name: str
    rank: int | None


class FleetConfiguration(NamedTuple):
    """One version of the configuration of the fleet.

    Attributes
    ----------
    routes : dict of str to tuple of Route
        Routes by host name, longest path prefix first.
    workspaces : dict of str to Workspace
        Workspaces by API key.
    requires_key : bool
        Whether a request needs the key of a workspace, unless its route is anonymous;
        also while no workspace has a key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    workspaces: dict[str, Workspace]
    requires_key: bool = True

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
