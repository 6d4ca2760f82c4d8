"""Records of blocked prompt parts in the store."""

import time

import gevent
import msgspec
import pytest

from rosemarystream._internal.decisions.prompt_blocks import BLOCK_S, Block
from rosemarystream._internal.gateway.host_records import read_hosts
from rosemarystream._internal.platform.store import BLOCKED_PARTS, HOSTS, Store
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


ODD_RECORDS = {
    "long_time": ("12", {"began_ms": "1", "until_ms": "9" * 4_000}),
    "longer_time": ("12", {"began_ms": "1", "until_ms": "9" * 5_000}),
    "negative_time": ("12", {"began_ms": "-" + "9" * 400, "until_ms": "1"}),
    "long_number": ("f" * 200, {"began_ms": "1", "until_ms": str(2**42)}),
    "negative_number": ("-5", {"began_ms": "1", "until_ms": str(2**42)}),
    "nested": ("12", msgspec.Raw(b"[" * 5_000 + b"]" * 5_000)),
    "nested_object": ("12", msgspec.Raw(b'{"a":' * 5_000 + b"1" + b"}" * 5_000)),
}


@pytest.mark.parametrize("odd", ODD_RECORDS)
def test_an_odd_record_costs_no_other_one(world, blocks, odd):
    world.store.write(BLOCKED_PARTS, *ODD_RECORDS[odd])
    gevent.sleep(0.3)
    now_ms = int(time.time() * 1000)
    fields = {"began_ms": str(now_ms), "until_ms": str(now_ms + 60_000)}
    world.store.write(BLOCKED_PARTS, f"{PART + 1:016x}", fields)
    expected = [f"{PART:016x}", f"{PART + 1:016x}"]
    wait_until(lambda: list_blocked(world) == [expected] * 2)
    left_out = [[*host.read_state()["left_out"]] for host in world.hosts.values()]
    assert [f"{BLOCKED_PARTS}/{ODD_RECORDS[odd][0]}"] in left_out


@pytest.mark.parametrize(
    ("name", "ip"),
    [
        ("odd", "10.0.0.400"),
        ("odd", "no.such.host.example"),
        ("odd", "0.0.0.0"),
        ("o" * 300, "127.8.8.8"),
    ],
)
def test_an_odd_host_in_the_store_is_no_host(world, name, ip):
    world.store.write(HOSTS, name, {"ip": ip, "data_centre": "a"})
    world.store.write(HOSTS, "nested", msgspec.Raw(b"[" * 5_000 + b"]" * 5_000))
    world.store.write(HOSTS, "sound", {"ip": "127.8.8.9", "data_centre": "a"})
    gateway = world.hosts["h1"].gateway
    store = gateway._stores.connect()
    gateway._registry._accept(read_hosts(store, gateway._left_out))
    store.close()
    known = [host.name for host in gateway._peer_table.list_known()]
    assert sorted(known) == ["h2", "sound"]
