"""Requests that wait a moment for the engine that holds their context."""

from collections import defaultdict
from typing import NamedTuple

from rosemarystream._internal.models.request import Work

RUNNING_PER_PARKED = 2


class Parked(NamedTuple):
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


class ParkedWork:
    """Parked requests by engine, first come first served."""

    def __init__(self) -> None:
        self._by_server: dict[str, list[Parked]] = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(parked) for parked in self._by_server.values())

    def __bool__(self) -> bool:
        return any(self._by_server.values())

    def has_room(self, server: str, running: int) -> bool:
        """Tell whether one more may wait for an engine with so much running."""
        return len(self._by_server.get(server, ())) * RUNNING_PER_PARKED < running

    def add(self, server: str, parked: Parked) -> None:
        """Let a request wait for an engine."""
        self._by_server[server].append(parked)

    def servers(self) -> list[str]:
        """Return the engines that requests wait for."""
        return [server for server, parked in self._by_server.items() if parked]

    def peek(self, server: str) -> Parked:
        """Return the first request that waits for an engine."""
        return self._by_server[server][0]

    def take(self, server: str) -> Parked:
        """Remove and return the first request that waits for an engine."""
        return self._by_server[server].pop(0)

    def take_late(self, now: float, serving: set[str]) -> list[Parked]:
        """Remove and return those that have waited enough, or in vain."""
        late = []
        for server, parked in list(self._by_server.items()):
            gone = server not in serving
            late += [one for one in parked if gone or one.deadline <= now]
            kept = [one for one in parked if not gone and one.deadline > now]
            if kept:
                self._by_server[server] = kept
            else:
                del self._by_server[server]
        return late

    def remove(self, request_id: str) -> bool:
        """Remove a request; return whether it was here."""
        for parked in self._by_server.values():
            for one in parked:
                if one.work.request_id == request_id:
                    parked.remove(one)
                    return True
        return False

    def drain(self) -> list[Parked]:
        """Remove and return everything."""
        drained = [one for parked in self._by_server.values() for one in parked]
        self._by_server.clear()
        return drained
