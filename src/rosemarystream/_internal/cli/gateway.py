"""``rosemarystream gateway``: run one entry host on the users' platform."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from rosemarystream._internal.cli.base_command import BaseCommand


@cappa.command(
    name="gateway",
    help="Run one entry host on the users' platform until SIGTERM.",
    description="Example: rosemarystream gateway --settings gateway.toml",
)
@dataclass(kw_only=True)
class GatewayCommand(BaseCommand):
    """Runs an entry host on the users' platform."""

    settings: Annotated[
        Path, cappa.Arg(long="--settings", help="Settings file (TOML).")
    ]

    def run(self) -> int:
        """Run the entry host until it stops and return the exit code."""
        from rosemarystream._internal.gateway.process import run_gateway

        return run_gateway(self.settings)
