"""Benchmark of cache reuse and load skew.

Compares the owners with the baseline routers and with the best possible reuse.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from bench.baselines import POLICIES, DirectPolicy, DirectRouters
from bench.engines import Job, PrefixCache
from bench.report import find_percentile
from bench.workloads import (
    CACHE_TOKENS,
    DATA_CENTRES,
    SUPPLIERS,
    Supplier,
    Traffic,
    make_world,
    run_workload,
)
from bench.world import SimulatedHost, World
from rosemarystream._internal.models.request import Work

DURATION_SECONDS = 240.0
RATE = 9.0
CHATS = 500
SAMPLE_SECONDS = 0.25
MIN_MEAN_LOAD = 1.0
LONG_PROMPT_TOKENS = 4_000
WARM_UP_SECONDS = 60.0


class ReuseMeter:
    """Samples the load skew and counts cached tokens, real and ideal.

    The ideal comes from one shared cache with the memory of all engines together:
    the reuse that a router with complete knowledge would reach.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.skews: list[float] = []
        self.prompt = {"all": 0, "long": 0}
        self.cached = {"all": 0, "long": 0}
        self.ideal_cached = 0
        self._shared = PrefixCache(limit=CACHE_TOKENS * len(world.engines))
        self._start = world.now
        for engine in world.engines.values():
            self._instrument(engine)
        self._sample_skew()

    def _instrument(self, engine: Any) -> None:
        run, finish = engine.run, engine.finish

        def measured_run(job: Job) -> tuple[float, float]:
            cached = min(engine.cache.match(job.chat), job.prompt_tokens)
            self._count_tokens(job, cached)
            return run(job)

        def measured_finish(job: Job, now: float) -> Job | None:
            self._shared.store(job.chat, job.prompt_tokens + job.answer_tokens)
            return finish(job, now)

        engine.run, engine.finish = measured_run, measured_finish

    def _count_tokens(self, job: Job, cached: int) -> None:
        if self._world.now < self._start + WARM_UP_SECONDS:
            return
        self.ideal_cached += min(self._shared.match(job.chat), job.prompt_tokens)
        names = ["all"]
        if job.prompt_tokens >= LONG_PROMPT_TOKENS:
            names.append("long")
        for name in names:
            self.prompt[name] += job.prompt_tokens
            self.cached[name] += cached

    def _sample_skew(self) -> None:
        loads = [engine.carried for engine in self._world.engines.values()]
        mean = sum(loads) / len(loads)
        if mean >= MIN_MEAN_LOAD:
            self.skews.append(max(loads) / mean)
        self._world.schedule.after(SAMPLE_SECONDS, self._sample_skew)

    def reuse(self, name: str) -> float:
        """Return the cached share of the prompt tokens, of all or of long prompts."""
        return self.cached[name] / max(1, self.prompt[name])


def leave_undisturbed(world: World, random: Random) -> None:
    """Change nothing: the undisturbed case."""


def flap_engine(world: World, random: Random) -> None:
    """Remove one engine from the host list and add it back, alternately every 20 s."""
    row = world.servers["e1"]

    def change(present: bool) -> None:
        if present:
            world.servers["e1"] = row
        else:
            world.servers.pop("e1", None)
        world.publish()
        world.schedule.after(20.0, lambda: change(not present))

    world.schedule.after(20.0, lambda: change(False))


def replace_hosts(world: World, random: Random) -> None:
    """Kill one host every 20 s and replace it 5 s later."""

    def kill(number: int) -> None:
        name = f"h{number % 9}"
        if name in world.hosts:
            world.kill_host(name)
            centre = DATA_CENTRES[number % 9 % 3]
            world.schedule.after(5.0, lambda: world.add_host(name, centre))
        world.schedule.after(20.0, lambda: kill(number + 4))

    world.schedule.after(20.0, lambda: kill(0))


Disturbance = Callable[[World, Random], None]
DISTURBANCES: dict[str, Disturbance] = {
    "steady": leave_undisturbed,
    "engine flaps": flap_engine,
    "hosts replaced": replace_hosts,
}


def measure(
    supplier: Supplier,
    *,
    seed: int,
    with_hints: bool = True,
    policy: type[DirectPolicy] | None = None,
    disturb: Disturbance = leave_undisturbed,
) -> dict[str, Any]:
    """Run one workload and return its row of the table."""
    random = Random(seed)
    world = make_world(supplier)
    meter = ReuseMeter(world)
    traffic = Traffic(
        random=random, supplier=supplier, chats=CHATS, with_hints=with_hints
    )
    send: Callable[[SimulatedHost, Work, Job], None] | None = None
    if policy is not None:
        routers = DirectRouters(
            world=world, policy=policy(world=world, random=Random(seed))
        )
        send = routers.send
    disturb(world, random)
    run_workload(
        world,
        traffic,
        random,
        rate=lambda elapsed: RATE,
        seconds=DURATION_SECONDS,
        send=send,
    )
    answered = [o for o in world.outcomes if o.kind is None]
    waits = [o.first_token_at - o.arrived_at for o in answered]
    return {
        "reuse": meter.reuse("all"),
        "reuse long": meter.reuse("long"),
        "best possible": meter.ideal_cached / max(1, meter.prompt["all"]),
        "skew p50": find_percentile(meter.skews, 0.5),
        "skew p95": find_percentile(meter.skews, 0.95),
        "skew max": max(meter.skews, default=0.0),
        "first token p95 s": find_percentile(waits, 0.95),
        "answered": len(answered),
        "refused": len(world.outcomes) - len(answered),
    }


def run(seed: int) -> dict[str, list[dict[str, Any]]]:
    """Return the tables of this benchmark."""
    tables = {}
    for name, supplier in SUPPLIERS.items():
        rows = []
        for policy in POLICIES:
            row = measure(supplier, seed=seed, policy=policy)
            rows.append({"routers": policy.name, "state": "steady", **row})
        for with_hints in (False, True):
            label = "owners, hints" if with_hints else "owners, no hints"
            for state, disturb in DISTURBANCES.items():
                row = measure(
                    supplier, seed=seed, with_hints=with_hints, disturb=disturb
                )
                rows.append({"routers": label, "state": state, **row})
        tables[f"cache reuse and load skew, {name}"] = rows
    return tables
