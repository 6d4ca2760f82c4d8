"""Defines the command line of the program and runs it."""

from dataclasses import dataclass

import cappa

from rosemarystream._internal.cli.config import ConfigCommand
from rosemarystream._internal.cli.gateway import GatewayCommand
from rosemarystream._internal.cli.host import DrainCommand, DumpCommand, StatusCommand
from rosemarystream._internal.cli.recall import RecallCommand
from rosemarystream._internal.cli.serve import ServeCommand
from rosemarystream._internal.cli.sheet import SheetCommand
from rosemarystream._internal.cli.trace import TraceCommand


@cappa.command(
    name="rosemarystream",
    help="A router fleet for very many returning chats.",
    description=(
        "Exit codes: 0 done, 1 failed, 2 wrong input, 3 the state has moved, "
        "4 no answer."
    ),
)
@dataclass(kw_only=True)
class Program:
    """Program with all its commands."""

    command: cappa.Subcommands[
        ServeCommand
        | GatewayCommand
        | ConfigCommand
        | SheetCommand
        | RecallCommand
        | StatusCommand
        | DumpCommand
        | DrainCommand
        | TraceCommand
    ]


def run() -> int:
    """Parse the arguments, run the command and return its exit code."""
    program = cappa.parse(Program, completion=False)
    return program.command()
