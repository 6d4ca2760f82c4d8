"""``rosemarystream sheet check|plan|apply``: check, plan and apply a sheet."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from rosemarystream._internal.cli.base_command import EXIT_OK, BaseCommand
from rosemarystream._internal.cli.operator_command import OperatorCommand
from rosemarystream._internal.exceptions import SheetError
from rosemarystream._internal.operators.sheet import parse_sheet

SheetFile = Annotated[Path, cappa.Arg(help="Sheet (CSV with sections).")]


def read_sheet(path: Path) -> str:
    """Return the text of a sheet.

    Raises
    ------
    SheetError
        If the file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SheetError(f"{path}: cannot be read: {error}") from error


@cappa.command(
    name="check",
    help="Check a sheet without a host; report every mistake with its place.",
    description="Example: rosemarystream sheet check monday.csv",
)
@dataclass(kw_only=True)
class SheetCheckCommand(BaseCommand):
    """Validates a sheet without a host."""

    file: SheetFile

    def run(self) -> int:
        """Validate the sheet; mistakes end the command with exit code 2."""
        sheet = parse_sheet(read_sheet(self.file), operator="check")
        counts = ", ".join(
            f"{len(rows)} {name}" for name, rows in _list_sections(sheet)
        )
        print(f"{self.file}: no mistakes; {counts}")
        return EXIT_OK


def _list_sections(sheet: Any) -> list[tuple[str, Any]]:
    return list(sheet._asdict().items())


@cappa.command(
    name="plan",
    help="Show what applying a sheet would change, and the base to apply from.",
    description=(
        "Example: rosemarystream sheet plan monday.csv --host 10.0.0.1:7002 "
        "--key-file key"
    ),
)
@dataclass(kw_only=True)
class SheetPlanCommand(OperatorCommand):
    """Shows the changes that applying a sheet would make."""

    file: SheetFile

    def run(self) -> int:
        """Print the base of the plan and its changes."""
        body = {"sheet": read_sheet(self.file)}
        plan = self.call_host("POST", "/v1/sheet/plan", body)
        lines = [f"base {plan['base']}"]
        lines += [
            f"{c['change']:7} {c['section']} {c['name']}" for c in plan["changes"]
        ]
        self.print_result(plan, lines)
        return EXIT_OK


@cappa.command(
    name="apply",
    help="Put a sheet in force; refused if the state moved since the plan.",
    description=(
        "Example: rosemarystream sheet apply monday.csv --base 17 "
        "--host 10.0.0.1:7002 --key-file key. Exit code 3: the state has moved."
    ),
)
@dataclass(kw_only=True)
class SheetApplyCommand(OperatorCommand):
    """Applies a sheet that was planned before."""

    file: SheetFile
    base: Annotated[int, cappa.Arg(long="--base", help="Base that plan printed.")]

    def run(self) -> int:
        """Apply the sheet and print the accepted generation."""
        body = {"sheet": read_sheet(self.file), "base": self.base}
        answer = self.call_host("POST", "/v1/sheet/apply", body)
        self.print_result(answer, [f"generation {answer['generation']} is accepted"])
        return EXIT_OK


@cappa.command(name="sheet", help="Check, plan and apply the planners' sheet.")
@dataclass(kw_only=True)
class SheetCommand:
    """Group of the commands for the sheet."""

    command: cappa.Subcommands[SheetCheckCommand | SheetPlanCommand | SheetApplyCommand]

    def __call__(self) -> int:
        """Run the subcommand."""
        return self.command()
