"""Discrete-event simulation of the decision code of many hosts, in one process.

The hosts run the real decision services; engines, network and clock are simulated.
"""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from itertools import count
from typing import Any, NamedTuple

from bench.engines import Job, SimulatedEngine
from rosemarystream._internal.decisions.assembly import (
    DecisionOptions,
    DecisionServices,
)
from rosemarystream._internal.decisions.configuration import (
    digest_document,
    encode_documents,
)
from rosemarystream._internal.decisions.membership import MembershipTimes
from rosemarystream._internal.decisions.offer_plan import Offer, OfferPlan
from rosemarystream._internal.decisions.server_groups import GroupName
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.configuration import Manifest, Sheet
from rosemarystream._internal.models.events import (
    DocumentLearned,
    HostListLearned,
    ManifestLearned,
    ResetConnection,
    SendMessage,
    ServerReported,
    WorkGranted,
    WorkRefused,
)
from rosemarystream._internal.models.messages import Heartbeat, encode_message
from rosemarystream._internal.models.request import ContextHint, Work
from rosemarystream._internal.models.server import (
    BackendServer,
    EntryHost,
    HostChanges,
    ServerReport,
)

TICK_SECONDS = 0.05
POLL_SECONDS = 0.25
TIMES = MembershipTimes(heartbeat=1.0, suspect=2.5, takeover=0.5, remove=3.0)


