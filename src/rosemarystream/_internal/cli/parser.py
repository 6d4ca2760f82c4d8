"""The command line of the program."""

from dataclasses import dataclass

import cappa

from rosemarystream._internal.cli.serve import ServeCommand


@cappa.command(
    name="rosemarystream",
    help="A router fleet for very many returning chats.",
)
@dataclass(kw_only=True)
class Program:
    """The program with its commands."""

    command: cappa.Subcommands[ServeCommand]


def run() -> int:
    """Parse the arguments, run the command and return the exit code."""
    program = cappa.parse(Program, completion=False)
    return program.command()
