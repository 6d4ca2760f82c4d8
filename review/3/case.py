"""A host keeps a server that has left, as its collectors were restarting at that time.

The two collectors of a zone are killed and start again at once. Meanwhile a server
leaves without a word: its entry is removed. The zone's third host never hears of it.
"""

import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import gevent
from common import (
    BOUNDS,
    STORE_PORT,
    WITH_TROUBLE,
    Deployment,
    call,
    choose_net,
    make_configuration,
    make_id,
    make_route,
    run_case,
)
from servers import Server
from standins.object_store import ObjectStore

METRICS_PORT = 9102
ZONES = {"bergen-a": 3, "bergen-b": 2, "forde": 3}
SERVERS = 5
# Time from the kill to the removal of the entry, and to the new start of the processes.
LEAVES_AFTER_S, RESTART_S = 0.15, 0.3
# Time for which a server serves on after its entry is gone.
SERVES_ON_S = 12.0
DRAIN_S = BOUNDS["drain-ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000
REQUEST_INTERVAL_S = 0.02


class LookupServer(Server):
    """Notes when each request reached it."""

    def begin_run(self, arrival):
        super().begin_run(arrival)
        self.arrived[arrival.id] = time.monotonic()


def read_state(host):
    """Return the state that a host shows to operators."""
    reply = call(host.ip, "/v1/state", port=METRICS_PORT, method="GET")
    return json.loads(reply.body)


def main():
    net = choose_net()
    store = ObjectStore(address=(f"{net}.1", STORE_PORT))
    store.start()
    case = Deployment(__file__, store=store, net=net)
    routes = [make_route("lookup", "idempotent", "returns")]
    services = [{"name": "returns", "max-connections": 110}]
    store.write("config", "main", make_configuration(3, routes, services))
    servers = []
    for number in range(SERVERS):
        server = LookupServer(
            name=f"i-{number}",
            service="returns",
            ip=f"{net}.{100 + number}",
            zone=["bergen-a", "bergen-b", "forde"][number % 3],
            record=case.record,
        )
        server.arrived = {}
        server.start()
        store.write("servers", server.name, server.describe())
        servers.append(server)
    for zone, count in ZONES.items():
        for number in range(1, count + 1):
            case.add_host(f"edge-{zone}-{number}", zone)
    case.set_seeds()
    case.start()
    gevent.sleep(2.0)
    leaving = servers[0]
    zone = [host for host in case.hosts if host.zone == leaving.zone]
    names = read_state(zone[0])["collectors"]
    killed = [host for host in zone if host.name in names] if WITH_TROUBLE else []
    case.record.write(f"the collectors of {leaving.zone} are {', '.join(names)}")
    senders, answers = {}, []

    def send(host):
        request_id = make_id()
        senders[request_id] = host
        case.record.write(f"client sends {request_id} to {host.name}")
        try:
            reply = call(
                host.ip, "/lookup/1", request_id=request_id, method="GET", wait_ms=1500
            )
        except OSError:
            case.record.write(f"client can't reach {host.name}")
            return
        case.record.write(f"client gets {reply.status} for {request_id}")
        answers.append(reply.status)

    def send_all(ends_at):
        while time.monotonic() < ends_at:
            for host in case.hosts:
                gevent.spawn(send, host)
                gevent.sleep(REQUEST_INTERVAL_S)

    send_all(time.monotonic() + 2.0)
    if not any(leaving.arrived):
        case.give_up("the server got nothing before it left")
    traffic = gevent.spawn(send_all, time.monotonic() + SERVES_ON_S + 2.0)
    for host in killed:
        host.send_signal(signal.SIGKILL)
        case.record.write(f"{host.name} is killed")
    gevent.sleep(LEAVES_AFTER_S)
    store.remove("servers", leaving.name)
    left_at = time.monotonic()
    case.record.write(f"the entry of {leaving.name} is removed; it serves on")
    gevent.sleep(RESTART_S - LEAVES_AFTER_S)
    for host in killed:
        host.start()
        case.record.write(f"{host.name} starts again")
    gevent.sleep(left_at + SERVES_ON_S - time.monotonic())
    case.record.write(f"{leaving.name} ends")
    leaving.stop()
    traffic.join()
    late = [
        request_id
        for request_id, at in leaving.arrived.items()
        if left_at + DRAIN_S < at and senders[request_id] not in killed
    ]
    served = answers.count(200)
    case.record.write(f"{len(senders)} requests, {served} served; {len(late)} late")
    if served < 0.5 * len(senders):
        case.give_up(f"only {served} of {len(senders)} requests were served")
    hosts = sorted({senders[request_id].name for request_id in late})
    text = (
        f"DRAIN: {len(late)} requests of {', '.join(hosts)} reached {leaving.name} "
        f"over {DRAIN_S} s after its entry was gone"
    )
    case.finish(text if late else "")


run_case(main)
