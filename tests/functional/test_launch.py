"""The start of an entry host from a checkout."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
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
