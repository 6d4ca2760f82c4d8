"""Hosts keep an old configuration while a suspended host owes them the new one.

The host that hears of a change first is suspended for four seconds, a few milliseconds
after the store has told it, at moments drawn from a seed.
"""

import os
import random
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

SEED = int(os.environ.get("SEED", "1"))
ZONES = {"bergen-a": 3, "bergen-b": 2, "forde": 3}
CHANGES, FREEZE_S, PAUSE_S = 18, 4.0, 0.6
# Latest time from the store's answer to the moment at which the host is suspended; the
# moments of the changes are spread evenly over it, in an order drawn from the seed.
LATEST_MS = 12.0
# Routes in the configuration, as after it has grown.
ROUTES = 350
APPLY_S = BOUNDS["config-apply-ms"] / 1000
PROBE_AFTER_S = APPLY_S + 0.3
CONTACT_S = BOUNDS["contact-ms"] / 1000


class WatchedStore(ObjectStore):
    """Tells when it has answered a host that waits for changes of the configuration."""

    on_change = staticmethod(lambda address: None)

    def _serve(self, environ, start_response):
        answer = super()._serve(environ, start_response)
        is_watch = "watch=" in environ["QUERY_STRING"]
        if is_watch and "/config" in environ["PATH_INFO"] and b"spec" in answer[0]:
            self.on_change(environ["HTTP_HOST"])
        return answer


def make_document(version):
    """Return a configuration with a route that no version before has."""
    names = [f"r{number}" for number in range(ROUTES)] + [f"new{version}"]
    routes = [make_route(name, "idempotent", "returns") for name in names]
    services = [{"name": "returns", "max-connections": 110}]
    return make_configuration(version, routes, services)


def main():
    chance = random.Random(SEED)
    net = choose_net()
    store = WatchedStore(address=(f"{net}.1", STORE_PORT))
    store.start()
    case = Deployment(__file__, store=store, net=net)
    store.write("config", "main", make_document(3))
    for number in range(3):
        server = Server(
            name=f"i-{number}",
            service="returns",
            ip=f"{net}.{100 + number}",
            zone=[*ZONES][number],
            record=case.record,
        )
        server.start()
        store.write("servers", server.name, server.describe())
    by_store = {}
    for zone, count in ZONES.items():
        for number in range(1, count + 1):
            address = (f"{net}.{50 + len(by_store)}", STORE_PORT)
            host = case.add_host(f"edge-{zone}-{number}", zone)
            by_store[store.add_address(address)] = host
            host.set_store(f"{address[0]}:{address[1]}")
    case.set_seeds()
    case.start()
    gevent.sleep(2.0)
    stale = []
    moments_ms = [LATEST_MS * number / CHANGES for number in range(CHANGES)]
    chance.shuffle(moments_ms)
    woken_at = {}

    def is_in_touch(host, suspended):
        """Return whether a host runs, and has run since `contact-ms` before."""
        since = time.monotonic() - woken_at.get(host.name, 0.0)
        return host not in suspended and since > CONTACT_S

    def probe(host, version):
        request_id = make_id()
        path = f"/new{version}/1"
        reply = call(host.ip, path, request_id=request_id, method="GET")
        text = f"client gets {reply.status} of {host.name} on the route of {version}"
        case.record.write(text)
        if reply.status == 404:
            stale.append(f"{host.name} in version {version}")

    def suspend(host, delay_s):
        gevent.sleep(delay_s)
        host.send_signal(signal.SIGSTOP)
        case.record.write(f"{host.name} is suspended, after {delay_s * 1000:.0f} ms")

    for version in range(4, 4 + CHANGES):
        suspended = []
        delay_s = moments_ms[version - 4] / 1000

        def on_change(address, suspended=suspended, delay_s=delay_s):
            if WITH_TROUBLE and not suspended:
                suspended.append(by_store[address])
                gevent.spawn(suspend, by_store[address], delay_s)

        WatchedStore.on_change = staticmethod(on_change)
        store.write("config", "main", make_document(version))
        changed_at = time.monotonic()
        case.record.write(f"version {version} is acknowledged")
        gevent.sleep(PROBE_AFTER_S)
        running = [host for host in case.hosts if is_in_touch(host, suspended)]
        gevent.joinall([gevent.spawn(probe, host, version) for host in running])
        gevent.sleep(max(0.0, changed_at + FREEZE_S - time.monotonic()))
        for host in suspended:
            host.send_signal(signal.SIGCONT)
            woken_at[host.name] = time.monotonic()
            case.record.write(f"{host.name} goes on")
        gevent.sleep(PAUSE_S)
    text = f"CONFIG: over {APPLY_S} s after a change 404 on its route: "
    case.finish(text + ", ".join(stale) if stale else "")


run_case(main)
