"""Admission at the owner of a server group: bounds, slots, ranks, fairness."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rosemarystream._internal.decisions.balance import (
    FloorTracker,
    PoolLoad,
    bound_load,
    limit_share,
)
from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.decisions.queueing import RankScheduler
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.models.configuration import Pool, Rank
from rosemarystream._internal.models.events import WorkGranted, WorkRefused
from rosemarystream._internal.models.request import Work
from rosemarystream._internal.models.server import ServerReport

RETRY_SECONDS = 1.0
RATE_SMOOTHING = 0.1
REPORT_LAG_SECONDS = 1.0


class AdmissionContext(NamedTuple):
    """What the group has to know of the rest of its pool.

    Attributes
    ----------
    pool : Pool
        Limits of the pool.
    elsewhere : PoolLoad
        Load of the pool's servers outside this group.
    share : float
        Part of the bounds that this owner may use; below 1 in a dispute.
    """

    pool: Pool
    elsewhere: PoolLoad
    share: float


class ServerLoad:
    """Load of one server as its owner sees it."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.running: dict[str, Work] = {}
        self.reported = False
        self.silent = False
        self.foreign = 0
        self._peaks: list[tuple[float, int]] = []

    @property
    def carried(self) -> int:
        """Own requests in progress plus those of other hosts."""
        return len(self.running) + self.foreign

    def note_change(self, now: float) -> None:
        """Remember the own count, to tell it from others' in a late report."""
        horizon = now - REPORT_LAG_SECONDS
        self._peaks = [peak for peak in self._peaks if peak[0] >= horizon]
        self._peaks.append((now, len(self.running)))

    def learn(self, report: ServerReport, asked_at: float) -> None:
        """Take the server's own count, which is some moments old."""
        horizon = asked_at - REPORT_LAG_SECONDS
        own = [count for time, count in self._peaks if time >= horizon]
        own.append(len(self.running))
        self.foreign = max(0, report.running - max(own))
        self.reported = True
        self.silent = False


