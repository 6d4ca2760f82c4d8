"""Records of blocked prompt parts in the store."""

import gevent
import pytest

from rosemarystream._internal.decisions.prompt_blocks import BLOCK_S, Block
from rosemarystream._internal.platform.store import BLOCKED_PARTS, Store
from tests.lib.entry_world import World, wait_until

PART = 0xBAD


@pytest.fixture
def world():
    created = World()
    created.add_host("h1")
    created.add_host("h2", "b", seeds=["h1"])
    yield created
    created.stop()


@pytest.fixture
def blocks(world):
    """Blocked parts of a host, which has found one."""
    gateway = world.hosts["h1"].gateway
    now = gateway._clock()
    gateway._blocks.accept_block(
        Block(PART, now, now + BLOCK_S), now, is_forwarded=True
    )
    wait_until(lambda: list_records(world) == [f"{PART:016x}"])
    wait_until(lambda: list_blocked(world) == [[f"{PART:016x}"]] * 2)
    return gateway._blocks


def list_records(world):
    store = Store(address=world.store.address, clock=lambda: 0.0)
    try:
        return [item.name for item in store.list(BLOCKED_PARTS).objects]
    finally:
        store.close()


def list_blocked(world):
    return [[*host.read_state()["blocked_parts"]] for host in world.hosts.values()]


def test_removing_a_record_lifts_the_block_on_all_hosts(world, blocks):
    world.store.remove(BLOCKED_PARTS, f"{PART:016x}")
    wait_until(lambda: list_blocked(world) == [[], []])
    gevent.sleep(0.6)
    assert list_records(world) == []


def test_the_record_of_a_block_that_an_answer_lifts_is_removed(world, blocks):
    blocks.record_answer([PART], world.hosts["h1"].gateway._clock())
    wait_until(lambda: list_blocked(world) == [[], []])
    wait_until(lambda: list_records(world) == [])


def test_an_invalid_record_is_passed_over(world, blocks):
    world.store.write(BLOCKED_PARTS, "not-a-number", {"until_ms": "1"})
    world.store.write(BLOCKED_PARTS, "12", {"until_ms": 5})
    world.store.write(BLOCKED_PARTS, "13", None)
    gevent.sleep(0.5)
    assert list_blocked(world) == [[f"{PART:016x}"]] * 2
