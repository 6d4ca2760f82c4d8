"""Deferred requests: they wait briefly for the engine that caches their context."""

from collections import defaultdict
from typing import NamedTuple

from rosemarystream._internal.models.request import Work

# Requests that an engine has to run for each one deferred to it.
RUNNING_PER_DEFERRED = 2


class DeferredRequest(NamedTuple):
    """A request that waits for one particular engine.

    Attributes
    ----------
    work : Work
        The request.
    may_queue : bool
        Whether it may be queued once it is no longer deferred.
    deadline : float
        Time after which it may go to any engine.
    """

    work: Work
    may_queue: bool
    deadline: float


class DeferredRequests:
    """Deferred requests by engine, in order of arrival."""

    def __init__(self) -> None:
        self._by_server: dict[str, list[DeferredRequest]] = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(deferred) for deferred in self._by_server.values())

    def __bool__(self) -> bool:
        return any(self._by_server.values())

    def has_room(self, server: str, running: int) -> bool:
        """Return whether one more request may wait for an engine.

        `running` is the number of requests in progress on it.
        """
        return len(self._by_server.get(server, ())) * RUNNING_PER_DEFERRED < running

    def add(self, server: str, deferred: DeferredRequest) -> None:
        """Add a request that waits for an engine."""
        self._by_server[server].append(deferred)

    def servers(self) -> list[str]:
        """Return the engines that have deferred requests."""
        return [server for server, deferred in self._by_server.items() if deferred]

    def peek(self, server: str) -> DeferredRequest:
        """Return the first request that waits for an engine."""
        return self._by_server[server][0]

    def pop(self, server: str) -> DeferredRequest:
        """Remove and return the first request that waits for an engine."""
        return self._by_server[server].pop(0)

    def remove_expired(self, now: float, serving: set[str]) -> list[DeferredRequest]:
        """Remove and return requests past their deadline or without their engine."""
        expired = []
        for server, deferred in list(self._by_server.items()):
            is_withdrawn = server not in serving
            expired += [
                request
                for request in deferred
                if is_withdrawn or request.deadline <= now
            ]
            kept = [
                request
                for request in deferred
                if not is_withdrawn and request.deadline > now
            ]
            if kept:
                self._by_server[server] = kept
            else:
                del self._by_server[server]
        return expired

    def remove(self, request_id: str) -> bool:
        """Remove a request; return whether it was deferred."""
        for deferred in self._by_server.values():
            for request in deferred:
                if request.work.request_id == request_id:
                    deferred.remove(request)
                    return True
        return False

    def drain(self) -> list[DeferredRequest]:
        """Remove and return all requests."""
        drained = [
            request for deferred in self._by_server.values() for request in deferred
        ]
        self._by_server.clear()
        return drained
