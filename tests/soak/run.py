"""One run of the soak: traffic, faults drawn from a seed, and checks."""

import itertools
import random
import signal
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import gevent
import msgspec

from standins.link import Link
from tests.lib.entry_world import (
    METRICS_PORT,
    SERVER_PORT,
    Caller,
    Reply,
    World,
    get,
    wait_until,
)
from tests.lib.host_process import HostProcess
from tests.lib.ledger_checks import read_host_log
from tests.lib.odd_objects import CONTENTS, OBJECTS, write_odd
from tests.soak.checks import Exchange, list_ledger_violations, list_violations
from tests.soak.faults import CRASHING_PART, FaultSource

ROOT = Path(__file__).parents[2]
LINK_PORT = 18_090
CALLERS = 12
RECOVERY_S = 6.0
KINDS = ("look", "book", "chat", "brief")
STREAM_HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:900,b:100"),
)
# Time until another engine takes the address of one that has crashed.
RESTART_S = 0.5
# Crashes after which hosts have to know the part, in what time, and the requests that
# may reach engines later.
MIN_CRASHES = 5
CONTACT_S = 3.0
MAX_LATER_REQUESTS = 3
# Requests sent to bring those crashes about, and the pause between two.
MAX_CRASHING_REQUESTS = 30
CRASH_PAUSE_S = 0.1
# Limit of one server at the end, in requests per second, and what it may get of all
# hosts from the contact time on.
LIMIT_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
MAX_LIMITED_REQUESTS = int(1.5 * LIMIT_WINDOW_S * LIMIT_PER_S) + 5


class Report(NamedTuple):
    """Result of a run."""

    seed: int
    requests: int
    served: int
    faults: list[str]
    violations: list[str]
    logs: Path

    def describe(self) -> str:
        lines = [
            f"seed {self.seed}: {self.requests} requests, {self.served} served, "
            f"{len(self.faults)} faults, {len(self.violations)} violations"
        ]
        if self.violations:
            lines += [f"  {violation}" for violation in self.violations[:20]]
            lines += [f"  fault: {fault}" for fault in self.faults]
            lines.append(f"  logs: {self.logs}")
        return "\n".join(lines)


