"""Benchmark of processor time per decision and memory of the state, by fleet size."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Any

from bench.workloads import RANKS
from bench.world import World
from rosemarystream._internal.decisions.queueing import FairQueue
from rosemarystream._internal.models.configuration import (
    Pool,
    PoolKind,
    Sheet,
    Workspace,
)
from rosemarystream._internal.models.request import Work

ENGINES = (6, 700, 5_600)
WORKSPACES = (10, 47_000)
MODELS = 8
REPEATS = 2_000
QUEUE_REQUESTS = 2_000


def _make_work(number: int, *, pool: str, workspace: str) -> Work:
    return Work(
        request_id=f"r{number}",
        workspace=workspace,
        pool=pool,
        rank="standard",
        affinity_key=f"chat-{number}",
        cost=500,
        context_tokens=400,
        deadline=1e12,
        idempotent=True,
        hint=None,
        body=b"",
    )


def _make_sheet(workspaces: int) -> Sheet:
    pools = tuple(
        Pool(f"lm{number}", PoolKind.MODEL, "lm", "1", 1.5, 200, True)
        for number in range(MODELS)
    )
    workspace_rows = tuple(
        Workspace(f"workspace-{number}", "0" * 64, "urgent", 1.0)
        for number in range(workspaces)
    )
    return Sheet(ranks=RANKS, pools=pools, workspaces=workspace_rows)


def _make_world(engines: int, workspaces: int) -> tuple[World, int]:
    """Return a settled world of one region and the bytes of one host's state."""
    world = World()
    for number in range(engines):
        region = f"r{number % 7}"
        centre = f"dc{number % 7}"
        pool = f"lm{number // 7 % MODELS if engines > MODELS else 0}"
        world.add_engine(f"e{number:04d}", centre, pool=pool, slots=200, region=region)
    world.publish(_make_sheet(workspaces))
    gc.collect()
    tracemalloc.start()
    world.add_host("h0", "dc0", "r0")
    world.run(5.0)
    gc.collect()
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return world, state_bytes


def _measure(operation: Callable[[int], Any]) -> float:
    gc.collect()
    gc.disable()
    try:
        started = time.perf_counter()
        for number in range(REPEATS):
            operation(number)
        return (time.perf_counter() - started) / REPEATS * 1e6
    finally:
        gc.enable()


def _measure_world(engines: int, workspaces: int) -> dict[str, Any]:
    world, state_bytes = _make_world(engines, workspaces)
    decisions = next(iter(world.hosts.values())).decisions
    group = next(name for name in decisions.routing.groups if name.data_centre == "dc0")

    def make_work(number: int) -> Work:
        name = f"workspace-{number % workspaces}"
        return _make_work(number, pool=group.pool, workspace=name)

    works = [make_work(number) for number in range(REPEATS)]
    route = _measure(lambda n: decisions.routing.order_groups(works[n], world.now))

    def admit_and_finish(number: int) -> None:
        decisions.dispatching.submit(
            works[number], group, may_queue=False, now=world.now
        )
        decisions.dispatching.finish(works[number].request_id, world.now)

    return {
        "engines": engines,
        "workspaces": workspaces,
        "route, us": route,
        "admit and finish, us": _measure(admit_and_finish),
        "state of a host, MB": state_bytes / 1e6,
    }


def _measure_queue(workspaces: int) -> dict[str, Any]:
    queue = FairQueue(limit=10**9, get_weight=lambda name: 1.0)
    random = Random(1)
    works = [
        _make_work(n, pool="lm", workspace=f"w{random.randrange(workspaces)}")
        for n in range(QUEUE_REQUESTS + REPEATS)
    ]
    for work in works[:QUEUE_REQUESTS]:
        queue.push(work)

    def push_and_pop(number: int) -> None:
        queue.push(works[QUEUE_REQUESTS + number])
        queue.pop()

    return {
        "workspaces": workspaces,
        "waiting": QUEUE_REQUESTS,
        "push and pop, us": _measure(push_and_pop),
    }


def _measure_claims() -> list[dict[str, Any]]:
    """Return the cost of encoding and decoding a claim shard, by its size.

    Beside its calls to the store, this is all that a claim costs a host.
    """
    import msgspec

    from rosemarystream._internal.decisions.claims import ClaimRecord

    rows = []
    for records in (10, 100, 1_000, 5_000):
        shard = {
            f"{number:032x}": ClaimRecord(f"{number:032x}", 1.8e9)
            for number in range(records)
        }
        data = msgspec.json.encode(shard)
        started = time.perf_counter()
        for _ in range(20):
            msgspec.json.encode(shard)
            msgspec.json.decode(data, type=dict[str, ClaimRecord])
        elapsed = (time.perf_counter() - started) / 20
        rows.append(
            {
                "claims in a shard": records,
                "bytes a claim": len(data) / records,
                "encode and decode, ms": elapsed * 1e3,
            }
        )
    return rows


def run(seed: int) -> dict[str, list[dict[str, Any]]]:
    """Return the tables of this benchmark; times depend on the machine."""
    decisions = [
        _measure_world(engines, workspaces)
        for engines in ENGINES
        for workspaces in WORKSPACES
    ]
    queues = [_measure_queue(workspaces) for workspaces in (10, 47_000)]
    return {
        "cost of a decision and size of a host's state": decisions,
        "cost of a fair queue": queues,
        "cost of a claim shard": _measure_claims(),
    }
