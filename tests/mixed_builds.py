"""Runs hosts of an earlier build beside hosts of this one.

``python -m tests.mixed_builds OLD_TREE`` takes a work tree of the earlier build
whose ``.venv`` is set up. It prints one line a check and exits with 1 if a check
fails. Both ways of running a host are covered: ``gateway`` on the platform's store,
and ``serve`` with owners, claims and recalls.
"""

import subprocess
import sys
import tempfile
import traceback
from pathlib import Path

import gevent
import msgspec

from standins.calls import request_json
from standins.fleet import Fleet, write_toml
from standins.fleet import wait_until as wait_for
from standins.link import Link, Mode
from standins.sheets import write_sheet
from tests.lib.callers import Caller as ChatCaller
from tests.lib.entry_world import (
    METRICS_PORT,
    Caller,
    World,
    get,
    make_configuration,
    wait_until,
)
from tests.lib.fleets import ADMIN, apply_sheet
from tests.lib.host_process import HostProcess

NEW_TREE = Path(__file__).parents[1]
LINK_PORT = 18_091
STREAM_HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:900,b:100"),
)
PATHS = {
    "/look/1": (),
    "/book/1": (),
    "/chat/1": STREAM_HEADERS,
    "/brief/1": STREAM_HEADERS,
}
# Host name, data centre, build, and whether its store stops answering.
GATEWAY_HOSTS = (
    ("old-a", "a", "old", False),
    ("new-a", "a", "new", True),
    ("new-b", "b", "new", False),
    ("old-b", "b", "old", True),
)
SPREAD_S = 10.0
# News of an evacuation has to be in force this long after the store has accepted it.
EVACUATED_S = 5.0
# Pause between the events of a stream that is held open.
EVENT_S = 0.15


class Checks:
    """Prints each check and counts those that failed."""

    def __init__(self):
        self.failed = 0

    def run(self, name, check):
        try:
            detail = check()
            print(f"ok    {name}{f': {detail}' if detail else ''}", flush=True)
        except Exception as error:
            self.failed += 1
            print(f"FAIL  {name}: {error!r}", flush=True)
            traceback.print_exc()


def find_python(tree):
    return str(tree / ".venv" / "bin" / "python")


