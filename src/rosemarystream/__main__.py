"""Entry point of the ``rosemarystream`` program."""

import sys


def main() -> int:
    """Run the command line and return the exit code."""
    from rosemarystream._internal.cli.parser import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
