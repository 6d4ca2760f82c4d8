"""Command line of the benchmarks.

Usage: ``python -m bench EXPERIMENT [--seed N] [--json FILE]``, where EXPERIMENT is
one of `EXPERIMENTS`, a module of this package.
"""

import argparse
import importlib
import sys
from pathlib import Path

from bench.report import print_table, write_json

EXPERIMENTS = ("reuse", "floods", "fairness", "control", "costs", "processes", "logs")


def main() -> int:
    """Run one benchmark and print its tables."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("experiment", choices=EXPERIMENTS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    module = importlib.import_module(f"bench.{arguments.experiment}")
    tables = module.run(arguments.seed)
    for title, rows in tables.items():
        print_table(title, rows)
    if arguments.json:
        write_json(arguments.json, tables)
    return 0


if __name__ == "__main__":
    sys.exit(main())
