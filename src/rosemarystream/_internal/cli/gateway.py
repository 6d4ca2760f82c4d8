"""``rosemarystream gateway``: run one entry host on the users' platform."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from rosemarystream._internal.cli.base_command import EXIT_OK, BaseCommand


@cappa.command(
    name="gateway",
    help="Run one entry host on the users' platform until SIGTERM.",
    description="Example: rosemarystream gateway --settings gateway.toml",
)
@dataclass(kw_only=True)
class GatewayCommand(BaseCommand):
    """Runs an entry host."""

    settings: Annotated[
        Path, cappa.Arg(long="--settings", help="Settings file (TOML).")
    ]
    check: Annotated[
        bool, cappa.Arg(long="--check", help="Only check the settings, then stop.")
    ] = False

    def run(self) -> int:
        """Serve, or check the settings; returns the exit code."""
        from rosemarystream._internal.gateway.process import run_gateway
        from rosemarystream._internal.gateway.settings import load_gateway_settings

        if self.check:
            load_gateway_settings(self.settings)
            print(f"{self.settings}: in order")
            return EXIT_OK
        return run_gateway(self.settings)
