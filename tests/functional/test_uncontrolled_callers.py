"""Callers that pipeline requests, or don't read, exhaust no memory and no descriptors.

The loads of ``bench/callers.py``, smaller and against lower limits. Each guards
against a host whose memory or descriptors grow with what such callers send, until the
process is killed or accepts nothing more.
"""

import gevent
import pytest

from bench.callers import Fleet, Load
from tests.lib.entry_world import wait_until

RESOURCES = "[resources]\nmemory_mb = 120\nmax_descriptors = 1000\n"
# Bounds for a machine with these limits; a host takes 36 MB before any traffic.
MAX_MEMORY_KB = 85_000
MAX_DESCRIPTORS = 700
SECONDS = 3.0
LOADS = [
    Load("small", 8, 8_000_000),
    Load("small", 200, 400_000),
    Load("bodies", 250, 400_000),
    Load("streams", 100, 400_000),
    Load("large_answers", 120, 9_000),
    Load("bare", 800, 400_000),
    Load("unknown", 800, 400_000),
    Load("half_heads", 1500, 4_000),
    Load("idle", 1500, 0),
    Load("byte_readers", 120, 400_000),
]

pytestmark = pytest.mark.alone


@pytest.fixture
def fleet(tmp_path):
    created = Fleet(tmp_path, RESOURCES)
    yield created
    created.stop()


@pytest.mark.parametrize("load", LOADS, ids=lambda x: f"{x.shape}-{x.connections}")
def test_a_host_stays_within_its_limits_and_answers_afterwards(fleet, load):
    process = fleet.start_load(load, SECONDS)
    descriptors = 0
    with gevent.Timeout(60):
        while process.poll() is None:
            descriptors = max(descriptors, fleet.count_descriptors())
            gevent.sleep(0.05)
    assert fleet.host.process.poll() is None
    assert fleet.read_memory_kb() <= MAX_MEMORY_KB
    assert descriptors <= MAX_DESCRIPTORS
    wait_until(fleet.is_answered)