class Soak(FaultSource):
    """Hosts, servers, links and callers of one soak."""

    def __init__(self, *, seed, folder):
        self.rng = random.Random(seed)
        self.world = World()
        self.exchanges = []
        self.sent = set()
        self.faults = []
        self.endings = []
        self.links = {}
        self.addresses = {}
        self.stopping = False
        self.crashes = 0
        self._versions = itertools.count(10)
        self._numbers = itertools.count(1)
        net = self.world.net
        for number, service in enumerate(["plain", "engines"] * 3):
            self._add_server(f"{service}{number}", service, f"{net}.{100 + number}")
        self.store_links = {}
        self.world.store.stated_era = 1
        self.hosts = {}
        for number in range(3):
            self._add_host(number, net, folder)

    def _add_server(self, name, service, ip):
        server = self.world.add_server(name, service, work_s=0.01)
        server.crashing_parts = {CRASHING_PART}
        server.on_crash = self._restart_later
        self._add_link(server, (ip, LINK_PORT))

    def _add_link(self, server, listen):
        address, _, _ = server.address.rpartition(":")
        link = Link(address=listen, target=(address, SERVER_PORT))
        link.start()
        self.links[server.name] = link
        self.addresses[server.name] = listen
        self.world.store.write(
            "servers", server.name, {**server.describe(seq=2), "address": link.address}
        )

    def _restart_later(self, server):
        self.crashes += 1
        self.links.pop(server.name).stop()
        gevent.spawn_later(RESTART_S, self._restart, server)

    def _restart(self, server):
        successor = self.world.replace_server(server)
        self._add_link(successor, self.addresses[server.name])

    def _add_host(self, number, net, folder):
        address, _, port = self.world.store.address.rpartition(":")
        link = Link(
            address=(f"{net}.{50 + number}", LINK_PORT), target=(address, int(port))
        )
        link.start()
        name = f"h{number}"
        self.store_links[name] = link
        self.hosts[name] = HostProcess(
            name=name,
            data_centre="ab"[number % 2],
            ip=f"{net}.{200 + number}",
            store=link.address,
            seeds=[f"{net}.200:1", f"{net}.201:1"],
            folder=folder,
        )

    # Traffic

    def call_until_stopped(self, rng):
        while not self.stopping:
            host = rng.choice([*self.hosts.values()])
            try:
                caller = Caller(host.ip)
            except OSError:
                gevent.sleep(0.05)
                continue
            for _ in range(rng.randint(1, 6)):
                if not self._call(caller, host, rng.choice(KINDS)):
                    break
                gevent.sleep(rng.random() * 0.05)
            caller.close()

    def _call(self, caller, host, kind, headers=STREAM_HEADERS):
        request_id = f"soak-{next(self._numbers)}"
        self.sent.add(request_id)
        headers = headers if kind in ("chat", "brief") else ()
        idle_s = time.monotonic() - caller.used_at
        try:
            caller.send(f"/{kind}/1", headers=headers, request_id=request_id)
            reply = caller.read()
        except OSError:
            reply = Reply(0, {}, b"", False)
        ended_at = caller.used_at = time.monotonic()
        self.exchanges.append(
            Exchange(
                request_id, kind, reply, host.name, caller.opened_at, idle_s, ended_at
            )
        )
        return reply.complete and reply.headers.get(b"connection") != b"close"

    # Phases of a run

    def run(self, seconds):
        for host in self.hosts.values():
            host.start()
        for host in self.hosts.values():
            wait_until(host.is_ready, seconds=15.0)
        gevent.sleep(1.0)
        callers = [
            gevent.spawn(self.call_until_stopped, random.Random(number))
            for number in range(CALLERS)
        ]
        end = time.monotonic() + seconds
        injections = []
        while time.monotonic() < end:
            injections.append(gevent.spawn(self.inject_fault))
            gevent.sleep(self.rng.uniform(0.1, 0.9))
        gevent.joinall(injections, timeout=20.0)
        violations = self._check_recovery()
        self.stopping = True
        gevent.joinall(callers, timeout=10.0)
        return violations + self._check_balances()

    def _check_balances(self):
        """Check that on each host all requests have ended."""
        wait_until(lambda: not any(x["in_progress"] for x in self._list_balances()))
        return [
            f"{name}: {balance}"
            for name, balance in zip(self.hosts, self._list_balances(), strict=True)
            if balance["difference"]
        ]

    def _list_balances(self):
        bodies = [
            get(host.ip, METRICS_PORT, "/v1/state").body for host in self.hosts.values()
        ]
        return [msgspec.json.decode(body)["requests"] for body in bodies]

    def _check_recovery(self):
        for server in self.world.servers.values():
            server.faults.clear()
        gevent.sleep(RECOVERY_S)
        begun = len(self.exchanges)
        gevent.sleep(2.0)
        after = self.exchanges[begun:]
        served = sum(e.reply.status == 200 and e.reply.complete for e in after)
        if served < 0.95 * len(after) or not after:
            return [
                f"after the faults only {served} of {len(after)} requests were served"
            ]
        return self._check_watches() + self._check_limit() + self._check_blocked()

    def _check_watches(self):
        """Check that all hosts learn of a server that is registered among odd ones."""
        for odd in [*CONTENTS, *OBJECTS]:
            write_odd(self.world.store, f"last-{odd}", odd)
        self.world.add_server("late", "plain", work_s=0.01)
        gevent.sleep(CONTACT_S)
        return [
            f"{host.name} did not learn of a server in {CONTACT_S} s"
            for host in self.hosts.values()
            if b'"late"' not in get(host.ip, METRICS_PORT, "/v1/state").body
        ]

    def _check_limit(self):
        """Check that all hosts together keep to the limit of a server."""
        server = self.world.servers[self.rng.choice([*self.links])]
        server.limit_per_s = LIMIT_PER_S
        gevent.sleep(CONTACT_S)
        before = server.arrivals
        gevent.sleep(LIMIT_WINDOW_S)
        got = server.arrivals - before
        server.limit_per_s = None
        if got > MAX_LIMITED_REQUESTS:
            return [
                f"{server.name} got {got} requests in {LIMIT_WINDOW_S} s under a limit "
                f"of {LIMIT_PER_S} a second"
            ]
        return []

    def _check_blocked(self):
        """Check that all hosts learn on which prompt part engines crash."""
        for _ in range(MAX_CRASHING_REQUESTS):
            if self.crashes >= MIN_CRASHES:
                break
            self._send_crashing(self.rng.choice([*self.hosts.values()]))
            gevent.sleep(CRASH_PAUSE_S)
        gevent.sleep(CONTACT_S)
        before = self._count_crashing_requests()
        for host in [*self.hosts.values()] * 5:
            self._send_crashing(host)
        later = self._count_crashing_requests() - before
        if later > MAX_LATER_REQUESTS:
            return [
                f"{later} requests reached engines with a prompt part under which "
                f"{self.crashes} had crashed"
            ]
        return []

    def stop(self):
        for host in self.hosts.values():
            if host.process is not None and host.process.poll() is None:
                host.send(signal.SIGCONT)
                host.send(signal.SIGKILL)
                host.process.wait()
        for link in [*self.links.values(), *self.store_links.values()]:
            link.stop()
        self.world.stop()


def run_soak(*, seed: int, seconds: float) -> Report:
    """Run one soak and check all its exchanges."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed=seed, folder=folder)
    try:
        violations = soak.run(seconds)
    finally:
        soak.stop()
    servers = [*soak.world.servers.values()]
    violations += list_violations(soak.exchanges, soak.sent, servers)
    logs = {host.name: read_host_log(host.log) for host in soak.hosts.values()}
    violations += list_ledger_violations(soak.exchanges, soak.endings, logs)
    served = sum(e.reply.status == 200 and e.reply.complete for e in soak.exchanges)
    return Report(seed, len(soak.exchanges), served, soak.faults, violations, folder)