class GroupAdmission:
    """Decides which waiting request goes to which server of one group.

    Parameters
    ----------
    name : str
        Name of the group.
    ranks : tuple of Rank
        Ranks in force.
    queue_limit : int
        Requests of one rank that may wait.
    weigh : callable
        Returns a workspace's weight by its name.
    """

    def __init__(
        self,
        *,
        name: str,
        ranks: tuple[Rank, ...],
        queue_limit: int,
        weigh: Callable[[str], float],
    ) -> None:
        self.name = name
        self.local_floor = FloorTracker()
        self.remote_floor = FloorTracker()
        self._loads: dict[str, ServerLoad] = {}
        self._serving: tuple[str, ...] = ()
        self._places: dict[str, str] = {}
        self._queue_limit = queue_limit
        self._weigh = weigh
        self._ranks = ranks
        self._queue = RankScheduler(ranks=ranks, limit=queue_limit, weigh=weigh)
        self._cost_rate = 0.0
        self._rate_since: float | None = None
        self._rate_cost = 0.0

    @property
    def running(self) -> int:
        """Requests in progress on the group's servers, by this host."""
        return len(self._places)

    @property
    def answering(self) -> int:
        """Serving servers that answer polls; all of them before the first."""
        return sum(1 for name in self._serving if not self._loads[name].silent)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def serving(self) -> tuple[str, ...]:
        """Names of the servers that take new work."""
        return self._serving

    def set_ranks(self, ranks: tuple[Rank, ...]) -> None:
        """Put other ranks in force; waiting requests keep their order."""
        if ranks == self._ranks:
            return
        waiting = self._queue.drain()
        self._ranks = ranks
        self._queue = RankScheduler(
            ranks=ranks, limit=self._queue_limit, weigh=self._weigh
        )
        for work in waiting:
            self._queue.push(work)

    def set_serving(self, names: Iterable[str]) -> None:
        """Say which servers take new work; others finish what they have."""
        self._serving = tuple(names)
        for name in self._serving:
            self._loads.setdefault(name, ServerLoad(name=name))
        for name in list(self._loads):
            if name not in self._serving and not self._loads[name].running:
                del self._loads[name]

    def learn_report(self, server: str, report: ServerReport, asked_at: float) -> None:
        """Take what a server says of its load."""
        if server in self._loads:
            self._loads[server].learn(report, asked_at)

    def learn_silence(self, server: str) -> None:
        """Take that a server did not answer; it gets work last of all."""
        if server in self._loads:
            self._loads[server].silent = True

    def submit(
        self, work: Work, *, context: AdmissionContext, may_queue: bool, now: float
    ) -> list[Any]:
        """Grant, queue or refuse a request.

        Returns
        -------
        actions : list of WorkGranted or WorkRefused
            Empty when the request waits.
        """
        if work.deadline <= now:
            return [self._refuse(work, ErrorKind.DEADLINE, "deadline has passed")]
        if not self._serving or context.share <= 0:
            return [self._refuse(work, ErrorKind.NO_BACKEND, "no serving server")]
        if not self._queue:
            server = self._pick_server(work, context)
            if server is not None:
                return [self._grant(work, server, now)]
        if not may_queue:
            return [self._refuse(work, ErrorKind.OVERLOADED, "group is busy")]
        return self._enqueue(work, now)

    def _enqueue(self, work: Work, now: float) -> list[Any]:
        wait = self.expected_wait(work.rank)
        if now + wait >= work.deadline:
            message = "the request would wait past its deadline"
            return [self._refuse(work, ErrorKind.OVERLOADED, message, wait)]
        dropped = self._queue.push(work)
        if dropped is None:
            return []
        return [self._refuse(dropped.work, ErrorKind.OVERLOADED, "queue is full", wait)]

    def expected_wait(self, rank: str) -> float:
        """Return the seconds that a new request of a rank is likely to wait."""
        if self._cost_rate <= 0:
            return 0.0
        return self._queue.cost_ahead(rank) / self._cost_rate

    def _refuse(
        self, work: Work, kind: ErrorKind, message: str, wait: float = RETRY_SECONDS
    ) -> WorkRefused:
        return WorkRefused(
            request_id=work.request_id,
            kind=kind,
            message=message,
            retry_after=max(RETRY_SECONDS, wait),
        )

    def _grant(self, work: Work, server: str, now: float) -> WorkGranted:
        self._places[work.request_id] = server
        load = self._loads[server]
        load.running[work.request_id] = work
        self._note_change(load, now)
        return WorkGranted(request_id=work.request_id, server=server)

    def _note_change(self, load: ServerLoad, now: float) -> None:
        load.note_change(now)
        self.local_floor.update(self.running)
        self.remote_floor.update(self.running)

    def _pick_server(self, work: Work, context: AdmissionContext) -> str | None:
        limit = self._limit_server(context)
        usable = [
            name
            for name in self._serving
            if self._loads[name].reported and self._loads[name].carried < limit
        ]
        if not usable:
            return None
        heard = [name for name in usable if not self._loads[name].silent]
        return self._prefer_server(work, heard or usable)

    def _prefer_server(self, work: Work, usable: list[str]) -> str:
        if work.hint is not None and work.hint.server in usable:
            return work.hint.server
        return order_candidates(work.affinity, usable)[0]

    def _limit_server(self, context: AdmissionContext) -> int:
        pool_load = PoolLoad(
            running=context.elsewhere.running + self.certain_running(),
            servers=context.elsewhere.servers + max(1, self.answering),
        )
        bound = bound_load(load_multiple=context.pool.load_multiple, load=pool_load)
        limit = min(bound, context.pool.slots)
        if context.share < 1:
            return limit_share(limit, context.share)
        return limit

    def certain_running(self) -> int:
        """Return the own requests in progress on serving servers."""
        return sum(len(self._loads[name].running) for name in self._serving)

    def release(self, request_id: str, now: float) -> None:
        """Take that a granted request has ended, in whatever way."""
        server = self._places.pop(request_id, None)
        if server is None:
            return
        load = self._loads[server]
        work = load.running.pop(request_id)
        self._note_change(load, now)
        self._measure_rate(work.cost, now)
        if server not in self._serving and not load.running:
            del self._loads[server]

    def _measure_rate(self, cost: int, now: float) -> None:
        if self._rate_since is None:
            self._rate_since = now
        self._rate_cost += cost
        elapsed = now - self._rate_since
        if elapsed < RETRY_SECONDS:
            return
        rate = self._rate_cost / elapsed
        weight = RATE_SMOOTHING if self._cost_rate else 1.0
        self._cost_rate += weight * (rate - self._cost_rate)
        self._rate_since = now
        self._rate_cost = 0.0

    def cancel(self, request_id: str, now: float) -> None:
        """Forget a request, whether it waits or runs."""
        if request_id in self._places:
            self.release(request_id, now)
        else:
            self._queue.remove(request_id)

    def dispatch(self, *, context: AdmissionContext, now: float) -> list[Any]:
        """Grant waiting requests for which there is room now."""
        actions: list[Any] = [
            self._refuse(work, ErrorKind.DEADLINE, "waited until the deadline")
            for work in self._queue.remove_expired(now)
        ]
        if not self._serving or context.share <= 0:
            actions.extend(self.refuse_waiting())
            return actions
        while len(self._queue):
            work = self._queue.peek()
            server = None if work is None else self._pick_server(work, context)
            if work is None or server is None:
                break
            self._queue.pop()
            actions.append(self._grant(work, server, now))
        return actions

    def refuse_waiting(self) -> list[Any]:
        """Refuse everything that waits, so that it can be sent elsewhere."""
        return [
            self._refuse(work, ErrorKind.NO_BACKEND, "group has no serving server")
            for work in self._queue.drain()
        ]

    def dump(self) -> dict[str, Any]:
        """Return the group's load by server and its queue by rank."""
        return {
            "serving": list(self._serving),
            "running": {n: len(load.running) for n, load in self._loads.items()},
            "foreign": {n: load.foreign for n, load in self._loads.items()},
            "silent": [n for n, load in self._loads.items() if load.silent],
            "queued": self._queue.dump(),
            "cost_rate": round(self._cost_rate, 1),
        }
