"""Plain routers to compare with: each sends straight to an engine."""

from abc import ABC, abstractmethod
from itertools import count
from math import ceil
from random import Random

from bench.engines import FakeEngine, Job
from bench.world import DrivenHost, Outcome, World
from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.models.request import Work

EXCHANGE_SECONDS = 1.0


class DirectPolicy(ABC):
    """How a router that sees only its own sliver picks an engine.

    Parameters
    ----------
    world : World
        Engines and clock; their hosts' decisions are not used.
    random : Random
        Source of all chance.
    """

    name: str
    uses_priorities = False

    def __init__(self, *, world: World, random: Random) -> None:
        self.world = world
        self.random = random
        self.own: dict[tuple[str, str], int] = {}

    @abstractmethod
    def choose(self, router: str, work: Work) -> str:
        """Return the name of an engine."""

    def own_load(self, router: str, engine: str) -> int:
        """Return how many requests a router has at an engine."""
        return self.own.get((router, engine), 0)


class RandomPolicy(DirectPolicy):
    """Any engine."""

    name = "random"

    def choose(self, router: str, work: Work) -> str:
        """Return a random engine."""
        return self.random.choice(sorted(self.world.engines))


class RoundRobinPolicy(DirectPolicy):
    """One after the other, first come first served, no ranks."""

    name = "round robin"

    def __init__(self, *, world: World, random: Random) -> None:
        super().__init__(world=world, random=random)
        self._next = {name: count(i) for i, name in enumerate(sorted(world.hosts))}

    def choose(self, router: str, work: Work) -> str:
        """Return the next engine of a router."""
        names = sorted(self.world.engines)
        return names[next(self._next.setdefault(router, count())) % len(names)]


class LeastLoadedPolicy(DirectPolicy):
    """The engine with the least late-reported plus own load."""

    name = "least loaded"

    def choose(self, router: str, work: Work) -> str:
        """Return the engine that seems least loaded."""
        engines = self.world.engines
        return min(
            sorted(engines),
            key=lambda name: (
                max(
                    engines[name].reported(self.world.now), self.own_load(router, name)
                ),
                self.random.random(),
            ),
        )


class AlonePolicy(DirectPolicy):
    """Each router alone: rendezvous hashing under its own share of the bound."""

    name = "routers alone"
    uses_priorities = True
    multiple = 1.5

    def choose(self, router: str, work: Work) -> str:
        """Return the first engine in hash order below this router's bound."""
        names = order_candidates(work.affinity_key, sorted(self.world.engines))
        total = sum(self.own_load(router, name) for name in names)
        bound = max(1, ceil(self.multiple * (total + 1) / len(names)))
        return next(n for n in names if self.own_load(router, n) < bound)


class TablePolicy(DirectPolicy):
    """Exchanged load tables: everybody's loads, some moments old."""

    name = "load tables"
    uses_priorities = True
    multiple = 1.5

    def __init__(self, *, world: World, random: Random) -> None:
        super().__init__(world=world, random=random)
        self._table: dict[tuple[str, str], int] = {}
        self._exchange()

    def _exchange(self) -> None:
        self._table = dict(self.own)
        self.world.schedule.after(EXCHANGE_SECONDS, self._exchange)

    def _load(self, router: str, engine: str) -> int:
        others = sum(
            load
            for (other, name), load in self._table.items()
            if name == engine and other != router
        )
        return others + self.own_load(router, engine)

    def choose(self, router: str, work: Work) -> str:
        """Return the first engine in hash order below the believed bound."""
        names = order_candidates(work.affinity_key, sorted(self.world.engines))
        loads = {name: self._load(router, name) for name in names}
        bound = max(1, ceil(self.multiple * (sum(loads.values()) + 1) / len(names)))
        below = (name for name in names if loads[name] < bound)
        return next(below, min(names, key=loads.__getitem__))


POLICIES = (RandomPolicy, RoundRobinPolicy, LeastLoadedPolicy, AlonePolicy, TablePolicy)


class DirectRouters:
    """Carries requests straight from a router to the engine it picked."""

    def __init__(self, *, world: World, policy: DirectPolicy) -> None:
        self._world = world
        self._policy = policy
        self._jobs: dict[str, tuple[str, Work, float]] = {}

    def send(self, entry: DrivenHost, work: Work, job: Job) -> None:
        """Send a request of a caller."""
        router = entry.me.name
        name = self._policy.choose(router, work)
        if not self._policy.uses_priorities:
            job = job._replace(priority=0)
        key = router, name
        self._policy.own[key] = self._policy.own.get(key, 0) + 1
        self._jobs[job.request_id] = router, work, self._world.now
        engine = self._world.engines[name]
        if engine.take(job, self._world.now) is not None:
            self._start(engine, job)

    def _start(self, engine: FakeEngine, job: Job) -> None:
        first, total = engine.run(job)
        first_at = self._world.now + first
        self._world.schedule.after(total, lambda: self._finish(engine, job, first_at))

    def _finish(self, engine: FakeEngine, job: Job, first_at: float) -> None:
        router, work, arrived_at = self._jobs.pop(job.request_id)
        following = engine.finish(job, self._world.now)
        if following is not None:
            self._start(engine, following)
        self._policy.own[router, engine.name] -= 1
        outcome = Outcome(
            work, None, engine.name, arrived_at, first_at, self._world.now
        )
        self._world.outcomes.append(outcome)
        self._world.on_outcome(outcome)
