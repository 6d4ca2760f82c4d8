"""Case 6: the last key of a deployment is taken away, and every key passes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_two import Rig, call, make_configuration, make_route, run_case

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"
ROUTES = [
    make_route("book", "non_idempotent", "returns-app"),
    make_route("look", "idempotent", "returns-app"),
]
CONFIG_APPLY_S = 2.0
GAP_S = 1.5
CALLS_PER_HOST = 5


def configure(version: int, keys: list[str]) -> dict:
    tenants = [{"name": "hule930", "api-keys": keys, "priority": 1}]
    return make_configuration(version, ROUTES, ["returns-app"], tenants)


async def send(rig: Rig, host: int, key: str, method: str, path: str) -> str:
    """Send a request with a key; return the number of times that it ran."""
    request_id = rig.make_id()
    headers = {
        "Host": "ficu95.example",
        "X-Rosemarystream-Attempt-Id": request_id,
        "X-Rosemarystream-Deadline-Ms": "1500",
        "Api-Key": key,
    }
    reply = await call(rig.hosts[host].front, method, path, headers, b"tin", wait_s=3.0)
    rig.record.write(
        f"caller: {method} {path} {request_id} with key {key} to"
        f" {rig.hosts[host].name}: {reply.status or reply.error}"
    )
    return request_id


async def play(rig: Rig) -> bool:
    for zone in ("bergen-a", "bergen-b"):
        rig.add_host(f"edge-{zone}-1", zone)
        rig.add_server(f"i-{zone}", "returns-app", zone)
    rig.store.write("config", "main", configure(3, KEYS))
    await rig.start()
    await asyncio.sleep(1.0)
    before = [await send(rig, h, KEYS[0], "POST", "/book/1") for h in (0, 1)]
    before += [await send(rig, h, NEVER_HELD, "POST", "/book/1") for h in (0, 1)]
    left = KEYS
    for version in (8, 13):
        # Without the trouble the operator writes the same keys in new versions.
        left = left[1:] if rig.has_trouble else left
        rig.store.write("config", "main", configure(version, left))
        rig.record.write(f"operator: version {version} acknowledged, keys {left}")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(CONFIG_APPLY_S)
    foreign = []
    dropped = []
    for host in (0, 1):
        for _ in range(CALLS_PER_HOST):
            foreign.append(await send(rig, host, NEVER_HELD, "POST", "/book/1"))
            dropped.append(await send(rig, host, KEYS[0], "GET", "/look/1"))
    ran = {request_id for s in rig.servers for _, request_id, _ in s.arrivals}
    foreign_runs = sum(request_id in ran for request_id in foreign)
    dropped_runs = sum(request_id in ran for request_id in dropped)
    served = sum(request_id in ran for request_id in before[:2])
    rig.record.write(f"before: {served} of 2 requests with a key in force ran")
    rig.record.write(
        f"ROUTE: {foreign_runs} of {len(foreign)} requests ran whose key no"
        " configuration ever held"
    )
    if rig.has_trouble:
        rig.record.write(
            f"CONFIG: {dropped_runs} of {len(dropped)} requests ran with a dropped key,"
            f" sent over {CONFIG_APPLY_S} s after the acknowledgement"
        )
        return not foreign_runs and not dropped_runs
    return not foreign_runs and dropped_runs == len(dropped)


run_case(__file__, play)
