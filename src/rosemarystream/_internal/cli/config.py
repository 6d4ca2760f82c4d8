"""``rosemarystream config check``: validate a settings file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec

from rosemarystream._internal.cli.base_command import EXIT_OK, BaseCommand, print_json
from rosemarystream._internal.settings import load_settings


@cappa.command(
    name="check",
    help="Check a settings file and report every mistake at once.",
    description="Example: rosemarystream config check host.toml",
)
@dataclass(kw_only=True)
class ConfigCheckCommand(BaseCommand):
    """Validates a settings file."""

    file: Annotated[Path, cappa.Arg(help="Settings file (TOML).")]
    gateway: Annotated[
        bool,
        cappa.Arg(long="--gateway", help="The file is for `rosemarystream gateway`."),
    ] = False
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the settings with defaults.")
    ] = False

    def run(self) -> int:
        """Validate the file; mistakes end the command with exit code 2."""
        shown = self._load_gateway() if self.gateway else self._load()
        if self.json:
            print_json(shown)
        else:
            print(f"{self.file}: no mistakes")
        return EXIT_OK

    def _load(self) -> dict[str, Any]:
        settings = load_settings(self.file)
        shown = settings._asdict()
        shown["operators"] = [
            {**operator, "key_sha256": "..."} for operator in settings.operators
        ]
        return shown

    def _load_gateway(self) -> dict[str, Any]:
        from rosemarystream._internal.gateway.settings import load_gateway_settings

        return msgspec.to_builtins(load_gateway_settings(self.file))


@cappa.command(name="config", help="Check settings files.")
@dataclass(kw_only=True)
class ConfigCommand:
    """Group of the commands for settings files."""

    command: cappa.Subcommands[ConfigCheckCommand]

    def __call__(self) -> int:
        """Run the subcommand."""
        return self.command()
