"""What a host knows of the configuration and of the backend servers.

Answers the pattern of changes that arrive late, twice, out of order and by
several ways: from the store and from any peer. The highest version wins, and
nothing known is forgotten while the store can't be asked.
"""

from collections.abc import Iterable
from typing import NamedTuple

from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.route import FleetConfiguration

# Entries that lapsed while the store was away have this long to come back.
RECOVERY_GRACE_S = 2.0
MAX_TOMBSTONES = 10_000


class Delta(NamedTuple):
    """Entries written or removed after a revision.

    Attributes
    ----------
    removed : dict of str to int
        Revisions at which servers were found removed, by name.
    """

    endpoints: list[Endpoint]
    removed: dict[str, int]
    revision: int


class Replica:
    """Configuration and registered servers, merged from all sources."""

    def __init__(self) -> None:
        self.configuration: FleetConfiguration | None = None
        self.document = b""
        self.revision = 0
        self._endpoints: dict[str, Endpoint] = {}
        self._removed: dict[str, int] = {}
        self._lapsing: dict[str, tuple[int, float]] = {}
        self._grace_until = 0.0

    @property
    def version(self) -> int:
        """Version of the configuration, or 0 before there is one."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and servers are known, so requests can be served."""
        return self.configuration is not None and bool(self._endpoints)

    def accept_configuration(
        self, configuration: FleetConfiguration, document: bytes
    ) -> bool:
        """Take a configuration unless it is older; True if it is news."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.document = document
        return True

    def begin_store_recovery(self, now: float) -> None:
        """Note that the store answers again after it was away."""
        self._grace_until = now + RECOVERY_GRACE_S

    def accept_endpoint(self, endpoint: Endpoint) -> bool:
        """Take an entry unless a later one is known; True if it is news."""
        known = self._endpoints.get(endpoint.name)
        removed_at = self._removed.get(endpoint.name, 0)
        if endpoint.revision <= max(known.revision if known else 0, removed_at):
            return False
        self._lapsing.pop(endpoint.name, None)
        self._removed.pop(endpoint.name, None)
        self._endpoints[endpoint.name] = endpoint
        return True

    def accept_removal(self, name: str, revision: int) -> bool:
        """Take the removal of an entry; True if it is news."""
        known = self._endpoints.get(name)
        if known is None or revision < known.revision:
            return False
        self._remove(name, revision)
        return True

    def _remove(self, name: str, revision: int) -> None:
        self._endpoints.pop(name, None)
        self._lapsing.pop(name, None)
        self._removed[name] = revision
        while len(self._removed) > MAX_TOMBSTONES:
            self._removed.pop(next(iter(self._removed)))

    def accept_listing(
        self, endpoints: Iterable[Endpoint], revision: int, now: float
    ) -> list[str]:
        """Take a whole list; return names of entries that are news or gone.

        Entries that are missing after the store was away may have lapsed
        meanwhile, and have a while to come back.
        """
        listed = {endpoint.name: endpoint for endpoint in endpoints}
        changed = [
            name for name, entry in listed.items() if self.accept_endpoint(entry)
        ]
        for name in [*self._endpoints]:
            if name in listed:
                continue
            if now < self._grace_until:
                self._lapsing.setdefault(name, (revision, self._grace_until))
            elif self.accept_removal(name, revision):
                changed.append(name)
        self.advance(revision)
        return changed

    def advance(self, revision: int) -> None:
        """Note that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)

    def expire(self, now: float) -> list[str]:
        """Remove entries that didn't come back in time; return their names."""
        expired = [
            (name, revision)
            for name, (revision, deadline) in self._lapsing.items()
            if deadline <= now
        ]
        for name, revision in expired:
            self._remove(name, revision)
        return [name for name, _ in expired]

    def select_delta(self, revision: int) -> Delta:
        """Return what a peer that knows everything up to a revision lacks."""
        return Delta(
            [entry for entry in self._endpoints.values() if entry.revision > revision],
            {name: at for name, at in self._removed.items() if at > revision},
            self.revision,
        )

    def list_endpoints(self) -> list[Endpoint]:
        """Return all registered servers."""
        return [*self._endpoints.values()]

    def list_ready(self, service: str) -> list[Endpoint]:
        """Return the servers of a service that take new requests."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service and endpoint.state is ServerState.READY
        ]

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return a registered server by its name."""
        return self._endpoints.get(name)
