"""Trial, no case: hosts that are gone for good keep all others from watching the store.

It takes longer than a case may: a host forgets others after 120 s. Machines that were
removed long ago are in the store's list of hosts, as nobody takes them out of it.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_two import Rig, call, make_configuration, make_route, run_case

KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
ROUTES = [make_route("look", "idempotent", "returns-app")]
# Of the hosts 1 to 11 of this zone, 5 and 10 are the first in the order that assigns
# roles. They were its collectors, so they are in the list, and were removed.
HOSTS, GONE = (1, 2, 3, 4, 9), (5, 10)
CONFIG_APPLY_S = 2.0
# The first look at the list of hosts after those that are gone were forgotten.
LOOK_S = 138.0
MOST_S = 160.0


def configure(version: int, keys: list[str]) -> dict:
    tenants = [{"name": "hule930", "api-keys": keys}]
    return make_configuration(version, ROUTES, ["returns-app"], tenants)


async def send(rig: Rig, host: int) -> int:
    headers = {
        "Host": "ficu95.example",
        "X-Rosemarystream-Attempt-Id": rig.make_id(),
        "X-Rosemarystream-Deadline-Ms": "1500",
        "Api-Key": KEYS[0],
    }
    front = rig.hosts[host].front
    return (await call(front, "GET", "/look/1", headers, wait_s=3.0)).status


async def play(rig: Rig) -> bool:
    for number in HOSTS:
        rig.add_host(f"edge-bergen-a-{number}", "bergen-a")
    rig.add_server("i-1", "returns-app", "bergen-a")
    for number in GONE:
        spec = {"data_centre": "bergen-a", "ip": rig.take_ip()}
        rig.store.write("rosemarystream-hosts", f"edge-bergen-a-{number}", spec)
    rig.store.write("config", "main", configure(3, KEYS))
    called_at = [0.0]

    def note(called: str, kind: str) -> bool:
        if kind == "config":
            called_at[0] = time.monotonic()
        return False

    rig.store.refuses = note
    await rig.start()
    began = time.monotonic()
    await asyncio.sleep(LOOK_S)
    # A call waits for 0.8 s at the store, and notes itself all the while.
    while time.monotonic() < called_at[0] + 0.5:
        if time.monotonic() > began + MOST_S:
            rig.record.write("the store was watched all the time")
            return True
        await asyncio.sleep(0.02)
    rig.store.write("config", "main", configure(8, KEYS[1:]))
    acknowledged = time.monotonic()
    rig.record.write("nobody watches; the operator takes a key away")
    await asyncio.sleep(CONFIG_APPLY_S + 0.05)
    late = 0
    while time.monotonic() < acknowledged + 5.0:
        for host in range(len(HOSTS)):
            after_s = time.monotonic() - acknowledged
            if await send(rig, host) == 200:
                late += 1
                rig.record.write(
                    f"host {host + 1} served the key after {after_s:.2f} s"
                )
    return not late


run_case(__file__, play, most_s=200.0)
