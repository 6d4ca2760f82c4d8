"""Faults that a soak injects into hosts, servers, links and the store."""

import signal
import time

import gevent
from gevent import socket

from rosemarystream._internal.platform.store import BLOCKED_PARTS, HOSTS
from standins.backend_server import Fault
from standins.link import Mode
from standins.object_store import StoreFault
from tests.lib.entry_world import (
    PEER_PORT,
    Caller,
    make_configuration,
)
from tests.lib.odd_objects import (
    CONFIGURATIONS,
    CONTENTS,
    DATAGRAMS,
    DEEP,
    LONG_NUMBER,
    OBJECTS,
    nest,
    write_odd,
)
from tests.lib.store_owners import write_again
from tests.soak.checks import Ending

# Prompt part on which engines crash.
CRASHING_PART = "crash"
CRASHING_HEADERS = (
    ("X-Rosemarystream-Prompt-Prefix", f"a:900,{CRASHING_PART}:50,c:10"),
)
# Time for which a host may hold log entries back, which are lost if it is killed.
UNWRITTEN_S = 0.3
# Longest time for which the store is away in a drill, and after which all that the
# copy lacks is written again.
MAX_AWAY_S = 1.0
MAX_REWRITE_S = 1.5
# Kinds of objects that servers and the operator write.
OWNED = ("servers", "config")
# Limits of single servers while faults strike.
FAULT_LIMITS_PER_S = (0.0, 1.0, 5.0, 40.0)


def list_specs(store, kind):
    """Return what the objects of a kind say, by name, but for those written as text."""
    objects = store._objects.get(kind, {}).items()
    return {name: item["spec"] for name, item in objects if isinstance(item, dict)}


