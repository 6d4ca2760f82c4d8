"""Backend servers that have stated that they leave.

A statement holds for the incarnation of a server for good, so no order of statements
matters: hosts pass on all that they know, and keep what they receive.
"""

from collections.abc import Iterable

from rosemarystream._internal.decisions.bounded_dict import BoundedDict
from rosemarystream._internal.models.endpoint import Endpoint

# Incarnations that are kept, also while the store doesn't name them.
MAX_INCARNATIONS = 10_000

# Number of a server and its incarnation.
Incarnation = tuple[int, int]


class LeavingServers:
    """The incarnations of servers that leave, stated to this host or to others."""

    def __init__(self) -> None:
        self._known: BoundedDict[Incarnation, None] = BoundedDict(most=MAX_INCARNATIONS)
        self._registered: frozenset[Incarnation] = frozenset()
        self._reported: list[Incarnation] = []
        self._updates: list[Incarnation] = []

    @property
    def is_empty(self) -> bool:
        """Whether no server has ever stated that it leaves."""
        return not self._known

    def set_registered(self, endpoints: Iterable[Endpoint]) -> None:
        """Set which servers the store names; only these are passed on."""
        self._registered = frozenset((e.number, e.incarnation) for e in endpoints)
        self._reported = [key for key in self._known if key in self._registered]

    def record(self, server: int, incarnation: int) -> bool:
        """Record that a server leaves; return whether that is new."""
        key = (server, incarnation)
        if key in self._known:
            return False
        self._known.put(key, None)
        if key in self._registered:
            self._reported.append(key)
        return True

    def accept_reports(self, reports: Iterable[Incarnation]) -> None:
        """Record which servers leave, as another host reports."""
        self._updates += [key for key in reports if self.record(*key)]

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether a server has stated that it leaves."""
        return bool(self._known) and (
            (endpoint.number, endpoint.incarnation) in self._known
        )

    def list_reported(self) -> list[Incarnation]:
        """Return the registered servers that leave, to be passed on."""
        return self._reported

    def take_updates(self) -> list[Incarnation]:
        """Return what other hosts have reported since the last call."""
        updates, self._updates = self._updates, []
        return updates
