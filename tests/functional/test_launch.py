"""The start of an entry host from a checkout."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from rosemarystream._internal.gateway.shutdown import IDLE_CLOSE_S
from tests.lib.entry_world import World, wait_until
from tests.lib.host_process import make_single_host

ROOT = Path(__file__).resolve().parents[2]
# A start that is held up: in so many turns of a few milliseconds it doesn't end, and a
# planned stop may last as long as the pauses.
TURNS, TURN_S, PAUSE_S = 10, 0.01, 0.3
# Runs the launcher without settings, so that it ends once all modules are loaded.
LAUNCH = """
import gc, runpy, sys

collections = []

def count(phase, info):
    process = sys.modules.get("rosemarystream._internal.gateway.process")
    if "rosemarystream" in sys.modules and not hasattr(process, "run_gateway"):
        collections.append(phase)

gc.callbacks.append(count)
try:
    runpy.run_path("deploy/launch.py")
except (SystemExit, Exception):
    print(len(collections), gc.isenabled())
"""


def test_no_collection_runs_while_modules_load():
    environment = {**os.environ, "ROSEMARYSTREAM_SETTINGS": "none"}
    ended = subprocess.run(
        [sys.executable, "-c", LAUNCH],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    assert ended.stdout.splitlines()[-1:] == ["0 True"]


@pytest.fixture
def starting(tmp_path):
    """A host that starts, as soon as it has run its first line."""
    world = World()
    world.add_server("p1")
    host = make_single_host(world, tmp_path)
    host.start()
    status = Path(f"/proc/{host.process.pid}/status")

    def holds_signals():
        lines = dict(line.split(":", 1) for line in status.read_text().splitlines())
        return int(lines["SigBlk"], 16) & 1 << (signal.SIGHUP - 1)

    wait_until(holds_signals)
    yield host
    host.stop()
    world.stop()


def test_a_host_that_is_told_to_reload_while_it_loads_does_not_end(starting):
    starting.send(signal.SIGHUP)
    wait_until(starting.is_ready, seconds=10.0)
    assert starting.process.poll() is None
    wait_until(lambda: b"settings reloaded" in starting.log.read_bytes())


def test_a_host_that_is_told_to_stop_while_it_loads_stops_as_planned(starting):
    starting.send(signal.SIGTERM)
    wait_until(lambda: starting.process.poll() is not None, seconds=10.0)
    assert starting.process.returncode == 0


# test_planned_stops failed beside load: a host that was told to stop while it started
# counted the time of its stop from the end of its start, and ended too late.
def test_the_time_of_a_stop_counts_from_its_signal(starting):
    starting.send(signal.SIGTERM)
    for _ in range(TURNS):
        time.sleep(TURN_S)
        starting.send(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        starting.send(signal.SIGCONT)
    wait_until(lambda: starting.process.poll() is not None, seconds=IDLE_CLOSE_S)
    assert starting.process.returncode == 0


def test_a_host_that_has_started_holds_no_signals(starting):
    wait_until(starting.is_ready, seconds=10.0)
    starting.send(signal.SIGTERM)
    wait_until(lambda: starting.process.poll() is not None, seconds=10.0)
    assert starting.process.returncode == 0
