"""Benchmark of fairness: small workspaces beside one with fifty times their rate."""

from random import Random
from typing import Any

from bench.baselines import DirectRouters, RoundRobinPolicy
from bench.report import find_percentile
from bench.workloads import SUPPLIERS, Supplier, Traffic, make_world, run_workload
from bench.world import Outcome, World

DURATION_SECONDS = 90.0
SMALL_RATE = 0.5
GREEDY_FACTOR = 50.0
GREEDY = "w0"
CHATS_PER_WORKSPACE = 300
WARM_UP_SECONDS = 15.0
TARGET_SECONDS = 1.0


def run_once(
    supplier: Supplier, *, seed: int, has_greedy: bool, is_baseline: bool
) -> World:
    """Run all workspaces, with or without the greedy one, and return the world."""
    random = Random(seed)
    world = make_world(supplier)
    traffic = Traffic(random=random, supplier=supplier, chats=3_000)
    names = [f"w{number}" for number in range(10)]
    for number, chat in enumerate(traffic.chats):
        chat.workspace = names[number % 10]
        chat.rank = "standard"
        chat.tokens = min(chat.tokens, 1_500)
    by_name = {
        name: [chat for chat in traffic.chats if chat.workspace == name]
        for name in names
    }
    send = None
    if is_baseline:
        policy = RoundRobinPolicy(world=world, random=Random(seed))
        send = DirectRouters(world=world, policy=policy).send
    small_rate = SMALL_RATE * (len(names) - 1)
    greedy_rate = SMALL_RATE * GREEDY_FACTOR if has_greedy else 0.0
    small = [chat for chat in traffic.chats if chat.workspace != GREEDY]

    def rate(elapsed: float) -> float:
        is_greedy = random.random() < greedy_rate / (greedy_rate + small_rate)
        traffic.chats = by_name[GREEDY] if is_greedy else small
        return greedy_rate + small_rate

    run_workload(world, traffic, random, rate=rate, seconds=DURATION_SECONDS, send=send)
    world.run(60.0)
    return world


def _summarise(world: World) -> dict[str, Any]:
    measured = [o for o in world.outcomes if o.arrived_at >= 6.0 + WARM_UP_SECONDS]
    small = [o for o in measured if o.work.workspace != GREEDY]
    large = [o for o in measured if o.work.workspace == GREEDY]
    in_time = [o for o in small if is_on_target(o)]
    waits = [o.first_token_at - o.arrived_at for o in small if o.kind is None]
    return {
        "small on target": len(in_time) / max(1, len(small)),
        "small first token p50 s": find_percentile(waits, 0.5),
        "small first token p95 s": find_percentile(waits, 0.95),
        "greedy answered": sum(o.kind is None for o in large) / max(1, len(large)),
        "Jain's index": _compute_jain_index(measured),
    }


def is_on_target(outcome: Outcome) -> bool:
    """Return whether the first token came within the target of the rank."""
    wait = outcome.first_token_at - outcome.arrived_at
    return outcome.kind is None and wait <= TARGET_SECONDS


def _compute_jain_index(outcomes: list[Outcome]) -> float:
    """Return Jain's fairness index of the workspaces.

    It is taken over the ratio of the cost served on target to the max-min fair
    share of each workspace, at most 1.
    """
    requested: dict[str, float] = {}
    served: dict[str, float] = {}
    for outcome in outcomes:
        name = outcome.work.workspace
        requested[name] = requested.get(name, 0.0) + outcome.work.cost
        if is_on_target(outcome):
            served[name] = served.get(name, 0.0) + outcome.work.cost
    fair = compute_max_min_shares(requested, sum(served.values()))
    ratios = [min(1.0, served.get(n, 0.0) / fair[n]) for n in requested if fair[n]]
    squares = sum(ratio * ratio for ratio in ratios)
    return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0.0


def compute_max_min_shares(
    requested: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair share of a capacity for each workspace."""
    shares: dict[str, float] = {}
    remaining = capacity
    for index, name in enumerate(sorted(requested, key=requested.__getitem__)):
        equal = remaining / (len(requested) - index)
        shares[name] = min(requested[name], equal)
        remaining -= shares[name]
    return shares


def run(seed: int) -> dict[str, list[dict[str, Any]]]:
    """Return the tables of this benchmark."""
    tables = {}
    for supplier in SUPPLIERS.values():
        rows = []
        for is_baseline, name in ((True, "round robin, FIFO"), (False, "owners")):
            for has_greedy in (False, True):
                world = run_once(
                    supplier, seed=seed, has_greedy=has_greedy, is_baseline=is_baseline
                )
                label = "with greedy x50" if has_greedy else "small ones alone"
                rows.append({"routers": name, "load": label, **_summarise(world)})
        tables[f"small workspaces beside a greedy one, {supplier.name}"] = rows
    return tables
