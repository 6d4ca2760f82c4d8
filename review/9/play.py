"""Case 9: the store turns three of nine machines away, and nobody watches it any more.

It answers all others. The machines that are turned away are those that ask for the
configuration first, as its watchers do. Then the operator takes a key away.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_two import Rig, call, make_configuration, make_route, run_case

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
ROUTES = [make_route("book", "non_idempotent", "returns-app")]
HOSTS = 9
# A share of 0.35 at most, for 9 s at most.
TURNED_AWAY = 3
AWAY_S = 9.0
CONTACT_S, CONFIG_APPLY_S = 3.0, 2.0


def configure(version: int, keys: list[str]) -> dict:
    tenants = [{"name": "hule930", "api-keys": keys, "priority": 1}]
    return make_configuration(version, ROUTES, ["returns-app"], tenants)


async def send(rig: Rig, host: int, key: str) -> str:
    request_id = rig.make_id()
    headers = {
        "Host": "ficu95.example",
        "X-Rosemarystream-Attempt-Id": request_id,
        "X-Rosemarystream-Deadline-Ms": "1500",
        "Api-Key": key,
    }
    front = rig.hosts[host].front
    reply = await call(front, "POST", "/book/1", headers, b"tin", wait_s=3.0)
    rig.record.write(
        f"caller: {request_id} with key {key} to {rig.hosts[host].name}:"
        f" {reply.status or reply.error}"
    )
    return request_id


async def play(rig: Rig) -> bool:
    for number in range(HOSTS):
        rig.add_host(f"edge-bergen-a-{number + 1}", "bergen-a")
    for number in (1, 2):
        rig.add_server(f"i-{number}", "returns-app", "bergen-a")
    rig.store.write("config", "main", configure(3, KEYS))
    await rig.start()
    await asyncio.sleep(5.0)
    away: dict[str, float] = {}
    ends_at = time.monotonic() + AWAY_S

    def refuses(called: str, kind: str) -> bool:
        if time.monotonic() >= ends_at:
            return False
        if kind == "config" and called not in away and len(away) < TURNED_AWAY:
            away[called] = time.monotonic()
            names = [host.name for host in rig.hosts if host.store_ip == called]
            rig.record.write(f"store: turns {names} away from now on, with 503")
        return called in away

    if rig.has_trouble:
        rig.store.refuses = refuses
    await asyncio.sleep(CONTACT_S)
    rig.store.write("config", "main", configure(8, KEYS[1:]))
    acknowledged = time.monotonic()
    rig.record.write(f"operator: version 8 acknowledged, without key {KEYS[0]}")
    await asyncio.sleep(CONFIG_APPLY_S + 0.1)
    sent = {}
    # The machines that the store serves all the time, so they are in touch.
    for _ in range(3):
        for number, host in enumerate(rig.hosts):
            if host.store_ip not in away:
                request_id = await send(rig, number, KEYS[0])
                sent[request_id] = time.monotonic() - acknowledged
        await asyncio.sleep(0.5)
    if rig.has_trouble:
        rig.record.write(
            f"store: {len(away)} of {HOSTS} machines were turned away,"
            f" {ends_at - time.monotonic():.1f} s before the end of the disruption"
        )
    ran = {request_id for s in rig.servers for _, request_id, _ in s.arrivals}
    late = [round(after, 1) for request_id, after in sent.items() if request_id in ran]
    rig.record.write(
        f"CONFIG: {len(late)} of {len(sent)} requests ran with the key that was taken"
        f" away, sent through machines in touch; up to {max(late, default=0)} s after"
        f" the acknowledgement, {CONFIG_APPLY_S} s are allowed"
    )
    return not late


run_case(__file__, play)
