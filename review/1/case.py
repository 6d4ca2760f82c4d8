"""A late second copy of a refusal is taken for the answer to the next send.

Servers turn requests away for a moment with Retry-After, and one of them answers a few
requests twice; the second answer arrives where the next one is expected.
"""

import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import gevent
from common import (
    STORE_PORT,
    WITH_TROUBLE,
    Client,
    Deployment,
    choose_net,
    make_configuration,
    make_id,
    make_route,
    run_case,
)
from servers import Server, encode

from standins.object_store import ObjectStore

TRAFFIC_S = 75.0
CLIENTS = 3
# Share of the answers of one server that come twice (the pages' figure for `garble`).
SHARE_TWICE = 0.03
# A server has no room for a while in each period.
PERIOD_S, FULL_S, RETRY_AFTER_S = 1.0, 0.15, 0.25
PROMISES = (408, 421, 429, 503)


class LedgerServer(Server):
    """Turns requests away while it is full; may answer a request twice."""

    share_twice = 0.0
    twice = answers = 0
    chance = random.Random(1)

    def handle(self, connection, state, arrival):
        late = state.pop("late", None)
        if late is not None:
            connection.sendall(late)
        if time.monotonic() % PERIOD_S < FULL_S:
            headers = [
                ("X-Rosemarystream-Not-Executed", "1"),
                ("Retry-After", f"{RETRY_AFTER_S}"),
            ]
            answer = encode(503, self.identify(arrival, headers), b"")
            self.record.write(f"{self.name} turns {arrival.id} away")
        else:
            self.begin_run(arrival)
            gevent.sleep(0.02)
            answer = self.encode_success(arrival)
        connection.sendall(answer)
        self.answers += 1
        if self.chance.random() < self.share_twice:
            self.twice += 1
            state["late"] = answer
            self.record.write(f"{self.name} will answer {arrival.id} twice")
        return True


def main():
    net = choose_net()
    store = ObjectStore(address=(f"{net}.1", STORE_PORT))
    store.start()
    case = Deployment(__file__, store=store, net=net)
    routes = [make_route("confirm", "non_idempotent", "ledger", **{"max-attempts": 3})]
    services = [{"name": "ledger", "max-connections": 110}]
    store.write("config", "main", make_configuration(3, routes, services))
    servers = []
    for number in range(2):
        server = LedgerServer(
            name=f"i-{number}",
            service="ledger",
            ip=f"{net}.{100 + number}",
            zone="bergen-a",
            record=case.record,
        )
        server.start()
        store.write("servers", server.name, server.describe())
        servers.append(server)
    if WITH_TROUBLE:
        servers[0].share_twice = SHARE_TWICE
    for number, zone in enumerate(["bergen-a", "bergen-b", "forde"]):
        case.add_host(f"edge-{number}", zone)
    case.start()
    answers = {}
    ends_at = time.monotonic() + TRAFFIC_S

    def send_requests(number):
        host = case.hosts[number % len(case.hosts)]
        client = Client(host.ip)
        while time.monotonic() < ends_at:
            request_id = make_id()
            case.record.write(f"client {number} sends {request_id} to {host.name}")
            client.send("/confirm/1", request_id=request_id, body=b"tins: 12")
            reply = client.read()
            case.record.write(f"client {number} gets {reply.status} for {request_id}")
            answers[request_id] = reply.status
            if not reply.whole or reply.headers.get(b"connection") == b"close":
                client.close()
                client = Client(host.ip)
            gevent.sleep(0.1)

    gevent.joinall([gevent.spawn(send_requests, n) for n in range(CLIENTS)])
    gevent.sleep(1.0)
    ran = [request_id for server in servers for request_id in server.ran]
    refused = sorted(i for i in {*ran} if answers.get(i) in PROMISES)
    twice = sorted(i for i in {*ran} if ran.count(i) > 1)
    served = sum(status == 200 for status in answers.values())
    case.record.write(
        f"{len(answers)} requests, {served} served; "
        f"{servers[0].twice} of {servers[0].answers} answers came twice"
    )
    if len(answers) < 100 or served < 50:
        case.give_up(f"only {served} of {len(answers)} requests were served")
    faults = [f"REFUSED: {i} was answered {answers[i]} and has run" for i in refused]
    faults += [f"TWICE: {i} ran {ran.count(i)} times" for i in twice]
    case.finish("; ".join(faults))


run_case(main)