class GatewayFleet:
    """Gateway hosts of both builds in two data centres."""

    def __init__(self, trees, folder):
        self.trees = trees
        self.world = World()
        net = self.world.net
        self.world.add_server("plain0")
        self.world.add_server("plain-b", data_centre="b")
        for number in range(3):
            self.world.add_server(f"engine{number}", "engines", work_s=0.01)
        self.hosts, self.links = {}, {}
        store, _, port = self.world.store.address.rpartition(":")
        for number, (name, data_centre, build, _) in enumerate(GATEWAY_HOSTS):
            link = Link(
                address=(f"{net}.{50 + number}", LINK_PORT), target=(store, int(port))
            )
            link.start()
            self.links[name] = link
            tree = trees[build]
            self.hosts[name] = HostProcess(
                name=name,
                data_centre=data_centre,
                ip=f"{net}.{200 + number}",
                store=link.address,
                seeds=[f"{net}.200:1", f"{net}.202:1"],
                folder=folder,
                program=(find_python(tree), str(tree / "deploy" / "launch.py")),
            )

    def start(self):
        for host in self.hosts.values():
            host.start()
        for host in self.hosts.values():
            wait_until(host.is_ready, seconds=20.0)

    def stop(self):
        for host in self.hosts.values():
            if host.process is not None and host.process.poll() is None:
                host.stop()
        for link in self.links.values():
            link.stop()
        self.world.stop()

    def read_state(self, name):
        body = get(self.hosts[name].ip, METRICS_PORT, "/v1/state").body
        return msgspec.json.decode(body)

    def call(self, name, path, request_id=None):
        caller = Caller(self.hosts[name].ip)
        try:
            return caller.call(path, headers=PATHS[path], request_id=request_id)
        finally:
            caller.close()

    def check_peers(self):
        def hear_all():
            return all(
                0 <= peer["heard_ms"] <= 1200
                for name in ("old-a", "new-a", "old-b", "new-b")
                for peer in [
                    self.read_state(name)["peers"].get(other, {"heard_ms": -1})
                    for other in self.list_required(name)
                ]
            )

        wait_until(hear_all, seconds=SPREAD_S)
        return "each host hears the other build"

    def list_required(self, name):
        """Return the other hosts that a host has to hear."""
        data_centre = name[-1]
        return [x for x in self.hosts if x != name and x[-1] == data_centre]

    def check_requests(self):
        for name in self.hosts:
            for path in PATHS:
                reply = self.call(name, path, f"mixed-{name}{path.replace('/', '-')}")
                assert reply.status == 200, (name, path, reply)
                assert reply.complete, (name, path, reply)
        return f"{len(self.hosts) * len(PATHS)} requests answered in full"

    def check_load(self, name):
        engines = [x for x in self.world.servers.values() if x.service == "engines"]
        for engine in engines:
            engine.work_s = EVENT_S
        callers = [gevent.spawn(self.call, name, "/chat/1") for _ in range(3)]
        try:
            for other in self.hosts:
                wait_until(lambda other=other: self.count_streams(other) >= 3, 1.0)
        finally:
            gevent.joinall(callers, timeout=5.0)
            for engine in engines:
                engine.work_s = 0.01
        replies = [caller.value for caller in callers]
        assert all(reply.status == 200 for reply in replies), replies
        wait_until(lambda: not any(map(self.count_streams, self.hosts)), SPREAD_S)
        return "3 streams seen at all hosts, and their end"

    def count_streams(self, name):
        servers = self.read_state(name)["servers"].values()
        return sum(x["requests"] for x in servers if x["service"] == "engines")

    def check_configuration(self, version):
        self.world.store.write("config", "main", make_configuration(version))
        for name in self.hosts:
            wait_until(
                lambda name=name: (
                    self.read_state(name)["figures"]["version"] == version
                ),
                seconds=SPREAD_S,
            )
        return f"version {version} in force at all hosts"

    def check_servers(self, name):
        self.world.add_server(name)
        for host in self.hosts:
            wait_until(
                lambda host=host: name in self.read_state(host)["servers"],
                seconds=SPREAD_S,
            )
        return f"{name} known at all hosts"

    def check_evacuation(self, data_centre):
        self.world.store.write("evacuations", data_centre, {})
        new = [name for name, _, build, _ in GATEWAY_HOSTS if build == "new"]
        for name in new:
            wait_until(
                lambda name=name: self.is_evacuated(name, data_centre),
                seconds=EVACUATED_S,
            )
        before = self.world.servers["plain-b"].arrivals
        statuses = {self.call(name, "/look/1").status for name in new * 5}
        assert statuses == {200}, statuses
        assert self.world.servers["plain-b"].arrivals == before
        self.world.store.remove("evacuations", data_centre)
        for name in new:
            wait_until(
                lambda name=name: not self.is_evacuated(name, data_centre),
                seconds=SPREAD_S,
            )
        return f"{data_centre} evacuated at the new hosts, and served again"

    def is_evacuated(self, name, data_centre):
        known = self.read_state(name)["evacuations"].get(data_centre, {})
        return known.get("in_force", False)

    def cut_stores(self):
        for name, _, _, is_cut in GATEWAY_HOSTS:
            if is_cut:
                self.links[name].mode = Mode.STALL
                self.links[name].reset()

    def mend_stores(self):
        for link in self.links.values():
            link.mode = Mode.PASS

    def check_logs(self):
        levels = {"ERROR", "WARNING", "CRITICAL"}
        found = []
        for host in self.hosts.values():
            for line in host.log.read_text().splitlines():
                record = msgspec.json.decode(line)
                if record["level"].upper() in levels:
                    found.append((host.name, record["message"], record.get("error")))
        unexpected = [x for x in found if x[1] != "store lost"]
        assert not unexpected, unexpected
        return f"no warnings but for {len(found)} records of the store that was cut"

    def check_trace(self):
        logs = [str(host.log) for host in self.hosts.values()]
        for name in self.hosts:
            request_id = f"mixed-{name}-chat-1"
            shown = []
            for tree in self.trees.values():
                result = subprocess.run(
                    [find_python(tree), "-m", "rosemarystream", "trace"]
                    + [request_id, "--json", "--logs", *logs],
                    capture_output=True,
                    text=True,
                    check=False,
                )
                assert result.returncode == 0, result.stderr
                shown.append(msgspec.json.decode(result.stdout))
            facts = [
                (
                    x["request"],
                    [line["message"] for line in x["lines"]],
                    len(x["context"]),
                )
                for x in shown
            ]
            assert facts[0] == facts[1], facts
            assert facts[0][1], "no record of the request"
        return "both builds explain requests from the logs of both"


