"""Baseline routers to compare with: each sends requests directly to an engine."""

from abc import ABC, abstractmethod
from itertools import count
from math import ceil
from random import Random

from bench.engines import Job, SimulatedEngine
from bench.world import Outcome, SimulatedHost, World
from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.models.request import Work

EXCHANGE_SECONDS = 1.0


class DirectPolicy(ABC):
    """Policy by which a router picks an engine from its own partial view.

    Parameters
    ----------
    world : World
        Engines and clock; their hosts' decisions are not used.
    random : Random
        Random number generator.
    """

    name: str
    uses_priorities = False

    def __init__(self, *, world: World, random: Random) -> None:
        self.world = world
        self.random = random
        self.own_loads: dict[tuple[str, str], int] = {}

    @abstractmethod
    def choose_engine(self, router: str, work: Work) -> str:
        """Return the name of an engine."""

    def get_own_load(self, router: str, engine: str) -> int:
        """Return how many requests a router has at an engine."""
        return self.own_loads.get((router, engine), 0)


class RandomPolicy(DirectPolicy):
    """Picks any engine at random."""

    name = "random"

    def choose_engine(self, router: str, work: Work) -> str:
        """Return a random engine."""
        return self.random.choice(sorted(self.world.engines))


class RoundRobinPolicy(DirectPolicy):
    """Picks engines in turn; engines serve first in, first out, without ranks."""

    name = "round robin"

    def __init__(self, *, world: World, random: Random) -> None:
        super().__init__(world=world, random=random)
        self._next = {name: count(i) for i, name in enumerate(sorted(world.hosts))}

    def choose_engine(self, router: str, work: Work) -> str:
        """Return the next engine of a router."""
        names = sorted(self.world.engines)
        return names[next(self._next.setdefault(router, count())) % len(names)]


class LeastLoadedPolicy(DirectPolicy):
    """Picks the engine with the lowest load.

    The load is the larger of the engine's delayed report and the requests that
    this router has there.
    """

    name = "least loaded"

    def choose_engine(self, router: str, work: Work) -> str:
        """Return the engine with the lowest known load, ties broken at random."""
        engines = self.world.engines
        return min(
            sorted(engines),
            key=lambda name: (
                max(
                    engines[name].get_reported_load(self.world.now),
                    self.get_own_load(router, name),
                ),
                self.random.random(),
            ),
        )


class IndependentPolicy(DirectPolicy):
    """Rendezvous hashing with bounded loads, without exchange between routers.

    Each router computes the load bound from its own requests only.
    """

    name = "routers alone"
    uses_priorities = True
    load_multiple = 1.5

    def choose_engine(self, router: str, work: Work) -> str:
        """Return the first engine in hash order below this router's bound."""
        names = order_candidates(work.affinity_key, sorted(self.world.engines))
        total = sum(self.get_own_load(router, name) for name in names)
        bound = max(1, ceil(self.load_multiple * (total + 1) / len(names)))
        return next(n for n in names if self.get_own_load(router, n) < bound)


class LoadTablePolicy(DirectPolicy):
    """Rendezvous hashing with bounded loads and exchanged load tables.

    Each router knows the loads of all others as of the last exchange.
    """

    name = "load tables"
    uses_priorities = True
    load_multiple = 1.5

    def __init__(self, *, world: World, random: Random) -> None:
        super().__init__(world=world, random=random)
        self._exchanged_loads: dict[tuple[str, str], int] = {}
        self._exchange_loads()

    def _exchange_loads(self) -> None:
        self._exchanged_loads = dict(self.own_loads)
        self.world.schedule.after(EXCHANGE_SECONDS, self._exchange_loads)

    def _estimate_load(self, router: str, engine: str) -> int:
        others = sum(
            load
            for (other, name), load in self._exchanged_loads.items()
            if name == engine and other != router
        )
        return others + self.get_own_load(router, engine)

    def choose_engine(self, router: str, work: Work) -> str:
        """Return the first engine in hash order below the estimated bound."""
        names = order_candidates(work.affinity_key, sorted(self.world.engines))
        loads = {name: self._estimate_load(router, name) for name in names}
        bound = max(
            1, ceil(self.load_multiple * (sum(loads.values()) + 1) / len(names))
        )
        below = (name for name in names if loads[name] < bound)
        return next(below, min(names, key=loads.__getitem__))


POLICIES = (
    RandomPolicy,
    RoundRobinPolicy,
    LeastLoadedPolicy,
    IndependentPolicy,
    LoadTablePolicy,
)


class DirectRouters:
    """Sends requests directly from a router to the engine that its policy picks."""

    def __init__(self, *, world: World, policy: DirectPolicy) -> None:
        self._world = world
        self._policy = policy
        self._jobs: dict[str, tuple[str, Work, float]] = {}

    def send(self, entry: SimulatedHost, work: Work, job: Job) -> None:
        """Send a request of a caller."""
        router = entry.me.name
        name = self._policy.choose_engine(router, work)
        if not self._policy.uses_priorities:
            job = job._replace(priority=0)
        key = router, name
        self._policy.own_loads[key] = self._policy.own_loads.get(key, 0) + 1
        self._jobs[job.request_id] = router, work, self._world.now
        engine = self._world.engines[name]
        if engine.take(job, self._world.now) is not None:
            self._start(engine, job)

    def _start(self, engine: SimulatedEngine, job: Job) -> None:
        first, total = engine.run(job)
        first_at = self._world.now + first
        self._world.schedule.after(total, lambda: self._finish(engine, job, first_at))

    def _finish(self, engine: SimulatedEngine, job: Job, first_at: float) -> None:
        router, work, arrived_at = self._jobs.pop(job.request_id)
        next_job = engine.finish(job, self._world.now)
        if next_job is not None:
            self._start(engine, next_job)
        self._policy.own_loads[router, engine.name] -= 1
        outcome = Outcome(
            work, None, engine.name, arrived_at, first_at, self._world.now
        )
        self._world.outcomes.append(outcome)
        self._world.on_outcome(outcome)
