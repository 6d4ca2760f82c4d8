"""Benchmark of service by rank in floods of the least and most urgent requests."""

from random import Random
from typing import Any

from bench.baselines import DirectRouters, RoundRobinPolicy
from bench.report import find_percentile
from bench.workloads import (
    RANKS,
    SUPPLIERS,
    Supplier,
    Traffic,
    make_world,
    run_workload,
)
from bench.world import Outcome, World

DURATION_SECONDS = 120.0
FLOOD_FROM = 30.0
FLOOD_UNTIL = 90.0
RATE = 12.0
CHATS = 3_000
FLOODS = {"routine x10": ("routine", 10.0), "urgent x3": ("urgent", 3.0)}
ANSWER_TOKENS = 100


def run_flood(
    supplier: Supplier, *, seed: int, rank: str, factor: float, is_baseline: bool
) -> World:
    """Run a workload with a flood of one rank; return the world with its outcomes."""
    random = Random(seed)
    world = make_world(supplier)
    traffic = Traffic(random=random, supplier=supplier, chats=CHATS)
    send = None
    if is_baseline:
        policy = RoundRobinPolicy(world=world, random=Random(seed))
        send = DirectRouters(world=world, policy=policy).send
    flooding = [chat for chat in traffic.chats if chat.rank == rank]
    ordinary = list(traffic.chats)
    share = len(flooding) / len(ordinary)
    extra = RATE * share * (factor - 1)

    def rate(elapsed: float) -> float:
        is_flood = FLOOD_FROM <= elapsed < FLOOD_UNTIL
        weight = extra / (extra + RATE) if is_flood else 0.0
        traffic.chats = flooding if random.random() < weight else ordinary
        return RATE + (extra if is_flood else 0.0)

    run_workload(world, traffic, random, rate=rate, seconds=DURATION_SECONDS, send=send)
    world.run(90.0)
    return world


def summarise(world: World, start: float) -> list[dict[str, Any]]:
    """Return one row per rank for the requests that arrived during the flood."""
    rows = []
    for rank in RANKS:
        measured = [
            o
            for o in world.outcomes
            if o.work.rank == rank.name
            and start + FLOOD_FROM <= o.arrived_at < start + FLOOD_UNTIL
        ]
        rows.append({"rank": rank.name, **_summarise_rank(measured, rank.target_ms)})
    return rows


def _summarise_rank(outcomes: list[Outcome], target_ms: int) -> dict[str, Any]:
    answered = [o for o in outcomes if o.kind is None]
    in_time = [o for o in answered if o.ended_at <= o.work.deadline]
    waits = [o.first_token_at - o.arrived_at for o in answered]
    on_target = [wait for wait in waits if wait * 1000 <= target_ms]
    return {
        "asked": len(outcomes),
        "answered in time": len(in_time) / max(1, len(outcomes)),
        "first token on target": len(on_target) / max(1, len(outcomes)),
        "first token p50 s": find_percentile(waits, 0.5),
        "first token p95 s": find_percentile(waits, 0.95),
        "tokens kept": sum(o.work.cost for o in in_time)
        / max(1, sum(o.work.cost for o in outcomes)),
    }


def _sum_worth(world: World) -> float:
    worth = {rank.name: rank.worth for rank in RANKS}
    return sum(
        worth[o.work.rank]
        for o in world.outcomes
        if o.kind is None and o.ended_at <= o.work.deadline
    )


def run(seed: int) -> dict[str, list[dict[str, Any]]]:
    """Return the tables of this benchmark."""
    tables: dict[str, list[dict[str, Any]]] = {}
    worths = []
    for supplier in SUPPLIERS.values():
        rows = []
        for label, (rank, factor) in FLOODS.items():
            for is_baseline in (True, False):
                name = "round robin, FIFO" if is_baseline else "owners"
                world = run_flood(
                    supplier,
                    seed=seed,
                    rank=rank,
                    factor=factor,
                    is_baseline=is_baseline,
                )
                for row in summarise(world, 6.0):
                    rows.append({"flood": label, "routers": name, **row})
                worths.append(
                    {
                        "supplier": supplier.name,
                        "flood": label,
                        "routers": name,
                        "worth": _sum_worth(world),
                    }
                )
        tables[f"service by rank in a flood, {supplier.name}"] = rows
    tables["worth of answers in time"] = worths
    return tables
