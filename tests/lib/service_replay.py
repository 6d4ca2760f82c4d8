"""Requests of many hosts for a plain service, replayed against three servers.

Each host knows the counts of the others as they were 0.1 to 0.3 s ago. Servers run as
many requests as they have slots, queue a few, and refuse the rest. A caller that is
refused returns once, through another host.
"""

import heapq
import random
from collections import Counter, defaultdict
from itertools import count
from typing import NamedTuple

from rosemarystream._internal.decisions.admission_share import ServiceLoad
from rosemarystream._internal.decisions.load_table import LoadReport, LoadTable
from rosemarystream._internal.decisions.placement import place_by_load
from rosemarystream._internal.decisions.retry_budget import RetryBudget
from rosemarystream._internal.decisions.return_times import compute_retry_after
from rosemarystream._internal.decisions.waiting_line import (
    Action,
    Ticket,
    WaitingLine,
)
from rosemarystream._internal.models.endpoint import Endpoint, ServerState

SLOTS = 6
ROUND_TRIP_S = 0.003
REPORT_INTERVAL_S = 0.1
MAX_SENDS = 2
FIXED_RETURN_S = 0.1
# Hosts know their rate of the last 10 s; results count from then on.
WARM_UP_S = 10.0


class Kind(NamedTuple):
    """A kind of requests; `share` is its part of the usual rate."""

    name: str
    rank: int
    share: float
    work_s: float
    objective_s: float
    deadline_s: float


KINDS = (
    Kind("book", 0, 0.4, 0.075, 0.3, 1.5),
    Kind("look", 1, 0.6, 0.030, 0.2, 0.8),
)
# Factors of the work of a kind; their mean is 1.
SPREAD = (0.5, 0.7, 0.8, 1.0, 1.2, 1.8)
# Workspaces and their parts of the usual rate.
WORKSPACES = {"large": 0.5, "middle": 0.28, "small": 0.12, "smallest": 0.1}


class Request:
    """A caller's request, over its returns; times are absolute."""

    def __init__(self, number, kind, workspace, now, work_s):
        self.number, self.kind, self.workspace = number, kind, workspace
        self.begun_at, self.work_s = now, work_s
        self.returns = 0
        self.tried = []
        self.result = Counter()
        self.ticket = None


class Host:
    """What one host knows."""

    def __init__(self):
        self.loads = LoadTable()
        self.line = WaitingLine()
        self.budget = RetryBudget(ratio=0.2, window_s=10.0, slack=16)


