"""What all commands share."""

import sys
from abc import ABC, abstractmethod
from typing import Any

import msgspec

from rosemarystream._internal.exceptions import RosemarystreamError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


class BaseCommand(ABC):
    """A command of the program; `__call__` is what the parser invokes."""

    def __call__(self) -> int:
        """Run the command and turn errors into a message and an exit code."""
        try:
            return self.run()
        except RosemarystreamError as error:
            print(error, file=sys.stderr)
            return choose_exit_code(error)

    @abstractmethod
    def run(self) -> int:
        """Do the work and return the exit code."""


def choose_exit_code(error: RosemarystreamError) -> int:
    """Return the exit code for an error."""
    codes = {
        "conflict": EXIT_CONFLICT,
        "platform_unavailable": EXIT_UNREACHABLE,
        "no_backend": EXIT_UNREACHABLE,
        "bad_request": EXIT_USAGE,
    }
    return codes.get(error.kind, EXIT_FAILED)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