class FaultSource:
    """The faults of a soak, drawn from its seed; `Soak` has what they strike."""

    def inject_fault(self):
        """Inject one fault drawn from the seed; timed faults end before the return."""
        kind = self.rng.choice(
            [
                "kill",
                "freeze",
                "stops",
                "term",
                "hup",
                "link",
                "reset",
                "store",
                "refuse",
            ]
            + [
                "answers",
                "answers",
                "configuration",
                "drain",
                "history",
                "drill",
                "crash",
                "limit",
                "odd_entries",
                "odd_records",
                "odd_configuration",
                "odd_gossip",
            ]
        )
        length_s = self.rng.uniform(0.3, 3.0)
        host = self.rng.choice([*self.hosts.values()])
        server = self.rng.choice([*self.links])
        self.faults.append(f"{kind} {host.name} {server} {length_s:.1f} s")
        getattr(self, f"_strike_{kind}")(host, server, length_s)

    def _strike_kill(self, host, server, length_s):
        self._end_host(host, signal.SIGKILL)

    def _strike_term(self, host, server, length_s):
        self._end_host(host, signal.SIGTERM)

    def _end_host(self, host, number):
        begun_at = time.monotonic()
        if number == signal.SIGKILL:
            begun_at -= UNWRITTEN_S
        host.restart(number)
        self.endings.append(Ending(host.name, begun_at, time.monotonic()))

    def _strike_hup(self, host, server, length_s):
        host.send(signal.SIGHUP)

    def _strike_freeze(self, host, server, length_s):
        host.send(signal.SIGSTOP)
        gevent.sleep(length_s)
        host.send(signal.SIGCONT)

    def _strike_stops(self, host, server, length_s):
        """Hold a host up for short times in series."""
        for _ in range(self.rng.randint(2, 4)):
            host.send(signal.SIGSTOP)
            gevent.sleep(self.rng.uniform(0.2, 2.0))
            host.send(signal.SIGCONT)
            gevent.sleep(self.rng.uniform(0.05, 0.5))

    def _strike_link(self, host, server, length_s):
        link = self.rng.choice([self.links[server], self.store_links[host.name]])
        link.mode = self.rng.choice([Mode.DELAY, Mode.STALL, Mode.STALL_ANSWERS])
        gevent.sleep(length_s)
        link.mode = Mode.PASS

    def _strike_reset(self, host, server, length_s):
        self.links[server].reset()
        self.store_links[host.name].reset()

    def _strike_store(self, host, server, length_s):
        self.world.store.fault = StoreFault.BUSY
        gevent.sleep(length_s)
        self.world.store.fault = StoreFault.NONE

    def _strike_refuse(self, host, server, length_s):
        link = self.store_links[host.name]
        link.mode = Mode.STALL
        gevent.sleep(length_s)
        link.mode = Mode.PASS

    def _strike_answers(self, host, server, length_s):
        faults = self.rng.choices([*Fault], k=self.rng.randint(2, 12))
        self.world.servers[server].faults.extend(faults)

    def _strike_configuration(self, host, server, length_s):
        document = make_configuration(next(self._versions))
        self.world.store.write("config", "main", document)

    def _strike_drain(self, host, server, length_s):
        entry = self.world.servers[server].describe("draining", seq=3)
        entry["address"] = self.links[server].address
        self.world.store.write("servers", server, entry)
        gevent.sleep(length_s)
        self.world.store.write("servers", server, {**entry, "state": "ready"})

    def _strike_crash(self, host, server, length_s):
        for _ in range(3):
            self._send_crashing(host)

    def _strike_limit(self, host, server, length_s):
        limited = self.world.servers[server]
        limited.limit_per_s = self.rng.choice(FAULT_LIMITS_PER_S)
        gevent.sleep(length_s)
        limited.limit_per_s = None

    def _strike_odd_entries(self, host, server, length_s):
        """Put entries that can't be used beside those of the servers."""
        kinds = self.rng.choices([*CONTENTS, *OBJECTS], k=5)
        names = [f"{server}-{kind}" for kind in kinds]
        for name, kind in zip(names, kinds, strict=True):
            write_odd(self.world.store, name, kind)
        gevent.sleep(length_s)
        for name in names:
            self.world.store.remove("servers", name)

    def _strike_odd_records(self, host, server, length_s):
        number = next(self._numbers)
        fields = {"began_ms": "1", "until_ms": LONG_NUMBER.decode()}
        self.world.store.write(BLOCKED_PARTS, f"{number:x}", fields)
        self.world.store.write(BLOCKED_PARTS, "f" * 200, nest(DEEP))
        self.world.store.write(HOSTS, f"odd{number}", {"ip": "1.2", "data_centre": "a"})

    def _strike_odd_configuration(self, host, server, length_s):
        odd = self.rng.choice(CONFIGURATIONS)
        document = {**make_configuration(next(self._versions)), **odd}
        self.world.store.write("config", "main", document)
        gevent.sleep(length_s)
        self._strike_configuration(host, server, length_s)

    def _strike_odd_gossip(self, host, server, length_s):
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            for datagram in self.rng.choices(DATAGRAMS, k=10):
                sender.sendto(datagram, (host.ip, PEER_PORT))

    def _send_crashing(self, host):
        try:
            caller = Caller(host.ip)
        except OSError:
            return
        self._call(caller, host, "brief", CRASHING_HEADERS)
        caller.close()

    def _count_crashing_requests(self):
        return sum(
            CRASHING_PART in run.list_shared_parts()
            for server in self.world.servers.values()
            for run in server.runs
        )

    def _strike_drill(self, host, server, length_s):
        """Have the store come back from a copy; its owners write again what is lost."""
        store = self.world.store
        copy = store.save_copy()
        gevent.sleep(length_s)
        store.fault = StoreFault.BUSY
        gevent.sleep(self.rng.uniform(0.0, MAX_AWAY_S))
        wanted = {kind: list_specs(store, kind) for kind in OWNED}
        store.load_copy(copy)
        store.fault = StoreFault.NONE
        gevent.sleep(self.rng.uniform(0.0, MAX_REWRITE_S))
        write_again(store, wanted, written_until=copy.revision)

    def _strike_history(self, host, server, length_s):
        self.world.store.drop_history()
