"""Benchmark of entry hosts as real processes.

Measures the latency of the internal hop, the relay of tokens, and an idle host with
its time from start to ready.
"""

import statistics
import threading
import time
from pathlib import Path
from typing import Any

from standins.calls import make_headers, request, stream_turn
from standins.fleet import WORKSPACE_KEY, Fleet, Host, wait_until
from tests.lib.fleets import start_fleet

TURNS = 60
RELAY_STREAMS = 64
RELAY_TOKENS = 200
RELAY_SAMPLE_SECONDS = 0.5
TICKS_PER_SECOND = 100


def _time_turns(address: str, chat: str) -> list[float]:
    headers = make_headers("depot", WORKSPACE_KEY)
    body = {"pool": "lm", "prompt": "hello", "max_tokens": 1}
    times = []
    for _ in range(TURNS):
        started = time.perf_counter()
        stream_turn(address, chat, body, headers)
        times.append(time.perf_counter() - started)
    return times


def _time_engine(address: str) -> list[float]:
    body = {
        "request_id": "direct",
        "chat": "direct",
        "prompt": "hello",
        "max_tokens": 1,
        "priority": 1,
        "generated": [],
    }
    times = []
    for _ in range(TURNS):
        started = time.perf_counter()
        request("POST", address, "/v1/generate", body)
        times.append(time.perf_counter() - started)
    return times


def _measure_hop(fleet: Fleet, hosts: list[Host]) -> dict[str, Any]:
    owner_name = hosts[0].dump()["routing"]["lm/dc1/0"]["owner"]
    owner = next(host for host in hosts if host.name == owner_name)
    other = next(host for host in hosts if host.name != owner_name)
    direct = statistics.median(_time_engine(fleet.processes["e1"].address))
    local = statistics.median(_time_turns(owner.address, "c"))
    hop = statistics.median(_time_turns(other.address, "c"))
    return {
        "engine alone, ms": direct * 1e3,
        "through the owner / alone": local / direct,
        "through the hop / alone": hop / direct,
        "hop adds, ms": (hop - local) * 1e3,
    }


def _read_processor_s(host: Host) -> float:
    assert host.child is not None
    fields = Path(f"/proc/{host.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def _read_memory_mb(host: Host) -> float:
    assert host.child is not None
    status = Path(f"/proc/{host.child.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def _relay_streams(host: Host, processes: list[Host]) -> dict[str, float]:
    headers = make_headers("depot", WORKSPACE_KEY)
    body = {"pool": "lm", "prompt": "relay", "max_tokens": RELAY_TOKENS}
    before = {p.name: _read_processor_s(p) for p in processes}
    started = time.perf_counter()
    threads = [
        threading.Thread(
            target=stream_turn, args=(host.address, f"relay-{n}", body, headers)
        )
        for n in range(RELAY_STREAMS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(RELAY_SAMPLE_SECONDS)
    memory = {p.name: _read_memory_mb(p) for p in processes}
    for thread in threads:
        thread.join()
    elapsed = time.perf_counter() - started
    tokens = RELAY_STREAMS * RELAY_TOKENS
    result = {"tokens/s": tokens / elapsed, "memory": memory[host.name]}
    for process in processes:
        spent = _read_processor_s(process) - before[process.name]
        result[process.name] = tokens / spent if spent else float("inf")
    return result


def _measure_relay(hosts: list[Host]) -> list[dict[str, Any]]:
    owner_name = hosts[0].dump()["routing"]["lm/dc1/0"]["owner"]
    rows = []
    for entry in hosts:
        result = _relay_streams(entry, hosts)
        role = "owner" if entry.name == owner_name else "entry, then owner"
        other = next(h for h in hosts if h is not entry)
        row = {
            "way": role,
            "tokens/s": result["tokens/s"],
            "tokens per core-second, entry": result[entry.name],
            "tokens per core-second, other host": result[other.name],
            "memory of the entry, MB": result["memory"],
        }
        rows.append(row)
    return rows


def _measure_idle(hosts: list[Host]) -> dict[str, Any]:
    host = hosts[0]
    before = _read_processor_s(host)
    time.sleep(10.0)
    spent = _read_processor_s(host) - before
    host.kill()
    started = time.perf_counter()
    host.start()
    wait_until(host.is_ready, seconds=20, what="ready")
    return {
        "idle memory, MB": _read_memory_mb(hosts[1]),
        "idle processor, % of a core": spent * 10,
        "start to ready, s": time.perf_counter() - started,
    }


def run(seed: int) -> dict[str, list[dict[str, Any]]]:
    """Return the tables of this benchmark; times depend on the machine."""
    fleet = start_fleet(
        hosts={"h1": "dc1", "h2": "dc1"},
        engines={"e1": "dc1", "e2": "dc1"},
        engine_options={"token_ms": 1, "slots": 64},
        peers={
            "heartbeat_ms": 1000,
            "suspect_ms": 2500,
            "takeover_ms": 500,
            "remove_ms": 3000,
        },
        limits={"poll_ms": 500, "poll_bytes_per_second": 1_300},
        platform={"timeout_ms": 2000, "watch_ms": 10_000, "hosts_interval_ms": 1000},
        control={"lease_ms": 6000, "order_flight_ms": 2000},
    )
    try:
        hosts = list(fleet.hosts())
        time.sleep(2.0)
        return {
            "latency of the internal hop": [_measure_hop(fleet, hosts)],
            "relay of tokens": _measure_relay(hosts),
            "an idle host": [_measure_idle(hosts)],
        }
    finally:
        fleet.__exit__()
