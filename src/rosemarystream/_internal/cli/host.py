"""``rosemarystream status``, ``dump`` and ``drain``: one host."""

from dataclasses import dataclass

import cappa

from rosemarystream._internal.cli.base_command import EXIT_OK, print_json
from rosemarystream._internal.cli.operator_command import OperatorCommand


@cappa.command(
    name="status",
    help="Show what a host does and sees.",
    description="Example: rosemarystream status --host 10.0.0.1:7002 --key-file key",
)
@dataclass(kw_only=True)
class StatusCommand(OperatorCommand):
    """Shows a short account of a host."""

    def run(self) -> int:
        """Show."""
        status = self.ask("GET", "/v1/status")
        lines = [f"{name}: {value}" for name, value in status.items()]
        self.show(status, lines)
        return EXIT_OK


@cappa.command(
    name="dump",
    help="Print the state dump of a host as JSON.",
    description="Example: rosemarystream dump --host 10.0.0.1:7002 --key-file key",
)
@dataclass(kw_only=True)
class DumpCommand(OperatorCommand):
    """Prints a host's state."""

    def run(self) -> int:
        """Print."""
        print_json(self.ask("GET", "/v1/debug/state"))
        return EXIT_OK


@cappa.command(
    name="drain",
    help="Let a host leave: it finishes its requests, then its process ends.",
    description="Example: rosemarystream drain --host 10.0.0.1:7002 --key-file key",
)
@dataclass(kw_only=True)
class DrainCommand(OperatorCommand):
    """Lets a host leave."""

    def run(self) -> int:
        """Ask for the leave; it goes on after the answer."""
        answer = self.ask("POST", "/v1/drain", {})
        self.show(answer, [f"{self.host} is {answer['state']}"])
        return EXIT_OK
