"""Requests that wait a moment for the engine that holds their context."""

from collections import defaultdict
from typing import NamedTuple

from rosemarystream._internal.models.request import Work

RUNNING_PER_DEFERRED = 2


class DeferredRequest(NamedTuple):
    """A request that waits for one engine.

    Attributes
    ----------
    work : Work
        The request.
    may_queue : bool
        Whether it may wait on after its deadline here.
    deadline : float
        Time after which it takes any engine.
    """

    work: Work
    may_queue: bool
    deadline: float


class DeferredRequests:
    """Deferred requests by engine, first come first served."""

    def __init__(self) -> None:
        self._by_server: dict[str, list[DeferredRequest]] = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(deferred) for deferred in self._by_server.values())

    def __bool__(self) -> bool:
        return any(self._by_server.values())

    def has_room(self, server: str, running: int) -> bool:
        """Tell whether one more may wait for an engine with so much running."""
        return len(self._by_server.get(server, ())) * RUNNING_PER_DEFERRED < running

    def add(self, server: str, deferred: DeferredRequest) -> None:
        """Let a request wait for an engine."""
        self._by_server[server].append(deferred)

    def servers(self) -> list[str]:
        """Return the engines that requests wait for."""
        return [server for server, deferred in self._by_server.items() if deferred]

    def peek(self, server: str) -> DeferredRequest:
        """Return the first request that waits for an engine."""
        return self._by_server[server][0]

    def pop(self, server: str) -> DeferredRequest:
        """Remove and return the first request that waits for an engine."""
        return self._by_server[server].pop(0)

    def remove_expired(self, now: float, serving: set[str]) -> list[DeferredRequest]:
        """Remove and return those that have waited enough, or in vain."""
        expired = []
        for server, deferred in list(self._by_server.items()):
            gone = server not in serving
            expired += [
                request for request in deferred if gone or request.deadline <= now
            ]
            kept = [
                request for request in deferred if not gone and request.deadline > now
            ]
            if kept:
                self._by_server[server] = kept
            else:
                del self._by_server[server]
        return expired

    def remove(self, request_id: str) -> bool:
        """Remove a request; return whether it was here."""
        for deferred in self._by_server.values():
            for request in deferred:
                if request.work.request_id == request_id:
                    deferred.remove(request)
                    return True
        return False

    def drain(self) -> list[DeferredRequest]:
        """Remove and return everything."""
        drained = [
            request for deferred in self._by_server.values() for request in deferred
        ]
        self._by_server.clear()
        return drained
