"""Randomized soak: entry hosts as real processes under injected faults.

``python -m tests.soak --seed 7 --seconds 20`` prints the violations, if any, and then
the folder of the host logs. The same seed draws the same faults; their timing
relative to the traffic differs from run to run.
"""

import argparse
import sys

from tests.soak.run import run_soak


def main() -> int:
    parser = argparse.ArgumentParser(description="Randomized soak of entry hosts.")
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    broken = 0
    for seed in options.seed:
        report = run_soak(seed=seed, seconds=options.seconds)
        print(report.describe(), flush=True)
        broken += bool(report.violations)
    print(f"{len(options.seed) - broken} passed, {broken} failed")
    return 1 if broken else 0


sys.exit(main())