class Replay:
    """One play of a load pattern.

    Parameters
    ----------
    rate : callable
        Returns the requests a second of a kind and workspace at a time.
    waits : bool
        Whether hosts queue and refuse; otherwise each request is sent at once.
    gone : callable
        Returns the servers that are gone at a time.
    impatient : float
        Part of the callers that return at once, whatever they are advised.
    """

    def __init__(
        self,
        *,
        seed,
        hosts,
        rate,
        waits,
        seconds,
        queue=2 * SLOTS,
        gone=None,
        impatient=0,
        kinds=KINDS,
    ):
        self.draws = random.Random(seed)
        self.rate, self.waits, self.queue = rate, waits, queue
        self.gone = gone or (lambda now: ())
        self.impatient = impatient
        self.hosts = [Host() for _ in range(hosts)]
        self.servers = {
            f"s{n}": Endpoint(
                f"s{n}", "s", "10.0.0.1:1", "a", SLOTS, ServerState.READY, 1, 1
            )
            for n in range(3)
        }
        self.running = Counter()
        self.queues = defaultdict(list)
        self.events, self.order = [], count()
        self.results = defaultdict(Counter)
        self.refused_sends = self.all_sends = 0
        self.seconds = seconds
        self.numbers = count()
        for kind in kinds:
            for workspace in WORKSPACES:
                self.arrive_next(0.0, kind, workspace)
        self.at(0.0, self.report)
        while self.events and self.events[0][0] < seconds + 3.0:
            now, _, call, arguments = heapq.heappop(self.events)
            call(now, *arguments)

    def at(self, time, call, *arguments):
        heapq.heappush(self.events, (time, next(self.order), call, arguments))

    def report(self, now):
        total = sum((host.loads.sum_own().counts for host in self.hosts), Counter())
        for number, host in enumerate(self.hosts):
            others = total - host.loads.sum_own().counts
            self.at(now + 0.1, self.hear, number, LoadReport(int(now * 1e3), 0, others))
        self.at(now + REPORT_INTERVAL_S, self.report)

    def hear(self, now, number, report):
        report = report._replace(reported_at=now)
        self.hosts[number].loads.accept_others_sum("c", report)

    def arrive_next(self, now, kind, workspace):
        # Thinned from the highest rate of the pattern.
        most = self.rate(kind, workspace, None)
        now += self.draws.expovariate(most)
        if now >= self.seconds:
            return
        self.at(now, self.arrive_next, kind, workspace)
        if self.draws.random() * most < self.rate(kind, workspace, now):
            work_s = kind.work_s * self.draws.choice(SPREAD)
            request = Request(next(self.numbers), kind, workspace, now, work_s)
            if now >= WARM_UP_S:
                request.result = self.results[kind.name, workspace]
            request.result["all"] += 1
            self.at(now, self.come, request)

    def come(self, now, request):
        """Take a request in at any host."""
        host = self.draws.randrange(len(self.hosts))
        self.hosts[host].budget.record_request(now)
        request.tried, request.ticket = [], None
        self.try_send(now, request, host)

    def try_send(self, now, request, number):
        host, kind = self.hosts[number], request.kind
        if now >= request.begun_at + kind.deadline_s:
            return
        load = host.loads.sum_fleet(now)
        ready = [e for e in self.servers.values() if e.name not in self.gone(now)]
        if self.waits:
            requests = sum(load.counts[e.number] for e in ready)
            own = host.loads.count_own()
            known = ServiceLoad(SLOTS * len(ready), requests, own)
            if request.ticket is None and not host.line.is_open(known, now):
                request.ticket = Ticket(
                    is_urgent=kind.rank == 0,
                    workspace=request.workspace,
                    objective_at=request.begun_at + kind.objective_s,
                    deadline=request.begun_at + kind.deadline_s,
                    joined_at=now,
                )
                host.line.join(request.ticket)
            if request.ticket is not None:
                decision = host.line.decide(request.ticket, known, now)
                if decision.action is Action.WAIT:
                    self.at(now + decision.wait_s, self.try_send, request, number)
                    return
                host.line.leave(request.ticket)
                request.ticket = None
                if decision.action is Action.REFUSE:
                    self.refuse(now, request, number)
                    return
        age_s = host.loads.measure_report_age(now)
        rate = host.budget.measure_request_rate(now)
        chosen = place_by_load(
            [e for e in ready if e.name not in request.tried],
            loads={e.name: load.counts[e.number] for e in ready},
            failure_rates={},
            slowness={},
            data_centre="a",
            unseen=(len(self.hosts) - 1) * rate * (age_s + 0.1),
            salt=str(request.number),
        )
        host.loads.begin(chosen.number)
        request.tried.append(chosen.name)
        self.all_sends += 1
        held = load.counts[chosen.number] + 1
        self.at(now + ROUND_TRIP_S / 2, self.reach, request, number, chosen, now, held)

    def reach(self, now, request, number, server, sent_at, held):
        """Run, queue or refuse a request at a server."""
        arrival = (request, number, server, sent_at, held)
        if server.name in self.gone(now):
            self.at(now + ROUND_TRIP_S / 2, self.repel, request, number, server)
        elif self.running[server.name] < SLOTS:
            self.running[server.name] += 1
            self.at(now + request.work_s, self.finish, *arrival)
        elif len(self.queues[server.name]) < self.queue:
            self.queues[server.name].append(arrival)
        else:
            self.refused_sends += 1
            self.at(now + ROUND_TRIP_S / 2, self.repel, request, number, server)

    def finish(self, now, request, number, server, sent_at, held):
        if self.queues[server.name]:
            following = self.queues[server.name].pop(0)
            self.at(now + following[0].work_s, self.finish, *following)
        else:
            self.running[server.name] -= 1
        self.at(
            now + ROUND_TRIP_S / 2, self.end, request, number, server, sent_at, held
        )

    def end(self, now, request, number, server, sent_at, held):
        host, kind = self.hosts[number], request.kind
        host.loads.end(server.number)
        host.line.share.record_send(is_refused=False)
        host.line.share.record_response(now - sent_at, kind.objective_s)
        request.result["served"] += now <= request.begun_at + kind.deadline_s
        request.result["in time"] += now <= request.begun_at + kind.objective_s

    def repel(self, now, request, number, server):
        host = self.hosts[number]
        host.loads.end(server.number)
        host.line.share.record_send(is_refused=True)
        may_repeat = len(request.tried) < MAX_SENDS
        if may_repeat and host.budget.take(now, hosts=len(self.hosts)):
            self.try_send(now, request, number)
        else:
            self.refuse(now, request, number)

    def refuse(self, now, request, number):
        """Let the caller return once, after at most a third of its time."""
        if request.returns:
            return
        request.returns += 1
        left_s = request.begun_at + request.kind.deadline_s - now
        advised_s = FIXED_RETURN_S
        if self.waits:
            advised_s = compute_retry_after(
                share=self.hosts[number].line.share.value,
                left_s=left_s,
                key=str(request.number),
            )
        if self.draws.random() < self.impatient:
            advised_s = 0.0
        self.at(now + min(advised_s, left_s / 3), self.come, request)


def sum_shares(replay, result, **selected):
    """Return the part of some requests with a result."""
    chosen = [
        counts
        for (kind, workspace), counts in replay.results.items()
        if selected.get("kind") in (None, kind)
        and selected.get("workspace") in (None, workspace)
    ]
    return sum(c[result] for c in chosen) / sum(c["all"] for c in chosen)