class Schedule:
    """Event queue with a simulated clock, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        heappush(self._due, (self.now + seconds, next(self._numbers), callback))

    def run_until(self, end: float) -> None:
        """Run all calls due up to a time and set the clock to it."""
        while self._due and self._due[0][0] <= end:
            self.now, _, callback = heappop(self._due)
            callback()
        self.now = end


class ActionHandler(Service):
    """Carries out the actions of one host's decisions in the simulated world."""

    name = "edge"
    handles = (SendMessage, ResetConnection, WorkGranted, WorkRefused)

    def __init__(self, *, world: "World", host: "SimulatedHost") -> None:
        self._world = world
        self._host = host

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Send a message or apply a decision; ignore resets."""
        if isinstance(event, SendMessage):
            self._world.send(self._host, event)
        elif isinstance(event, WorkGranted | WorkRefused):
            self._world.apply_decision(self._host, event)
        return ()

    def dump(self) -> dict[str, Any]:
        """Return nothing; the world holds the state."""
        return {}


class SimulatedHost:
    """Entry host of the simulation: its kernel with the decision services."""

    def __init__(self, *, world: "World", me: EntryHost, seeds: tuple[str, ...]):
        self.me = me
        self.is_alive = True
        self.sent_bytes = 0
        self.sent_messages = 0
        self.kernel = Kernel()
        options = DecisionOptions(
            seeds=seeds,
            times=world.times,
            remote_bytes=1_500,
            queue_limit=world.queue_limit,
            claim_shards=16,
            claim_batch_seconds=0.01,
            lease_span=6.0,
            order_flight=2.0,
        )
        self.decisions = DecisionServices(kernel=self.kernel, me=me, options=options)
        self.decisions.lease.expire = _do_nothing
        self.kernel.register(ActionHandler(world=world, host=self))


def _do_nothing(now: float) -> tuple[()]:
    return ()


class Outcome(NamedTuple):
    """Result of a caller's request.

    Attributes
    ----------
    work : Work
        The request.
    kind : ErrorKind or None
        Kind of the error; None if the request was answered.
    server : str
        Engine that answered; empty if none did.
    arrived_at, first_token_at, ended_at : float
        Times on the schedule's clock.
    """

    work: Work
    kind: ErrorKind | None
    server: str
    arrived_at: float
    first_token_at: float
    ended_at: float


class Attempt(NamedTuple):
    """Request in progress, with the offer that is being tried."""

    work: Work
    job: Job
    entry: "SimulatedHost"
    plan: OfferPlan
    offer: Offer
    arrived_at: float


class World:
    """Simulated hosts, engines, network and clock.

    Parameters
    ----------
    delay : float
        Seconds that a message between hosts takes.
    times : MembershipTimes
        Intervals of the failure detector.
    queue_limit : int
        Requests of one rank that may be queued at one server group.
    """

    def __init__(
        self,
        *,
        delay: float = 0.001,
        times: MembershipTimes = TIMES,
        queue_limit: int = 1_000,
    ) -> None:
        self.schedule = Schedule()
        self.delay = delay
        self.times = times
        self.queue_limit = queue_limit
        self.hosts: dict[str, SimulatedHost] = {}
        self.engines: dict[str, SimulatedEngine] = {}
        self.servers: dict[str, BackendServer] = {}
        self.outcomes: list[Outcome] = []
        self.on_grant: Callable[[SimulatedHost, str], None] = _ignore_grant
        self.on_outcome: Callable[[Outcome], None] = _ignore_outcome
        self.blocked: set[tuple[str, str]] = set()
        self.reports_lost: set[str] = set()
        self._attempts: dict[str, Attempt] = {}
        self._jobs: dict[str, tuple[SimulatedHost, Attempt, WorkGranted]] = {}
        self._numbers = count(1)
        self._incarnations: dict[str, int] = {}
        self._hosts_version = 0
        self._manifest = Manifest(0, "", "", {})
        self._documents: dict[str, bytes] = {}
        self._measure_bytes = False

    @property
    def now(self) -> float:
        """Time on the schedule's clock."""
        return self.schedule.now

    def measure_bytes(self) -> None:
        """Encode every message from now on, to count its bytes."""
        self._measure_bytes = True

    def add_host(
        self, name: str, data_centre: str, region: str = "r1"
    ) -> SimulatedHost:
        """Start a host; a host of the same name is replaced."""
        me = EntryHost(
            name=name,
            incarnation=next(self._numbers),
            data_centre=data_centre,
            region=region,
            peer_address=name,
            hop_address=name,
        )
        seeds = tuple(n for n in self.hosts if n != name)
        host = SimulatedHost(world=self, me=me, seeds=seeds)
        self.hosts[name] = host
        self.configure(host)
        self.schedule.after(0.0, lambda: self._tick(host))
        self.schedule.after(0.0, lambda: self._poll(host))
        return host

    def kill_host(self, name: str) -> None:
        """Stop a host and cancel at the engines the requests that it had granted."""
        host = self.hosts.pop(name)
        host.is_alive = False
        lost = [job for job in self._jobs.values() if job[0] is host]
        for _, attempt, event in lost:
            self._abort(attempt, event)

    def _abort(self, attempt: Attempt, event: WorkGranted) -> None:
        engine = self.engines[event.server]
        del self._jobs[attempt.job.request_id]
        next_job = engine.abort(attempt.job, self.now)
        if next_job is not None:
            self._start(engine, next_job)
        self._fail(attempt, ErrorKind.STREAM_BROKEN)

    def add_engine(
        self,
        name: str,
        data_centre: str,
        *,
        pool: str = "lm",
        slots: int = 16,
        cache_tokens: int = 400_000,
        region: str = "r1",
    ) -> SimulatedEngine:
        """Add an engine; `publish` makes it known to the hosts."""
        engine = SimulatedEngine(name=name, slots=slots, cache_tokens=cache_tokens)
        self.engines[name] = engine
        self._incarnations[name] = next(self._numbers)
        self.servers[name] = BackendServer(
            name=name,
            pool=pool,
            data_centre=data_centre,
            region=region,
            address=name,
            incarnation=self._incarnations[name],
            leaving=False,
        )
        return engine

    def publish(self, sheet: Sheet | None = None) -> None:
        """Send the list of engines, and a sheet if given, to all hosts."""
        self._hosts_version += 1
        if sheet is not None:
            self._set_documents(sheet)
        for host in list(self.hosts.values()):
            self.configure(host)

    def publish_to(self, hosts: list[SimulatedHost], sheet: Sheet) -> None:
        """Publish a sheet, but send it to the given hosts only."""
        self._set_documents(sheet)
        for host in hosts:
            self.configure(host)

    def _set_documents(self, sheet: Sheet) -> None:
        documents = encode_documents(sheet)
        self._documents = {digest_document(c): c for c in documents.values()}
        self._manifest = Manifest(
            generation=self._manifest.generation + 1,
            change_id=f"change-{next(self._numbers)}",
            operator="bench",
            documents={n: digest_document(c) for n, c in documents.items()},
        )

    def configure(self, host: SimulatedHost) -> None:
        """Send the published configuration and list of engines to one host."""
        if self._manifest.generation:
            host.kernel.post(ManifestLearned(self._manifest), self.now)
            for digest, content in self._documents.items():
                host.kernel.post(DocumentLearned(digest, content), self.now)
        version = self._hosts_version
        hosts = HostChanges(0, version, tuple(self.servers.values()), ())
        host.kernel.post(HostListLearned(hosts), self.now)

    def _tick(self, host: SimulatedHost) -> None:
        if not host.is_alive:
            return
        host.kernel.expire(self.now)
        self.schedule.after(TICK_SECONDS, lambda: self._tick(host))

    def _poll(self, host: SimulatedHost) -> None:
        if not host.is_alive:
            return
        for server, _ in host.decisions.dispatching.servers_to_poll(self.now):
            engine = self.engines.get(server.name)
            if engine is None or server.name in self.reports_lost:
                continue
            report = ServerReport(
                incarnation=server.incarnation,
                running=engine.get_reported_load(self.now),
                models=(),
                adapters=(),
                leaving=False,
            )
            event = ServerReported(server.name, report, self.now)
            host.kernel.post(event, self.now)
        self.schedule.after(POLL_SECONDS, lambda: self._poll(host))

    def send(self, host: SimulatedHost, action: SendMessage) -> None:
        """Deliver a message to a peer after the delay, unless the link is blocked."""
        host.sent_messages += 1
        if self._measure_bytes:
            size = len(encode_message(action.message, sender="x", incarnation=1))
            host.sent_bytes += size
            if isinstance(action.message, Heartbeat):
                host.decisions.membership.record_size(size)
        if (host.me.name, action.address) in self.blocked:
            return
        self.schedule.after(self.delay, lambda: self._receive(action))

    def _receive(self, action: SendMessage) -> None:
        target = self.hosts.get(action.address)
        if target is not None:
            target.kernel.post(action.message, self.now)

    def request(self, entry: SimulatedHost, work: Work, job: Job) -> None:
        """Start a caller's request at an entry host."""
        routing, loads = entry.decisions.routing, entry.decisions.loads
        plan = OfferPlan(
            idempotent=work.idempotent,
            deadline=work.deadline,
            order=lambda: routing.order_groups(work, self.now),
            is_waiting=lambda group: loads.pressure(group, self.now).queued > 0,
            try_spend=lambda: True,
        )
        self._next_offer(work, job, entry, plan, self.now, ErrorKind.NO_BACKEND)

    def _next_offer(
        self,
        work: Work,
        job: Job,
        entry: SimulatedHost,
        plan: OfferPlan,
        arrived_at: float,
        kind: ErrorKind,
    ) -> None:
        offer = plan.next_offer(self.now) if entry.is_alive else None
        if offer is None:
            self._end(Outcome(work, kind, "", arrived_at, self.now, self.now))
            return
        attempt = Attempt(work, job, entry, plan, offer, arrived_at)
        pause = offer.pause + self._hop_delay(entry, offer.group)
        self.schedule.after(pause, lambda: self._arrive(attempt))

    def _hop_delay(self, entry: SimulatedHost, group: GroupName) -> float:
        owner = entry.decisions.routing.pick_owner(group, self.now)
        return 0.0 if owner == entry.me.name else self.delay

    def _arrive(self, attempt: Attempt) -> None:
        group = attempt.offer.group
        routing = attempt.entry.decisions.routing
        name = routing.pick_owner(group, self.now)
        owner = None if name is None else self.hosts.get(name)
        if owner is None:
            routing.exclusions.record_unreachable(name or "", self.now)
            self._fail(attempt, ErrorKind.NO_BACKEND)
            return
        number = next(self._numbers)
        work = attempt.work._replace(request_id=f"{attempt.work.request_id}.{number}")
        self._attempts[work.request_id] = attempt
        actions = owner.decisions.dispatching.submit(
            work, group, may_queue=attempt.offer.may_queue, now=self.now
        )
        for action in actions:
            owner.kernel.post(action, self.now)

    def apply_decision(
        self, owner: SimulatedHost, event: WorkGranted | WorkRefused
    ) -> None:
        """Start a granted request at its engine; fail the attempt if it was refused."""
        attempt = self._attempts.pop(event.request_id, None)
        if attempt is None or not owner.is_alive:
            return
        if isinstance(event, WorkRefused):
            if event.kind is ErrorKind.NOT_OWNER:
                attempt.entry.decisions.routing.exclusions.record_not_owner(
                    str(attempt.offer.group), owner.me.name, self.now
                )
            self._fail(attempt, event.kind)
            return
        engine = self.engines[event.server]
        self.on_grant(owner, event.server)
        job = attempt.job._replace(request_id=event.request_id)
        attempt = attempt._replace(job=job)
        self._jobs[job.request_id] = owner, attempt, event
        if engine.take(job, self.now) is not None:
            self._start(engine, job)

    def _start(self, engine: SimulatedEngine, job: Job) -> None:
        first, total = engine.run(job)
        first_at = self.now + first
        self.schedule.after(total, lambda: self._finish(engine, job, first_at))

    def _finish(self, engine: SimulatedEngine, job: Job, first_at: float) -> None:
        if job.request_id not in self._jobs:
            return
        owner, attempt, event = self._jobs.pop(job.request_id)
        next_job = engine.finish(job, self.now)
        if next_job is not None:
            self._start(engine, next_job)
        if owner.is_alive:
            for action in owner.decisions.dispatching.finish(
                event.request_id, self.now
            ):
                owner.kernel.post(action, self.now)
        self._end(
            Outcome(
                attempt.work, None, engine.name, attempt.arrived_at, first_at, self.now
            )
        )

    def _fail(self, attempt: Attempt, kind: ErrorKind) -> None:
        if attempt.plan.record_failure(attempt.offer, kind, self.now):
            self._next_offer(
                attempt.work,
                attempt.job,
                attempt.entry,
                attempt.plan,
                attempt.arrived_at,
                kind,
            )
            return
        self._end(
            Outcome(attempt.work, kind, "", attempt.arrived_at, self.now, self.now)
        )

    def _end(self, outcome: Outcome) -> None:
        self.outcomes.append(outcome)
        self.on_outcome(outcome)

    def hint(self, server: str) -> ContextHint:
        """Return the context hint that an answer of a server carries."""
        return ContextHint(server, self._incarnations[server])

    def run(self, seconds: float) -> None:
        """Advance the simulation by some seconds."""
        self.schedule.run_until(self.now + seconds)


def _ignore_grant(owner: SimulatedHost, server: str) -> None:
    return


def _ignore_outcome(outcome: Outcome) -> None:
    return
