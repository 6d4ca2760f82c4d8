"""The one binary does the main job, in the process that was started."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.lib.callers import Caller
from tests.lib.fleets import start_fleet

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
    ended = run_with_binary("standins.demonstration")
    assert ended.returncode == 0, ended.stdout + ended.stderr


def test_the_binary_starts_no_other_process(monkeypatch):
    monkeypatch.setattr("standins.fleet.HOST_PROGRAM", [str(BINARY)])
    fleet = start_fleet(hosts={"h1": "dc1"})
    try:
        (host,) = fleet.hosts()
        caller = Caller(workspace="depot")
        caller.send_turn(host.address, chat="c1")
        caller.check_answers()
        tasks = Path(f"/proc/{host.child.pid}/task")
        children = [(task / "children").read_text() for task in tasks.iterdir()]
        assert not "".join(children).strip()
        executable = Path(f"/proc/{host.child.pid}/exe").resolve()
        assert executable == BINARY
    finally:
        fleet.__exit__()
