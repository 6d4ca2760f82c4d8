"""Benchmark of the processor time and bytes that logging costs an entry host.

Two hosts run as separate processes, one at log level info and one at error, and
receive the same requests alternately, at low load and in a flood. The result is the
ratio of their processor times within the run.
"""

import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import gevent

from tests.lib.entry_world import Caller, World, wait_until
from tests.lib.host_process import HostProcess

CALLERS = 4
# Requests of one caller to one host, and the pause after each.
FLOOD_REQUESTS, FLOOD_PAUSE_S = 1_600, 0.0
QUIET_REQUESTS, QUIET_PAUSE_S = 160, 0.02
ROUNDS = 40
NS_PER_S = 1e9


class LogCost(NamedTuple):
    """Holds the cost of logging for one load pattern.

    Attributes
    ----------
    pattern : str
        Name of the load pattern.
    requests : int
        Requests that each host received.
    ratio : float
        Processor time with logs divided by that without.
    bytes_per_request : float
        Bytes written to the log divided by the number of requests.
    """

    pattern: str
    requests: int
    ratio: float
    bytes_per_request: float


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used so far, in seconds."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / NS_PER_S


def send_requests(host: HostProcess, path: str, count: int, pause_s: float) -> None:
    """Send requests one after the other over one connection."""
    caller = Caller(host.ip)
    for _ in range(count):
        reply = caller.call(path)
        assert reply.complete, reply
        gevent.sleep(pause_s)
    caller.close()


def alternate_hosts(hosts: list[HostProcess], rounds: int) -> list[HostProcess]:
    """Return the hosts round by round, with the order reversed in every other round.

    The first round is a reversed one.
    """
    turns: list[HostProcess] = []
    for number in range(rounds):
        turns += hosts if number % 2 else reversed(hosts)
    return turns


def measure(
    hosts: list[HostProcess], pattern: str, path: str, count: int, pause_s: float
) -> LogCost:
    """Measure one load pattern on a host with logs and one without."""
    with_logs, without_logs = hosts
    processor_s = {host.name: 0.0 for host in hosts}
    size_before = with_logs.log.stat().st_size
    for host in alternate_hosts(hosts, ROUNDS):
        before = read_processor_s(host.process.pid)
        gevent.joinall(
            [
                gevent.spawn(send_requests, host, path, count // ROUNDS, pause_s)
                for _ in range(CALLERS)
            ],
            raise_error=True,
        )
        processor_s[host.name] += read_processor_s(host.process.pid) - before
    time.sleep(1.0)
    requests = count // ROUNDS * ROUNDS * CALLERS
    written = with_logs.log.stat().st_size - size_before
    ratio = processor_s[with_logs.name] / processor_s[without_logs.name]
    return LogCost(pattern, requests, ratio, written / requests)


def run(seed: int) -> dict[str, Any]:
    """Measure all load patterns; the seed is ignored."""
    world = World()
    hosts: list[HostProcess] = []
    try:
        for name in ("p1", "p2"):
            world.add_server(name)
        with tempfile.TemporaryDirectory() as folder:
            for number, level in enumerate(("info", "error")):
                host = HostProcess(
                    name=f"h{number}",
                    data_centre="a",
                    ip=f"{world.net}.{200 + number}",
                    store=world.store.address,
                    seeds=[],
                    folder=Path(folder),
                    more=f'[log]\nlevel = "{level}"\n',
                )
                host.start()
                hosts.append(host)
            for host in hosts:
                wait_until(host.is_ready)
            costs = [
                measure(hosts, "quiet", "/look/1", QUIET_REQUESTS, QUIET_PAUSE_S),
                measure(hosts, "flood", "/look/1", FLOOD_REQUESTS, FLOOD_PAUSE_S),
                measure(hosts, "refusals", "/none/", FLOOD_REQUESTS, FLOOD_PAUSE_S),
            ]
            return {"cost of logs": [cost._asdict() for cost in costs]}
    finally:
        for host in hosts:
            host.stop()
        world.stop()