def run_gateway_checks(trees, checks, folder):
    fleet = GatewayFleet(trees, folder)
    try:
        checks.run("gateway: start", fleet.start)
        checks.run("gateway: heartbeats", fleet.check_peers)
        checks.run("gateway: requests", fleet.check_requests)
        for name in fleet.hosts:
            checks.run(f"gateway: load at {name}", lambda n=name: fleet.check_load(n))
        checks.run("gateway: configuration", lambda: fleet.check_configuration(20))
        fleet.cut_stores()
        checks.run(
            "gateway: configuration pulled", lambda: fleet.check_configuration(21)
        )
        checks.run("gateway: servers pulled", lambda: fleet.check_servers("plain9"))
        checks.run("gateway: requests, stores cut", fleet.check_requests)
        checks.run("gateway: logs", fleet.check_logs)
        checks.run("gateway: trace", fleet.check_trace)
        # After the traces, which show entries of this build only to this build.
        checks.run(
            "gateway: evacuation, stores cut", lambda: fleet.check_evacuation("b")
        )
        fleet.mend_stores()
        checks.run("gateway: evacuation", lambda: fleet.check_evacuation("b"))
    finally:
        fleet.stop()


class ServeFleet:
    """Hosts of both builds run with ``serve``."""

    def __init__(self, trees, fleet):
        self.trees = trees
        self.fleet = fleet
        self.builds = {}
        self.caller = ChatCaller(workspace="depot")

    def set_build(self, host, build):
        self.builds[host.name] = build
        host._arguments = [
            find_python(self.trees[build]),
            *["-m", "rosemarystream", "serve", "--settings", str(host.file)],
        ]

    def start(self):
        for number, data_centre in enumerate(("dc1", "dc1", "dc2")):
            self.fleet.add_engine(f"e{number}", data_centre)
        self.fleet.add_service("ledger1", "dc1")
        self.fleet.publish_hosts()
        places = {"h1": "dc1", "h2": "dc1", "h3": "dc2", "h4": "dc2"}
        hosts = [self.fleet.make_host(n, d, []) for n, d in places.items()]
        seeds = [host.peer_address for host in hosts]
        for host, build in zip(hosts, ("old", "new", "new", "old"), strict=True):
            self.set_build(host, build)
            host.settings["peers"]["seeds"] = seeds
            host.file.write_text(write_toml(host.settings))
            host.start()
        for host in hosts:
            host.wait_open()
        self.hosts = hosts
        apply_sheet(hosts[0], write_sheet())
        self.fleet.wait_ready()

    def check_state(self):
        for host in self.hosts:
            wait_for(
                lambda host=host: len(self.list_alive(host)) == len(self.hosts) - 1,
                seconds=SPREAD_S,
                what=f"{host.name} hears all others",
            )
        return "each host hears all others"

    def list_alive(self, host):
        peers = host.dump()["membership"]["hosts"]
        return [x for x in peers.values() if x["state"] == "alive"]

    def check_chats(self):
        for chat in ("c1", "c2", "c3", "c4"):
            replies = [
                self.caller.send_turn(
                    host.address, chat=chat, text=f"turn of {chat}. ", max_tokens=12
                )
                for host in self.hosts
            ]
            self.caller.check_answers()
            ends = [reply.end for reply in replies]
            assert len({end["engine"] for end in ends}) == 1, ends
            assert all(end["cached_tokens"] for end in ends[1:]), ends
        return "16 turns whole, hints of one build used by the other"

    def check_claims(self, keys):
        statuses = {
            key: [
                self.caller.call_service(
                    host.address, payload={"id": key}, key=key
                ).status
                for host in self.hosts
            ]
            for key in keys
        }
        runs = self.fleet.processes["ledger1"].control()["runs"]
        assert all(runs[key] == 1 for key in keys), (runs, statuses)
        return f"{len(keys)} calls sent {len(self.hosts)} times each ran once"

    def check_recall(self, number, engine):
        body = {"kind": "server", "target": engine}
        address = self.hosts[number].operator_address
        request_json("POST", address, "/v1/recalls", body, ADMIN)
        for host in self.hosts:
            wait_for(
                lambda host=host: engine in self.list_recalled(host),
                seconds=SPREAD_S,
                what=f"{host.name} knows the recall of {engine}",
            )
        return (
            f"{engine} recalled at {self.builds[self.hosts[number].name]}, known at all"
        )

    def list_recalled(self, host):
        reply = request_json("GET", host.operator_address, "/v1/recalls", headers=ADMIN)
        return [recall["target"] for recall in reply["recalls"]]

    def swap(self):
        """Stop all hosts at once, and start each with the other build."""
        for host in self.hosts:
            host.kill()
        for host in self.hosts:
            self.set_build(host, "new" if self.builds[host.name] == "old" else "old")
            host.start()
        for host in self.hosts:
            host.wait_open()
        self.fleet.wait_ready()

    def check_stored(self, engines):
        for host in self.hosts:
            assert request_json(
                "GET", host.operator_address, "/v1/status", headers=ADMIN
            )
            wait_for(
                lambda host=host: set(engines) <= set(self.list_recalled(host)),
                seconds=SPREAD_S,
                what=f"{host.name} reads the stored recalls",
            )
        return "sheet and recalls read from the store by the other build"

    def stop(self):
        codes = [self.fleet.stop_host(host) for host in self.hosts]
        assert not any(codes), codes
        return f"exit codes {codes}"


