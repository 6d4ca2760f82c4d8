"""Base class, exit codes and output of the commands."""

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
    """Base of the commands; the parser calls the instance it has filled."""

    def __call__(self) -> int:
        """Run the command; report an error of this project on standard error.

        Returns
        -------
        int
            Exit code.
        """
        try:
            return self.run()
        except RosemarystreamError as error:
            print(error, file=sys.stderr)
            return choose_exit_code(error)

    @abstractmethod
    def run(self) -> int:
        """Carry out the command and return the exit code."""


def choose_exit_code(error: RosemarystreamError) -> int:
    """Return the exit code for the kind of an error."""
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
