"""Entry hosts that run as separate processes."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from tests.lib.entry_world import (
    CALLER_PORT,
    METRICS_PORT,
    PEER_PORT,
    READY_PORT,
    HostClient,
    wait_until,
)

ROOT = Path(__file__).parents[2]


class HostProcess(HostClient):
    """An entry host in a separate process."""

    def __init__(
        self,
        *,
        name,
        data_centre,
        ip,
        store,
        seeds,
        folder,
        more="",
        stdout=None,
        program=(sys.executable, str(ROOT / "deploy" / "launch.py")),
    ):
        self.name = name
        self.ip = ip
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            f'[host]\nname = "{name}"\ndata_centre = "{data_centre}"\nip = "{ip}"\n'
            f'caller_address = "{ip}:{CALLER_PORT}"\n'
            f'ready_address = "{ip}:{READY_PORT}"\n'
            f"peer_port = {PEER_PORT}\nmetrics_port = {METRICS_PORT}\n"
            f"seeds = {seeds!r}\n".replace("'", '"')
            + f'[platform]\naddress = "{store}"\n[bounds]\nshutdown_ms = 3000\n'
            + more
        )
        self.process = None
        self._program = program
        self._stdout = stdout

    def start(self):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*self._program],
                env={**os.environ, "ROSEMARYSTREAM_SETTINGS": str(self.settings)},
                stdout=self._stdout or log,
                stderr=log,
            )

    def send(self, number):
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def restart(self, number):
        """Signal the process and start a new one, unless a restart is in progress."""
        ending = self.process
        self.send(number)
        wait_until(lambda: ending.poll() is not None, seconds=15.0)
        if self.process is ending:
            self.start()

    def stop(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self.process.wait()


def make_single_host(world, folder, **changes):
    """Return the only host of a world, not started yet."""
    return HostProcess(
        name="h1",
        data_centre="a",
        ip=f"{world.net}.200",
        store=world.store.address,
        seeds=[],
        folder=folder,
        **changes,
    )