def run_serve_checks(trees, checks):
    with Fleet() as fleet:
        mixed = ServeFleet(trees, fleet)
        checks.run("serve: start", mixed.start)
        checks.run("serve: heartbeats", mixed.check_state)
        checks.run("serve: chats", mixed.check_chats)
        checks.run("serve: claims", lambda: mixed.check_claims(["k1", "k2", "k3"]))
        checks.run("serve: recall at old", lambda: mixed.check_recall(0, "e0"))
        checks.run("serve: recall at new", lambda: mixed.check_recall(1, "e1"))
        checks.run("serve: builds exchanged", mixed.swap)
        checks.run("serve: stored", lambda: mixed.check_stored(["e0", "e1"]))
        checks.run("serve: claims kept", lambda: mixed.check_claims(["k1", "k2", "k3"]))
        checks.run("serve: chats, exchanged", mixed.check_chats)
        checks.run("serve: stop", mixed.stop)
        print(f"      logs: {fleet.folder}")


def main():
    if len(sys.argv) != 2:
        print("usage: python -m tests.mixed_builds OLD_TREE", file=sys.stderr)
        return 2
    trees = {"old": Path(sys.argv[1]).absolute(), "new": NEW_TREE}
    checks = Checks()
    folder = Path(tempfile.mkdtemp(prefix="mixed-"))
    run_gateway_checks(trees, checks, folder)
    print(f"      logs: {folder}")
    run_serve_checks(trees, checks)
    print(f"{checks.failed} checks failed")
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
