"""Queues of waiting requests.

`RankScheduler` picks the next rank by urgency and minimum share; within a rank
`FairQueue` shares the capacity between workspaces by weight.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from typing import NamedTuple

from rosemarystream._internal.models.configuration import Rank
from rosemarystream._internal.models.request import Work

DEFAULT_WEIGHT = 1.0


class Dropped(NamedTuple):
    """A request that was dropped because its queue was full."""

    work: Work


class FairQueue:
    """Start-time fair queue of one rank's requests, with one flow per workspace.

    A workspace's share depends on its weight and on the cost of its requests,
    not on their number. The state is one entry per waiting request and one per
    workspace with waiting requests.

    Parameters
    ----------
    limit : int
        Maximum number of waiting requests.
    get_weight : callable
        Returns the weight of a workspace by its name.
    """

    def __init__(self, *, limit: int, get_weight: Callable[[str], float]) -> None:
        self._limit = limit
        self._get_weight = get_weight
        self._waiting: dict[str, deque[Work]] = {}
        self._costs: dict[str, float] = defaultdict(float)
        self._heap: list[tuple[float, int, str]] = []
        self._active: dict[str, int] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._last_entry = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Work]:
        for works in self._waiting.values():
            yield from works

    @property
    def cost(self) -> float:
        """Total cost of the waiting requests."""
        return sum(self._costs.values())

    def push(self, work: Work) -> Dropped | None:
        """Add a request; return the request dropped to make room, if any.

        When the queue is full, the newest request of the workspace with the
        highest waiting cost per weight is dropped, which may be `work` itself.
        """
        self._append(work)
        if self._size <= self._limit:
            return None
        return Dropped(work=self._drop_from_largest())

    def _append(self, work: Work) -> None:
        works = self._waiting.get(work.workspace)
        if works is None:
            works = self._waiting[work.workspace] = deque()
            self._schedule(work.workspace)
        works.append(work)
        self._costs[work.workspace] += work.cost
        self._size += 1

    def _schedule(self, workspace: str) -> None:
        start = max(self._virtual_time, self._finish_tags.pop(workspace, 0.0))
        self._last_entry += 1
        self._active[workspace] = self._last_entry
        heappush(self._heap, (start, self._last_entry, workspace))

    def _drop_from_largest(self) -> Work:
        largest = max(
            self._waiting,
            key=lambda workspace: self._costs[workspace] / self._get_weight(workspace),
        )
        work = self._waiting[largest].pop()
        self._remove_totals(work)
        return work

    def _remove_totals(self, work: Work) -> None:
        self._size -= 1
        self._costs[work.workspace] -= work.cost
        if not self._waiting[work.workspace]:
            del self._waiting[work.workspace]
            del self._active[work.workspace]
            del self._costs[work.workspace]

    def peek(self) -> Work | None:
        """Return the request that `pop` would return."""
        while self._heap:
            _, entry, workspace = self._heap[0]
            if self._active.get(workspace) == entry:
                return self._waiting[workspace][0]
            heappop(self._heap)
        return None

    def pop(self) -> Work | None:
        """Remove and return the next request in fair order."""
        if self.peek() is None:
            return None
        start, _, workspace = heappop(self._heap)
        work = self._waiting[workspace].popleft()
        self._remove_totals(work)
        self._virtual_time = max(self._virtual_time, start)
        finish = start + work.cost / self._get_weight(workspace)
        self._finish_tags[workspace] = finish
        if workspace in self._waiting:
            self._schedule(workspace)
        self._prune_tags()
        return work

    def _prune_tags(self) -> None:
        if not self._size:
            self._finish_tags.clear()
            self._heap.clear()
            self._virtual_time = 0.0
            return
        if len(self._finish_tags) > 2 * self._limit:
            self._finish_tags = {
                workspace: tag
                for workspace, tag in self._finish_tags.items()
                if tag > self._virtual_time
            }

    def clear(self) -> None:
        """Remove all waiting requests."""
        self._waiting.clear()
        self._active.clear()
        self._costs.clear()
        self._size = 0
        self._prune_tags()

    def remove(self, request_id: str) -> Work | None:
        """Remove and return a waiting request; None if it is not queued."""
        for works in self._waiting.values():
            for work in works:
                if work.request_id == request_id:
                    works.remove(work)
                    self._remove_totals(work)
                    return work
        return None

    def remove_expired(self, now: float) -> list[Work]:
        """Remove and return all requests whose deadline has passed."""
        expired = [work for work in self if work.deadline <= now]
        for work in expired:
            self._waiting[work.workspace].remove(work)
            self._remove_totals(work)
        return expired


class RankScheduler:
    """Serves ranks by urgency and guarantees each its minimum share.

    Every dispatch of cost ``c`` credits each waiting rank with its minimum
    share of ``c`` and charges the served rank ``c``. A rank whose credit
    covers its next request is served before more urgent ones.
    """

    def __init__(
        self,
        *,
        ranks: tuple[Rank, ...],
        limit: int,
        get_weight: Callable[[str], float],
    ) -> None:
        self._ranks = tuple(sorted(ranks, key=lambda rank: rank.order))
        self._queues = {
            rank.name: FairQueue(limit=limit, get_weight=get_weight)
            for rank in self._ranks
        }
        self._credits = dict.fromkeys(self._queues, 0.0)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __bool__(self) -> bool:
        return any(map(len, self._queues.values()))

    @property
    def least_urgent(self) -> str:
        """Name of the least urgent rank."""
        return self._ranks[-1].name

    def length(self, rank: str) -> int:
        """Return the number of waiting requests of a rank."""
        return len(self._queues[rank])

    def push(self, work: Work) -> Dropped | None:
        """Queue a request by its rank; return the request dropped for it, if any.

        A request of an unknown rank is queued with the least urgent one.
        """
        rank = work.rank if work.rank in self._queues else self.least_urgent
        return self._queues[rank].push(work)

    def count_cost_ahead(self, rank: str) -> float:
        """Return the cost of the requests ahead of a new one of a rank.

        Counts the rank itself and all more urgent ones.
        """
        ahead = 0.0
        for candidate in self._ranks:
            ahead += self._queues[candidate.name].cost
            if candidate.name == rank:
                break
        return ahead

    def order_ranks(self) -> list[str]:
        """Return the ranks with waiting requests in the order of service.

        Ranks whose credit covers their next request come first, the highest
        credit first; the others follow by urgency.
        """
        waiting = [rank.name for rank in self._ranks if len(self._queues[rank.name])]
        entitled = [name for name in waiting if self._has_earned_next(name)]
        entitled.sort(key=lambda name: -self._credits[name])
        return entitled + [name for name in waiting if name not in entitled]

    def peek(self, rank: str) -> Work | None:
        """Return the request of a rank that `pop` would return, or None."""
        return self._queues[rank].peek()

    def pop(self, rank: str) -> Work | None:
        """Remove and return the next request of a rank, and update the credits."""
        work = self._queues[rank].pop()
        if work is not None:
            self._update_credits(rank, work.cost)
        return work

    def _has_earned_next(self, name: str) -> bool:
        head = self._queues[name].peek()
        return head is not None and self._credits[name] >= head.cost

    def _update_credits(self, served: str, cost: float) -> None:
        for rank in self._ranks:
            if len(self._queues[rank.name]):
                self._credits[rank.name] += rank.minimum_share * cost
            elif rank.name != served:
                self._credits[rank.name] = 0.0
        self._credits[served] = max(0.0, self._credits[served] - cost)

    def remove(self, request_id: str) -> Work | None:
        """Remove and return a waiting request; None if it is not queued."""
        for queue in self._queues.values():
            work = queue.remove(request_id)
            if work is not None:
                return work
        return None

    def remove_expired(self, now: float) -> list[Work]:
        """Remove and return all requests whose deadline has passed."""
        return [
            work
            for queue in self._queues.values()
            for work in queue.remove_expired(now)
        ]

    def drain(self) -> list[Work]:
        """Remove and return all waiting requests."""
        works = [work for queue in self._queues.values() for work in queue]
        for queue in self._queues.values():
            queue.clear()
        return works

    def dump(self) -> dict[str, int]:
        """Return the queue length of each rank."""
        return {name: len(queue) for name, queue in self._queues.items()}
