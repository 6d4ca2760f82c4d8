"""``rosemarystream recall add|lift|list``: withdraw a batch from service."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from rosemarystream._internal.cli.base_command import EXIT_OK
from rosemarystream._internal.cli.operator_command import OperatorCommand
from rosemarystream._internal.models.configuration import RecallKind


@cappa.command(
    name="add",
    help="Withdraw a model version, an adapter version or a server.",
    description=(
        "Example: rosemarystream recall add model lm@7 --host 10.0.0.1:7002 "
        "--key-file key"
    ),
)
@dataclass(kw_only=True)
class RecallAddCommand(OperatorCommand):
    """Adds a recall."""

    kind: Annotated[RecallKind, cappa.Arg(help="What is recalled.")]
    target: Annotated[str, cappa.Arg(help="NAME@VERSION, or the server's name.")]

    def run(self) -> int:
        """Add the recall; it is in force even if it is not stored yet."""
        body = {"kind": self.kind, "target": self.target}
        answer = self.call_host("POST", "/v1/recalls", body)
        state = "stored" if answer["stored"] else "in force, not stored yet"
        self.print_result(answer, [f"recall {answer['recall_id']} is {state}"])
        return EXIT_OK


@cappa.command(
    name="lift",
    help="End a recall.",
    description=(
        "Example: rosemarystream recall lift RECALL_ID --host 10.0.0.1:7002 "
        "--key-file key"
    ),
)
@dataclass(kw_only=True)
class RecallLiftCommand(OperatorCommand):
    """Lifts a recall."""

    recall_id: Annotated[str, cappa.Arg(help="Id that add or list printed.")]

    def run(self) -> int:
        """Lift the recall."""
        answer = self.call_host("POST", f"/v1/recalls/{self.recall_id}/lift", {})
        self.print_result(answer, [f"recall {self.recall_id} is lifted"])
        return EXIT_OK


@cappa.command(
    name="list",
    help="List the recalls in force.",
    description=(
        "Example: rosemarystream recall list --host 10.0.0.1:7002 --key-file key"
    ),
)
@dataclass(kw_only=True)
class RecallListCommand(OperatorCommand):
    """Lists the recalls in force."""

    def run(self) -> int:
        """Print the recalls, one a line."""
        answer = self.call_host("GET", "/v1/recalls")
        lines = [
            f"{r['recall_id']}  {r['kind']:8} {r['target']}  by {r['operator']}"
            for r in answer["recalls"]
        ]
        self.print_result(answer, lines or ["no recalls are in force"])
        return EXIT_OK


@cappa.command(
    name="recall", help="Withdraw a batch from service; list and lift recalls."
)
@dataclass(kw_only=True)
class RecallCommand:
    """Group of the commands for recalls."""

    command: cappa.Subcommands[RecallAddCommand | RecallLiftCommand | RecallListCommand]

    def __call__(self) -> int:
        """Run the subcommand."""
        return self.command()
