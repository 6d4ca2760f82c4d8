"""Short soak of real processes with a fixed seed; long soaks are run by hand."""

import pytest

from tests.soak.run import run_soak

SEED = 1
SECONDS = 6.0


@pytest.mark.long
def test_no_violations_while_processes_and_links_fail():
    report = run_soak(seed=SEED, seconds=SECONDS)
    assert not report.violations, report.describe()
    assert report.served > 0
