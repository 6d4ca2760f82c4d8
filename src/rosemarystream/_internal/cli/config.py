"""``rosemarystream config check``: check a settings file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from rosemarystream._internal.cli.base_command import EXIT_OK, BaseCommand, print_json
from rosemarystream._internal.settings import load_settings


@cappa.command(
    name="check",
    help="Check a settings file and report every mistake at once.",
    description="Example: rosemarystream config check host.toml",
)
@dataclass(kw_only=True)
class ConfigCheckCommand(BaseCommand):
    """Checks a settings file."""

    file: Annotated[Path, cappa.Arg(help="Settings file (TOML).")]
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the settings with defaults.")
    ] = False

    def run(self) -> int:
        """Check; mistakes end with exit code 2."""
        settings = load_settings(self.file)
        if self.json:
            shown = settings._asdict()
            shown["operators"] = [
                {**operator, "key_sha256": "..."} for operator in settings.operators
            ]
            print_json(shown)
        else:
            print(f"{self.file}: no mistakes")
        return EXIT_OK


@cappa.command(name="config", help="Look at settings files.")
@dataclass(kw_only=True)
class ConfigCommand:
    """Commands about settings."""

    command: cappa.Subcommands[ConfigCheckCommand]

    def __call__(self) -> int:
        """Run the subcommand."""
        return self.command()
