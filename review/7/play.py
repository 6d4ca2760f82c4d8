"""Case 7: the store is silent for two of six machines, and leaving servers stay in use.

The two are those that watch it. What it would have answered them meanwhile is lost.
Over three seconds after the disruption a server reports `draining`.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_two import CannotRunError, Rig, call, make_configuration, make_route, run_case

KEY = "n2ctnfzs989anu6wsjnb"
ROUTES = [make_route("book", "non_idempotent", "returns-app")]
CONTACT_S, DRAIN_S = 3.0, 2.0
# A share of 0.35 of the machines at most, for 9 s at most.
HOSTS, SILENT_HOSTS = 6, 2
SILENT_S = 1.5
# Callers come in groups, with pauses of a little over the time to drain.
PAUSE_S = 2.3
CALLERS = 18
# Time for which a leaving server serves on after it has drained.
EXIT_S = 0.36


async def send(rig: Rig, host: int) -> None:
    request_id = rig.make_id()
    headers = {
        "Host": "ficu95.example",
        "X-Rosemarystream-Attempt-Id": request_id,
        "X-Rosemarystream-Deadline-Ms": "1500",
        "Api-Key": KEY,
    }
    reply = await call(
        rig.hosts[host].front, "POST", "/book/1", headers, b"tin", wait_s=3.0
    )
    rig.record.write(
        f"caller: {request_id} to {rig.hosts[host].name}: {reply.status or reply.error}"
    )


async def send_group(rig: Rig) -> None:
    hosts = len(rig.hosts)
    await asyncio.gather(*(send(rig, number % hosts) for number in range(CALLERS)))


async def silence(rig: Rig) -> None:
    """Answer nothing to the two machines that ask for the configuration first."""
    silent: list[str] = []

    def loses(method: str, target: str, called: str) -> bool:
        is_new = target.startswith("/v1/objects/config") and called not in silent
        if is_new and len(silent) < SILENT_HOSTS:
            silent.append(called)
            names = [host.name for host in rig.hosts if host.store_ip == called]
            rig.record.write(f"store: is silent for {names} from now on")
        return called in silent

    rig.store.loses = loses
    await asyncio.sleep(SILENT_S)
    rig.store.loses = lambda *call: False
    rig.record.write(f"store: answers all calls from now on, after {SILENT_S} s")
    if len(silent) != SILENT_HOSTS:
        raise CannotRunError("the store was not asked by two machines")


async def play(rig: Rig) -> bool:
    for number in range(1, HOSTS + 1):
        rig.add_host(f"edge-bergen-a-{number}", "bergen-a")
    for number in (1, 2, 3, 4):
        rig.add_server(f"i-{number}", "returns-app", "bergen-a", slots=6, work_s=0.1)
    tenants = [{"name": "hule930", "api-keys": [KEY], "priority": 1}]
    document = make_configuration(3, ROUTES, ["returns-app"], tenants)
    rig.store.write("config", "main", document)
    await rig.start()
    await asyncio.sleep(6.0)
    await send_group(rig)
    if rig.has_trouble:
        await silence(rig)
    else:
        await asyncio.sleep(SILENT_S)
    await asyncio.sleep(CONTACT_S + 0.1)
    await send_group(rig)
    leaving = rig.servers[0]
    leaving.state, leaving.is_leaving = "draining", True
    leaving.register()
    acknowledged = time.monotonic()
    rig.record.write(f"store: the report of {leaving.name} as draining is acknowledged")
    await asyncio.sleep(PAUSE_S)
    group = asyncio.create_task(send_group(rig))
    # The server serves a little longer than it has to, and exits.
    await asyncio.sleep(acknowledged + DRAIN_S + EXIT_S - time.monotonic())
    rig.record.write(f"{leaving.name} exits, {leaving.running} requests run there")
    await leaving.stop()
    leaving.end_beats()
    rig.store.remove("servers", leaving.name)
    await group
    await asyncio.sleep(PAUSE_S)
    await send_group(rig)
    late = [
        round(at - acknowledged, 3)
        for at, _, _ in leaving.arrivals
        if at > acknowledged + DRAIN_S
    ]
    rig.record.write(
        f"DRAIN: {len(late)} requests reached {leaving.name} over {DRAIN_S} s after the"
        f" acknowledgement, after {late} s"
    )
    return not late


run_case(__file__, play)
