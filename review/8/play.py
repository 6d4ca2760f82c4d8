"""Case 8: after a cut inside a zone has healed, two hosts go on giving permissions.

Two of seven hosts of one zone are cut off from the others for a few seconds; the store,
the servers and the callers reach all of them. Long after that a server names a limit.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_two import PEER, Cut, Rig, Server, call, make_configuration, make_route
from rig_two import run_case

KEY = "n2ctnfzs989anu6wsjnb"
ROUTES = [make_route("look", "idempotent", "returns-app")]
CONTACT_S = 3.0
CUT_S = 5.5
# A share of 0.3 at most.
HOSTS, CUT_OFF = 7, 2
# Requests a second that a server takes of all machines together, and those of callers.
LIMIT_PER_S = 10.0
CALLS_PER_S = 80.0
MEASURED_S = 12.0
WINDOW_S = 4.0
# The rule: in some 4 s more than one and a half times what the limit allows, + 5.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
SETTLED_S = 0.5
PORTS = [PEER, PEER + 40]


class LimitedServer(Server):
    """A server that names a limit in its answers from a moment on."""

    limit_per_s: float | None = None
    first_named_at = 0.0

    def __init__(self, *positional, **named) -> None:
        super().__init__(*positional, **named)
        self.counted: list[float] = []
        # To which host the callers sent each request, and when that host first passed
        # on an answer with the limit.
        self.sent_to: dict[str, str] = {}
        self.named_to: dict[str, float] = {}

    async def work(self, request_id, headers, said, reader, writer) -> None:
        now = time.monotonic()
        machine = self.sent_to[request_id]
        told_at = self.named_to.get(machine)
        if told_at is not None and now >= told_at + SETTLED_S:
            self.counted.append(now)
        await asyncio.sleep(self.work_s)
        if self.limit_per_s is not None:
            said["Server-Limit"] = str(self.limit_per_s)
            self.first_named_at = self.first_named_at or time.monotonic()
            self.named_to.setdefault(machine, time.monotonic())
        await super().work(request_id, headers, said, reader, writer)


def find_most(times: list[float], since: float) -> int:
    """Return the most requests in some 4 s after a moment."""
    counted = [at for at in times if at >= since]
    return max(
        (sum(begin <= at < begin + WINDOW_S for at in counted) for begin in counted),
        default=0,
    )


async def send(rig: Rig, host: int, statuses: dict[int, int]) -> None:
    request_id = rig.make_id()
    for server in rig.servers:
        server.sent_to[request_id] = rig.hosts[host].name
    headers = {
        "Host": "ficu95.example",
        "X-Rosemarystream-Attempt-Id": request_id,
        "X-Rosemarystream-Deadline-Ms": "1500",
        "Api-Key": KEY,
    }
    front = rig.hosts[host].front
    reply = await call(front, "GET", "/look/1", headers, wait_s=3.0)
    statuses[reply.status] = statuses.get(reply.status, 0) + 1


async def send_for(rig: Rig, seconds: float) -> None:
    statuses: dict[int, int] = {}
    tasks = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        host = random.randrange(len(rig.hosts))
        tasks.append(asyncio.create_task(send(rig, host, statuses)))
        await asyncio.sleep(random.expovariate(CALLS_PER_S))
    await asyncio.gather(*tasks)
    rig.record.write(f"callers: answers by status {dict(sorted(statuses.items()))}")


async def play(rig: Rig) -> bool:
    for number in range(HOSTS):
        port = PORTS[number < CUT_OFF]
        rig.add_host(f"edge-bergen-a-{number + 1}", "bergen-a", peer_port=port)
    for number in (1, 2):
        rig.add_server(
            f"i-{number}", "returns-app", "bergen-a", kind=LimitedServer, slots=64
        )
    tenants = [{"name": "hule930", "api-keys": [KEY], "priority": 1}]
    document = make_configuration(3, ROUTES, ["returns-app"], tenants)
    rig.store.write("config", "main", document)
    cut = Cut()
    await cut.start(rig.hosts, PORTS)
    await rig.start()
    await asyncio.sleep(4.0)
    if rig.has_trouble:
        cut.is_cut = True
        rig.record.write(f"hosts 1 and 2 are cut off from the others for {CUT_S} s")
    await asyncio.sleep(CUT_S)
    cut.is_cut = False
    rig.record.write(f"there is no cut any more, {cut.dropped} datagrams were dropped")
    await asyncio.sleep(2 * CONTACT_S)
    for server in rig.servers:
        server.limit_per_s = LIMIT_PER_S
    rig.record.write(f"the servers name a limit of {LIMIT_PER_S} a second each")
    await send_for(rig, CONTACT_S + MEASURED_S)
    held = True
    for server in rig.servers:
        most = find_most(server.counted, server.first_named_at + CONTACT_S)
        rig.record.write(
            f"LIMIT: {server.name} got up to {most} requests in {WINDOW_S} s, from"
            f" {CONTACT_S} s after it named its limit; {ALLOWED} are allowed"
        )
        held &= most <= ALLOWED
    return held


run_case(__file__, play)
