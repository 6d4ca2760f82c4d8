"""The client loads of callers that nobody controls, against one entry host.

``python -m bench.callers [LOAD ...]`` runs the loads of
``docs/design/callers-limits.md``, ten seconds each, and prints the memory and the
descriptors that the host used, and how an ordinary caller was answered each second.
"""

import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import gevent

from standins.backend_server import BackendServer
from tests.lib.entry_world import (
    CALLER_PORT,
    SERVER_PORT,
    Caller,
    World,
    make_configuration,
    make_route,
    wait_until,
)
from tests.lib.host_process import ROOT, make_single_host

SECONDS = 10
RESOURCES = "[resources]\nmemory_mb = 200\nmax_descriptors = 4100\n"


class Load(NamedTuple):
    """A client load: its shape, connections, and bytes sent on each."""

    shape: str
    connections: int
    size: int


LOADS = {
    "few": Load("small", 8, 8_000_000),
    "small": Load("small", 400, 400_000),
    "bodies": Load("bodies", 400, 400_000),
    "streams": Load("streams", 400, 400_000),
    "large_answers": Load("large_answers", 600, 9_000),
    "bare": Load("bare", 400, 400_000),
    "unknown": Load("unknown", 400, 400_000),
    "half_heads": Load("half_heads", 1500, 4_000),
    "idle": Load("idle", 3900, 0),
    "byte_readers": Load("byte_readers", 400, 400_000),
}
ROUTES = [
    make_route("look", "idempotent"),
    make_route("brief", "streaming", service="engines"),
    make_route("bulk", "idempotent", service="bulk"),
    make_route("calm", "idempotent", service="calm"),
]
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15_000,
}
ANSWER_BYTES = 250_000
EVENT_BYTES, EVENTS = 2_000, 500


class Fleet:
    """A store, one host and servers in processes of their own."""

    def __init__(self, folder: Path, resources: str = RESOURCES) -> None:
        self.world = World()
        configuration = make_configuration(4, ROUTES)
        for name in ("bulk", "calm"):
            service = {"name": name, "max-connections": 5000}
            configuration["services"].append(service)
        configuration["limits"] = LIMITS
        self.world.store.write("config", "main", configuration)
        self._processes: list[subprocess.Popen[bytes]] = []
        self._add_server("p1", "plain", "3")
        self._add_server("c1", "calm", "3")
        self._add_server("e1", "engines", str(EVENT_BYTES), str(EVENTS))
        self._add_server("b1", "bulk", str(ANSWER_BYTES))
        self.host = make_single_host(self.world, folder, more=resources)
        self.host.start()
        wait_until(self.host.is_ready, seconds=20)
        wait_until(self.is_answered)

    def _add_server(self, name: str, service: str, *shape: str) -> None:
        number = 150 + len(self._processes)
        address = (f"{self.world.net}.{number}", SERVER_PORT)
        server = BackendServer(name=name, service=service, address=address)
        command = [sys.executable, "-m", "standins.bulk_server", server.address]
        self._processes.append(subprocess.Popen([*command, *shape], cwd=ROOT))
        entry = {**server.describe(), "slots": 5000}
        self.world.store.write("servers", name, entry)

    def start_load(self, load: Load, seconds: float) -> subprocess.Popen[bytes]:
        """Start a process with a client load."""
        address = f"{self.host.ip}:{CALLER_PORT}"
        command = [sys.executable, "-m", "tests.lib.uncontrolled_callers", address]
        numbers = [str(load.connections), str(load.size), str(seconds)]
        process = subprocess.Popen([*command, load.shape, *numbers], cwd=ROOT)
        self._processes.append(process)
        return process

    def call(self) -> int:
        """Make an ordinary request; return its status, or 0 without a connection."""
        try:
            caller = Caller(self.host.ip)
        except OSError:
            return 0
        reply = caller.call("/calm/1")
        caller.close()
        return reply.status

    def is_answered(self) -> bool:
        """Return whether an ordinary request is answered."""
        return self.call() == 200

    def read_memory_kb(self, name: str = "VmHWM") -> int:
        """Return a memory figure of the host's process, its peak by default."""
        with open(f"/proc/{self.host.process.pid}/status") as status:
            lines = dict(line.split(":", 1) for line in status)
        return int(lines[name].split()[0])

    def count_descriptors(self) -> int:
        """Return the number of descriptors that the host has open."""
        return len([*Path(f"/proc/{self.host.process.pid}/fd").iterdir()])

    def stop(self) -> None:
        """End all processes."""
        self.host.stop()
        for process in self._processes:
            process.kill()
            process.wait()
        self.world.stop()


def run(name: str, folder: Path, resources: str) -> str:
    """Run one load; return a line with what it did."""
    fleet = Fleet(folder, resources)
    try:
        before_mb = fleet.read_memory_kb("VmRSS") / 1000
        process = fleet.start_load(LOADS[name], SECONDS)
        statuses: Counter[int] = Counter()
        slowest_s, descriptors = 0.0, 0
        while process.poll() is None:
            began = time.monotonic()
            status = 0
            with gevent.Timeout(5, False):
                status = fleet.call()
            statuses[status] += 1
            slowest_s = max(slowest_s, time.monotonic() - began)
            descriptors = max(descriptors, fleet.count_descriptors())
            gevent.sleep(max(0.0, 1.0 - (time.monotonic() - began)))
        after_mb = fleet.read_memory_kb() / 1000
        return (
            f"{name:14} {before_mb:5.0f} to {after_mb:5.0f} MB, "
            f"{descriptors:5} descriptors, ordinary calls by status "
            f"{dict(statuses)}, slowest {slowest_s:.2f} s, "
            f"{'alive' if fleet.host.process.poll() is None else 'DEAD'}"
        )
    finally:
        fleet.stop()


def main() -> None:
    """Run the named loads, or all."""
    arguments = sys.argv[1:]
    resources = RESOURCES
    if "--no-limits" in arguments:
        arguments.remove("--no-limits")
        resources = ""
    for name in arguments or LOADS:
        with tempfile.TemporaryDirectory() as folder:
            print(run(name, Path(folder), resources), flush=True)


if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()
    main()
