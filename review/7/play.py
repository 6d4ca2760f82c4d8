"""Case 7: answers of the store are lost, and leaving servers go on getting requests.

The hosts that watch the store lose one answer each to the watch of the servers. The
disruption lasts 2 s. Over three seconds later a server reports `draining`.
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
LOSS_S = 2.0
MOST_LOST = 0.35
# Callers come in groups, with pauses of a little over the time to drain.
PAUSE_S = 2.3
CALLERS = 18
# Time for which a leaving server serves on after it has drained.
EXIT_S = 0.36
WATCH_OF_SERVERS = "/v1/objects/servers?watch="


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


async def lose_answers(rig: Rig) -> None:
    """Lose one answer to each watch of the servers, in the second half of the time."""
    middle = time.monotonic() + LOSS_S / 2
    answers = {True: 0, False: 0}

    def loses(method: str, target: str, called: str) -> bool:
        is_lost = time.monotonic() > middle and target.startswith(WATCH_OF_SERVERS)
        answers[is_lost] += 1
        return is_lost

    rig.store.loses = loses
    await asyncio.sleep(LOSS_S)
    rig.store.loses = lambda *call: False
    share = answers[True] / max(1, sum(answers.values()))
    rig.record.write(
        f"store: {answers[True]} answers of {sum(answers.values())} were lost in"
        f" {LOSS_S} s, a share of {share:.2f}; none from now on"
    )
    if not answers[True] or share > MOST_LOST:
        raise CannotRunError("the answers that were lost aren't those of the case")


async def play(rig: Rig) -> bool:
    for number in (1, 2, 3):
        rig.add_host(f"edge-bergen-a-{number}", "bergen-a")
    for number in (1, 2, 3, 4):
        rig.add_server(f"i-{number}", "returns-app", "bergen-a", slots=6, work_s=0.1)
    tenants = [{"name": "hule930", "api-keys": [KEY], "priority": 1}]
    document = make_configuration(3, ROUTES, ["returns-app"], tenants)
    rig.store.write("config", "main", document)
    await rig.start()
    await asyncio.sleep(4.0)
    await send_group(rig)
    if rig.has_trouble:
        await lose_answers(rig)
    else:
        await asyncio.sleep(LOSS_S)
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
