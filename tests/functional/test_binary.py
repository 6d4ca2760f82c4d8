"""The one-file binary serves requests, in the process that was started."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.lib import entry_world
from tests.lib.callers import Caller
from tests.lib.fleets import start_fleet
from tests.lib.host_process import make_single_host

ROOT = Path(__file__).parents[2]
BINARY = ROOT / "dist" / "rosemarystream"

pytestmark = pytest.mark.skipif(
    not BINARY.exists(), reason="the binary is not built here; run scripts/build"
)


def run_with_binary(module):
    """Run a module of the project with the binary in place of the program."""
    return subprocess.run(
        [sys.executable, "-m", module],
        env={**os.environ, "ROSEMARYSTREAM_PROGRAM": str(BINARY)},
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
    )


def test_the_binary_runs_the_demonstration():
    completed = run_with_binary("standins.demonstration")
    assert completed.returncode == 0, completed.stdout + completed.stderr


def list_children(pid):
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return "".join((task / "children").read_text() for task in tasks).split()


def test_the_binary_runs_an_entry_host_in_the_process_that_was_started(tmp_path):
    world = entry_world.World()
    world.add_server("p1")
    program = [str(BINARY), "gateway", "--settings", str(tmp_path / "h1.toml")]
    host = make_single_host(world, tmp_path, program=program)
    host.start()
    try:
        entry_world.wait_until(host.is_ready, seconds=30)
        caller = entry_world.Caller(host.ip)
        assert caller.call("/look/1").status == 200
        caller.close()
        assert list_children(host.process.pid) == []
    finally:
        host.stop()
        world.stop()


def test_the_binary_starts_no_other_process(monkeypatch):
    monkeypatch.setattr("standins.fleet.HOST_PROGRAM", [str(BINARY)])
    fleet = start_fleet(hosts={"h1": "dc1"})
    try:
        (host,) = fleet.hosts()
        caller = Caller(workspace="depot")
        caller.send_turn(host.address, chat="c1")
        caller.check_answers()
        assert list_children(host.child.pid) == []
        executable = Path(f"/proc/{host.child.pid}/exe").resolve()
        assert executable == BINARY
    finally:
        fleet.__exit__()
