"""``rosemarystream serve``: run one host's process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from rosemarystream._internal.cli.base_command import BaseCommand


@cappa.command(
    name="serve",
    help="Run one host's process until it is told to leave (SIGTERM).",
    description="Example: rosemarystream serve --settings host.toml",
)
@dataclass(kw_only=True)
class ServeCommand(BaseCommand):
    """Runs a host process."""

    settings: Annotated[
        Path, cappa.Arg(long="--settings", help="Settings file (TOML).")
    ]

    def run(self) -> int:
        """Run the host until it has left; return 0 if no request was cut off."""
        # gevent must patch the standard library before anything imports sockets.
        from gevent import monkey

        monkey.patch_all()
        from rosemarystream._internal.host import HostProcess
        from rosemarystream._internal.logs import set_up_logs
        from rosemarystream._internal.settings import load_settings

        settings = load_settings(self.settings)
        set_up_logs(host=settings.host["name"], level=settings.observation["log_level"])
        return HostProcess(settings=settings).run()
