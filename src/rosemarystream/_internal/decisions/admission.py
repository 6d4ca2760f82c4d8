"""Admission control of one server group, run by the host that owns the group.

Decides for each request whether it is sent to a server now, waits, or is refused.
The limits are the load bound, the slots of a server, the reserves of more urgent
ranks, and fair shares between workspaces.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rosemarystream._internal.decisions.deferred_requests import (
    DeferredRequest,
    DeferredRequests,
)
from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.decisions.load_bound import (
    FloorTracker,
    PoolLoad,
    compute_load_bound,
    scale_bound,
)
from rosemarystream._internal.decisions.queueing import RankScheduler
from rosemarystream._internal.decisions.server_load import (
    REPORT_LAG_SECONDS,
    ServerLoad,
)
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.models.configuration import Pool, Rank
from rosemarystream._internal.models.events import WorkGranted, WorkRefused
from rosemarystream._internal.models.request import Work
from rosemarystream._internal.models.server import ServerReport

# Shortest wait before a retry that a refusal suggests.
RETRY_SECONDS = 1.0
# The service rate is measured per interval; the highest of the last ones counts.
RATE_INTERVAL_SECONDS = 1.0
RATE_INTERVALS = 5
# With fewer measurements no wait is predicted and no request refused for it.
MIN_RATE_INTERVALS = 3
# Assumed prefill time of an engine.
PREFILL_SECONDS_PER_TOKEN = 125e-6
# Longest deferral as a multiple of the time to prefill the context again.
DEFERRAL_FACTOR = 1.0


class AdmissionContext(NamedTuple):
    """Limits and load of the pool outside the group, as of one decision.

    Attributes
    ----------
    pool : Pool
        Pool with its load multiple and slots per server.
    other_groups : PoolLoad
        Load of the pool's servers outside this group.
    share : float
        Fraction of the bound that this host may use; below 1 while another host
        may own the group too.
    contested : bool
        Whether another host may be sending requests to the group's servers.
    """

    pool: Pool
    other_groups: PoolLoad
    share: float
    contested: bool


def sum_reserves(ranks: tuple[Rank, ...]) -> dict[str, float]:
    """Return, for each rank, the sum of the reserves of more urgent ranks."""
    reserved = 0.0
    reserves = {}
    for rank in sorted(ranks, key=lambda rank: rank.order):
        reserves[rank.name] = reserved
        reserved += rank.reserve
    return reserves


class GroupAdmission:
    """Assigns requests to the servers of one group, or queues or refuses them.

    Parameters
    ----------
    name : str
        Name of the group.
    ranks : tuple of Rank
        Ranks in force.
    queue_limit : int
        Maximum number of waiting requests per rank.
    get_weight : callable
        Returns the weight of a workspace by its name.
    """

    def __init__(
        self,
        *,
        name: str,
        ranks: tuple[Rank, ...],
        queue_limit: int,
        get_weight: Callable[[str], float],
    ) -> None:
        self.name = name
        self._local_floor = FloorTracker()
        self._remote_floor = FloorTracker()
        self._loads: dict[str, ServerLoad] = {}
        self._serving: tuple[str, ...] = ()
        self._server_of: dict[str, str] = {}
        self._deferred = DeferredRequests()
        self._queue_limit = queue_limit
        self._get_weight = get_weight
        self._ranks = ranks
        self._reserves = sum_reserves(ranks)
        self._queue = RankScheduler(
            ranks=ranks, limit=queue_limit, get_weight=get_weight
        )
        self._trust_after = 0.0
        self._rates: deque[float] = deque(maxlen=RATE_INTERVALS)
        self._rate_since: float | None = None
        self._rate_cost = 0.0

    @property
    def running(self) -> int:
        """Number of requests that this host has in progress on the group's servers."""
        return len(self._server_of)

    @property
    def responsive_servers(self) -> int:
        """Number of serving servers that answer polls; unpolled ones count too."""
        return sum(1 for name in self._serving if not self._loads[name].is_unresponsive)

    @property
    def has_foreign_requests(self) -> bool:
        """Whether a server reports more requests than this host can have sent."""
        return any(self._loads[name].foreign_min > 0 for name in self._serving)

    @property
    def queued(self) -> int:
        """Number of requests in the fair queue, without deferred ones."""
        return len(self._queue)

    @property
    def is_waiting(self) -> bool:
        """Whether any request is queued or deferred."""
        return bool(self._queue or self._deferred)

    @property
    def serving(self) -> tuple[str, ...]:
        """Names of the servers that accept new requests."""
        return self._serving

    def get_floor_tracker(self, *, remote: bool) -> FloorTracker:
        """Return the floor tracker for local or for remote heartbeats."""
        return self._remote_floor if remote else self._local_floor

    def set_ranks(self, ranks: tuple[Rank, ...]) -> None:
        """Replace the ranks; waiting requests keep their order per workspace."""
        if ranks == self._ranks:
            return
        waiting = self._queue.drain()
        self._ranks = ranks
        self._reserves = sum_reserves(ranks)
        self._queue = RankScheduler(
            ranks=ranks, limit=self._queue_limit, get_weight=self._get_weight
        )
        for work in waiting:
            self._queue.push(work)

    def set_serving(self, names: Iterable[str]) -> None:
        """Set the servers that accept new requests; others finish running ones."""
        self._serving = tuple(names)
        for name in self._serving:
            self._loads.setdefault(name, ServerLoad(name=name))
        for name in list(self._loads):
            if name not in self._serving and not self._loads[name].running:
                del self._loads[name]

    def take_over(self, now: float) -> None:
        """Begin as owner: discard reports that may predate the last owner's requests.

        No request is granted to a server until a poll was sent
        `REPORT_LAG_SECONDS` after the takeover and answered.
        """
        self._trust_after = now + REPORT_LAG_SECONDS
        for load in self._loads.values():
            load.has_report = False

    def has_current_report(self, server: str) -> bool:
        """Return whether a server's last poll was answered and is trusted."""
        load = self._loads.get(server)
        return load is not None and load.has_report and not load.is_unresponsive

    def record_report(self, server: str, report: ServerReport, asked_at: float) -> None:
        """Record a server's report, unless it was polled too soon after a takeover."""
        if server in self._loads and asked_at >= self._trust_after:
            self._loads[server].record_report(report, asked_at)

    def mark_unresponsive(self, server: str) -> None:
        """Record that a server did not answer a poll; others are preferred to it."""
        if server in self._loads:
            self._loads[server].is_unresponsive = True

    def submit(
        self, work: Work, *, context: AdmissionContext, may_queue: bool, now: float
    ) -> list[Any]:
        """Grant, defer, queue or refuse a request.

        Returns
        -------
        actions : list of WorkGranted or WorkRefused
            Empty if the request waits. A refusal may be of another request, which
            was dropped from the queue to make room.
        """
        if work.deadline <= now:
            return [self._refuse(work, ErrorKind.DEADLINE, "deadline has passed")]
        if not self._can_serve(context):
            return [self._refuse(work, ErrorKind.NO_BACKEND, "no serving server")]
        if not self._queue:
            server = self._pick_server(work, context)
            if server is not None:
                return self._grant_or_defer(work, server, may_queue=may_queue, now=now)
        if not may_queue:
            return [self._refuse(work, ErrorKind.OVERLOADED, "group is busy")]
        return self._enqueue(work, now)

    def _can_serve(self, context: AdmissionContext) -> bool:
        # With a share that rounds down to zero no request can be granted here,
        # so it is refused at once and can try another group.
        return bool(self._serving) and self._limit_server(context) > 0

    def _grant_or_defer(
        self, work: Work, server: str, *, may_queue: bool, now: float
    ) -> list[Any]:
        # Waiting briefly for the engine that caches a long context costs less
        # than prefilling the context again on another engine.
        holder = self._find_holder(work)
        if holder in (None, server) or not self._deferred.has_room(
            holder, len(self._loads[holder].running)
        ):
            return [self._grant(work, server, now)]
        wait = work.context_tokens * PREFILL_SECONDS_PER_TOKEN * DEFERRAL_FACTOR
        deadline = min(now + wait, work.deadline)
        self._deferred.add(holder, DeferredRequest(work, may_queue, deadline))
        return []

    def _find_holder(self, work: Work) -> str | None:
        if work.hint is None or work.hint.server not in self._serving:
            return None
        load = self._loads[work.hint.server]
        return load.name if load.has_report and not load.is_unresponsive else None

    def _enqueue(self, work: Work, now: float) -> list[Any]:
        wait = self.estimate_wait(work.rank)
        if now + wait >= work.deadline:
            message = "the request would wait past its deadline"
            return [self._refuse(work, ErrorKind.OVERLOADED, message, wait)]
        # Deferred requests must not overtake the fair queue, so they join it.
        for deferred in self._deferred.drain():
            self._queue.push(deferred.work)
        dropped = self._queue.push(work)
        if dropped is None:
            return []
        return [self._refuse(dropped.work, ErrorKind.OVERLOADED, "queue is full", wait)]

    def estimate_wait(self, rank: str) -> float:
        """Return the expected wait of a new request of a rank, in seconds.

        0 as long as the service rate is not known.
        """
        if len(self._rates) < MIN_RATE_INTERVALS:
            return 0.0
        return self._queue.count_cost_ahead(rank) / max(self._rates)

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
        self._server_of[work.request_id] = server
        load = self._loads[server]
        load.running[work.request_id] = work
        self._record_change(load, now)
        return WorkGranted(request_id=work.request_id, server=server)

    def _record_change(self, load: ServerLoad, now: float) -> None:
        load.record_change(now)
        self._local_floor.update(self.running)
        self._remote_floor.update(self.running)

    def _pick_server(self, work: Work, context: AdmissionContext) -> str | None:
        limit = self._limit_server(context)
        limit = self._limit_rank(work.rank, limit, context.pool.slots)
        usable = [
            name
            for name in self._serving
            if self._has_room(self._loads[name], limit, context.contested)
        ]
        if not usable:
            return None
        responsive = [name for name in usable if not self._loads[name].is_unresponsive]
        return self._choose_server(work, responsive or usable)

    def _has_room(self, load: ServerLoad, limit: int, contested: bool) -> bool:
        return load.has_report and load.count_running(contested=contested) < limit

    def _choose_server(self, work: Work, usable: list[str]) -> str:
        if work.hint is not None and work.hint.server in usable:
            return work.hint.server
        return order_candidates(work.affinity_key, usable)[0]

    def _limit_rank(self, rank: str, limit: int, slots: int) -> int:
        # The reserve is a fraction of the slots, not of the load bound: it
        # matters in an overload, when the slots are the scarce resource.
        reserved = round(slots * self._reserves.get(rank, 0.0))
        return min(limit, max(1, slots - reserved))

    def _limit_server(self, context: AdmissionContext) -> int:
        pool_load = PoolLoad(
            running=context.other_groups.running + self.count_own_running(),
            servers=context.other_groups.servers + max(1, self.responsive_servers),
        )
        bound = compute_load_bound(
            load_multiple=context.pool.load_multiple, load=pool_load
        )
        limit = min(bound, context.pool.slots)
        if context.share < 1:
            return scale_bound(limit, context.share)
        return limit

    def count_own_running(self) -> int:
        """Return how many requests of this host run on serving servers."""
        return sum(len(self._loads[name].running) for name in self._serving)

    def release(self, request_id: str, now: float) -> None:
        """Free the slot of a granted request that has ended, whatever its outcome."""
        server = self._server_of.pop(request_id, None)
        if server is None:
            return
        load = self._loads[server]
        work = load.running.pop(request_id)
        self._record_change(load, now)
        self._measure_rate(work.cost, now)
        if server not in self._serving and not load.running:
            del self._loads[server]

    def _measure_rate(self, cost: int, now: float) -> None:
        # Throughput equals capacity only while requests are queued.
        if not self._queue:
            self._rate_since = None
            return
        if self._rate_since is None:
            self._rate_since = now
            self._rate_cost = 0.0
            return
        self._rate_cost += cost
        elapsed = now - self._rate_since
        if elapsed >= RATE_INTERVAL_SECONDS:
            self._rates.append(self._rate_cost / elapsed)
            self._rate_since = now
            self._rate_cost = 0.0

    def cancel(self, request_id: str, now: float) -> None:
        """Remove a request, whether it waits or runs."""
        if request_id in self._server_of:
            self.release(request_id, now)
        elif not self._deferred.remove(request_id):
            self._queue.remove(request_id)

    def dispatch(self, *, context: AdmissionContext, now: float) -> list[Any]:
        """Grant waiting requests that a server has room for; refuse expired ones."""
        actions: list[Any] = [
            self._refuse(work, ErrorKind.DEADLINE, "waited until the deadline")
            for work in self._queue.remove_expired(now)
        ]
        if not self._can_serve(context):
            actions.extend(self.refuse_waiting())
            return actions
        actions.extend(self._dispatch_deferred(context, now))
        while (granted := self._grant_next(context, now)) is not None:
            actions.append(granted)
        return actions

    def _grant_next(self, context: AdmissionContext, now: float) -> WorkGranted | None:
        # Reserves limit less urgent ranks more, so a rank may find no server
        # while another one still does: try every rank.
        for rank in self._queue.order_ranks():
            work = self._queue.peek(rank)
            server = None if work is None else self._pick_server(work, context)
            if work is not None and server is not None:
                self._queue.pop(rank)
                return self._grant(work, server, now)
        return None

    def _dispatch_deferred(self, context: AdmissionContext, now: float) -> list[Any]:
        actions: list[Any] = []
        limit = self._limit_server(context)
        for server in self._deferred.servers():
            load = self._loads.get(server)
            rank = self._deferred.peek(server).work.rank
            rank_limit = self._limit_rank(rank, limit, context.pool.slots)
            if load is None or not self._has_room(load, rank_limit, context.contested):
                continue
            deferred = self._deferred.pop(server)
            actions.append(self._grant(deferred.work, server, now))
        for deferred in self._deferred.remove_expired(now, set(self._serving)):
            work = deferred.work._replace(hint=None)
            actions.extend(
                self.submit(
                    work, context=context, may_queue=deferred.may_queue, now=now
                )
            )
        return actions

    def refuse_waiting(self) -> list[Any]:
        """Refuse all waiting requests, so that they can go to another group."""
        return [
            self._refuse(work, ErrorKind.NO_BACKEND, "group has no serving server")
            for work in [
                *self._queue.drain(),
                *(deferred.work for deferred in self._deferred.drain()),
            ]
        ]

    def dump(self) -> dict[str, Any]:
        """Return the load of each server and the queue length of each rank."""
        return {
            "serving": list(self._serving),
            "running": {n: len(load.running) for n, load in self._loads.items()},
            "foreign": {n: load.foreign_max for n, load in self._loads.items()},
            "silent": [n for n, load in self._loads.items() if load.is_unresponsive],
            "queued": self._queue.dump(),
            "parked": len(self._deferred),
            "cost_rate": round(max(self._rates, default=0.0), 1),
        }
