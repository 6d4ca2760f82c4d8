"""Unexpected errors in the long-lived loops of an entry host under load."""

import itertools
from types import SimpleNamespace

import gevent
import msgspec
import pytest
from gevent import socket
from prometheus_client.parser import text_string_to_metric_families

from rosemarystream._internal.cli.host import describe_state
from rosemarystream._internal.decisions.prompt_blocks import BLOCK_S, Block
from rosemarystream._internal.gateway import process, server_watch
from rosemarystream._internal.gateway.metrics import StatsdSender
from rosemarystream._internal.gateway.supervisor import (
    FAILING_BOUND_S,
    LONGEST_PAUSE_S,
    SOUND_AFTER_S,
)
from rosemarystream._internal.platform.store import BLOCKED_PARTS, HOSTS, Store
from tests.lib.entry_world import (
    METRICS_PORT,
    World,
    get,
    make_configuration,
    wait_until,
)

ERRORS_IN_A_ROW = 3
FAILURE_COUNTERS = (
    "rosemarystream_loop_failures_total",
    "rosemarystream_task_failures_total",
)
ALWAYS = 1_000_000
STATSD_WAIT_S = 0.7
CALLERS = 4
# Time for the pauses after a series of errors, and for the work that follows.
RECOVERY_S = 8.0
_numbers = itertools.count(20)


class OddError(Exception):
    """An error that no code expects."""


class FailingCall:
    """Makes the next calls of a method raise; others are passed on."""

    def __init__(self, monkeypatch, owner, name, *, concerns=lambda *arguments: True):
        self.left = 0
        self._original = getattr(owner, name)
        self._concerns = concerns
        original, failing = self._original, self

        def call(*arguments, **named):
            if failing.left and concerns(*arguments):
                failing.left -= 1
                raise OddError(f"odd {name}")
            return original(*arguments, **named)

        monkeypatch.setattr(owner, name, call)


class Load:
    """Callers that repeat requests until they are stopped."""

    def __init__(self, host):
        self._host = host
        self._stopped = False
        self.replies = []
        self._callers = [gevent.spawn(self._run, n) for n in range(CALLERS)]

    def _run(self, number):
        path = "/look/1" if number % 2 else "/brief/1"
        while not self._stopped:
            self.replies.append(self._host.call(path))
            gevent.sleep(0.02)

    def stop(self):
        self._stopped = True
        gevent.joinall(self._callers, raise_error=True)

    def list_odd(self):
        return [x for x in self.replies if x.status != 200 or not x.complete]


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_server("e1", "engines")
    created.add_host("h1")
    created.add_host("h2", seeds=["h1"])
    for host in created.hosts.values():
        wait_until(lambda host=host: host.list_servers() == ["e1", "p1"])
        wait_until(lambda host=host: len(host.list_hosts()) == 1)
    yield created
    created.stop()


@pytest.fixture
def load(world):
    created = Load(world.hosts["h1"])
    yield created
    created.stop()


def list_points(world, loop):
    """Return object and method of the calls in a loop's body, on the first host."""
    gateway = world.hosts["h1"].gateway
    evacuations = gateway._router.availability.evacuations
    watches = dict(
        zip(
            ("configuration_watch", "server_watch", "block_watch", "evacuation_watch"),
            gateway._watches,
            strict=True,
        )
    )
    if loop in watches:
        watch = watches[loop]
        return [(watch, "_is_watcher"), (watch._store, "watch"), (watch._store, "list")]
    return {
        "block_writes": [(gateway._watches[2]._writer, "create")],
        "gossip_receive": [
            (gateway._peer_table, "record_alive"),
            (gateway._loads, "accept_host"),
            (gateway._contexts, "accept_cache_updates"),
            (gateway._router.speeds, "accept_reports"),
            (gateway._router.limits, "accept_reports"),
            (gateway._puller, "pull_contexts"),
            (evacuations, "accept_rows"),
        ],
        "gossip_rounds": [
            (gateway._peer_table, "list_unreachable"),
            (gateway._blocks, "take_updates"),
            (gateway._loads, "sum_others_by_host"),
            (gateway._router.speeds, "list_all"),
            (gateway._contexts, "take_cache_updates"),
        ],
        "housekeeping": [
            (gateway._peer_table, "remove_stale"),
            (gateway._replica, "expire"),
            (gateway._peer_table, "take_changes"),
            (gateway._blocks, "expire"),
            (gateway._blocks, "take_changes"),
            (gateway._router.statements, "log_changes"),
            (gateway._state, "record_version"),
            (evacuations, "take_changes"),
        ],
        "service_probes": [(gateway._router, "list_unreachable_services")],
        "limited_sends": [(gateway._router.statements, "log_limited_sends")],
    }[loop]


def read_metrics(host):
    text = get(host.ip, METRICS_PORT, "/metrics").body.decode()
    return [
        sample
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]


def count_failures(world, loop, host="h1"):
    return sum(
        sample.value
        for sample in read_metrics(world.hosts[host])
        if sample.name in FAILURE_COUNTERS and loop in sample.labels.values()
    )


def accept_block(world):
    gateway = world.hosts["h1"].gateway
    part, now = next(_numbers), gateway._clock()
    gateway._blocks.accept_block(
        Block(part, now, now + BLOCK_S), now, is_forwarded=True
    )
    return f"{part:016x}"


def list_records(world):
    store = Store(address=world.store.address, clock=lambda: 0.0)
    try:
        return [item.name for item in store.list(BLOCKED_PARTS).objects]
    finally:
        store.close()


def check_all_works(world):
    """Check the work of each loop on all hosts."""
    hosts = world.hosts.values()
    number = next(_numbers)
    world.store.write("config", "main", make_configuration(number))
    server = world.add_server(f"p{number}")
    record = accept_block(world)
    world.store.write("evacuations", f"z{number}", {})
    for host in hosts:
        wait_until(lambda host=host: host.get_version() == number, RECOVERY_S)
        wait_until(
            lambda host=host: server.name in host.list_servers("plain"), RECOVERY_S
        )
        wait_until(
            lambda host=host: record in host.read_state()["blocked_parts"], RECOVERY_S
        )
        wait_until(
            lambda host=host: f"z{number}" in host.read_state()["evacuations"],
            RECOVERY_S,
        )
        wait_until(lambda host=host: len(host.list_hosts()) == 1, RECOVERY_S)
    wait_until(lambda: record in list_records(world), RECOVERY_S)
    wait_until(lambda: is_called(world, server), RECOVERY_S)


def is_called(world, server):
    for host in world.hosts.values():
        assert host.call("/look/1").status == 200
    return server.arrivals > 0


def provoke(world):
    """Give the loops work: listings of the store, and a block to write."""
    world.store.drop_history()
    accept_block(world)


def fail_calls(world, failing, count):
    failing.left = count
    with gevent.Timeout(RECOVERY_S, AssertionError("calls not made")):
        while failing.left:
            provoke(world)
            gevent.sleep(0.2)


@pytest.mark.parametrize(
    "loop",
    [
        "configuration_watch",
        "server_watch",
        "block_watch",
        "evacuation_watch",
        "block_writes",
        "gossip_receive",
        "gossip_rounds",
        "housekeeping",
        "service_probes",
        "limited_sends",
    ],
)
def test_a_loop_goes_on_after_unexpected_errors(world, load, monkeypatch, loop):
    for owner, name in list_points(world, loop):
        failing = FailingCall(monkeypatch, owner, name)
        fail_calls(world, failing, 1)
    fail_calls(world, failing, ERRORS_IN_A_ROW)
    check_all_works(world)
    expected = len(list_points(world, loop)) + ERRORS_IN_A_ROW
    assert count_failures(world, loop) >= expected
    assert load.replies
    assert load.list_odd() == []


def test_an_entry_of_the_store_that_raises_keeps_no_other_from_use(world, monkeypatch):
    failing = FailingCall(
        monkeypatch,
        server_watch,
        "decode_server_entry",
        concerns=lambda name, *_: name == "odd",
    )
    failing.left = ALWAYS
    world.store.write("servers", "odd", {"address": "none"})
    wait_until(lambda: failing.left < ALWAYS)
    check_all_works(world)
    gevent.sleep(2.0)
    seen = failing.left
    gevent.sleep(2.0)
    assert failing.left == seen
    counted = sum(count_failures(world, "server_watch", host) for host in world.hosts)
    assert counted == ALWAYS - seen


def test_a_message_that_raises_keeps_no_other_from_receipt(world, monkeypatch):
    world.add_host("h3", seeds=["h1"])
    peer_table = world.hosts["h1"].gateway._peer_table
    wait_until(lambda: world.hosts["h1"].list_hosts() == ["h2", "h3"])
    failing = FailingCall(
        monkeypatch, peer_table, "record_alive", concerns=lambda name, *_: name == "h3"
    )
    failing.left = ALWAYS
    wait_until(lambda: world.hosts["h1"].list_hosts() == ["h2"])
    for _ in range(20):
        gevent.sleep(0.05)
        assert "h2" in world.hosts["h1"].list_hosts()
    assert count_failures(world, "gossip_receive") > 0


def test_a_pull_that_raises_is_counted_and_later_ones_are_made(world, monkeypatch):
    puller = world.hosts["h2"].gateway._puller
    failing = FailingCall(monkeypatch, puller, "_accept")
    failing.left = 2
    world.store.refused.add(world.hosts["h2"].store_address)
    world.add_server("p2")
    wait_until(lambda: "p2" in world.hosts["h2"].list_servers(), RECOVERY_S)
    assert not failing.left
    assert count_failures(world, "pull", "h2") == 2


def test_a_check_of_a_server_that_raises_leaves_nothing_behind(world, monkeypatch):
    gateway = world.hosts["h1"].gateway
    crashes = gateway._relay._crashes
    failing = FailingCall(monkeypatch, gateway._pool, "probe")
    failing.left = 1
    endpoint = next(x for x in gateway._replica.list_endpoints() if x.name == "e1")
    call = SimpleNamespace(request_id="r", parts=(7,), format_prompt=list)
    crashes.report_closed(endpoint, call, (7,))
    wait_until(lambda: count_failures(world, "probe") == 1)
    assert not crashes._checks
    world.servers["e1"].crash()
    crashes.report_closed(endpoint, call, (7,))
    wait_until(lambda: len(crashes._crashed) == 1)
    assert not crashes._checks


def test_blocks_lapse_while_other_housekeeping_fails(world, monkeypatch):
    gateway = world.hosts["h1"].gateway
    failing = FailingCall(monkeypatch, gateway._peer_table, "remove_stale")
    failing.left = ALWAYS
    now = gateway._clock()
    block = Block(next(_numbers), now, now + 0.5)
    gateway._blocks.accept_block(block, now, is_forwarded=True)
    assert gateway._blocks.list_blocks()
    wait_until(lambda: not gateway._blocks.list_blocks(), RECOVERY_S)
    assert "housekeeping" in world.hosts["h1"].read_state()["failing_loops"]


def test_a_host_whose_gossip_fails_for_long_is_not_ready(world, load, monkeypatch):
    host = world.hosts["h1"]
    failing = FailingCall(monkeypatch, host.gateway._contexts, "take_cache_updates")
    failing.left = ALWAYS
    gevent.sleep(FAILING_BOUND_S / 2)
    assert host.is_ready()
    wait_until(lambda: not host.is_ready(), FAILING_BOUND_S)
    assert host.read_state()["failing_loops"]["gossip_rounds"]["error"] == "OddError"
    assert "failing: gossip_rounds for " in "\n".join(describe_state(host.read_state()))
    failing.left = 0
    wait_until(host.is_ready, LONGEST_PAUSE_S + SOUND_AFTER_S + 1.0)
    assert host.read_state()["failing_loops"] == {}
    assert load.list_odd() == []


def test_a_host_whose_watch_fails_stays_ready_and_another_one_watches(
    world, monkeypatch
):
    host = world.hosts["h1"]
    failing = FailingCall(monkeypatch, host.gateway._watches[1]._store, "list")
    failing.left = ALWAYS
    world.store.drop_history()
    wait_until(lambda: count_failures(world, "server_watch") > 0)
    world.add_server("p2")
    wait_until(lambda: "p2" in host.list_servers(), RECOVERY_S)
    gevent.sleep(FAILING_BOUND_S)
    assert host.is_ready()
    assert "server_watch" in host.read_state()["failing_loops"]


def test_no_increment_is_sent_to_statsd_twice_after_an_error(world, monkeypatch):
    host = world.hosts["h1"]
    gateway = host.gateway
    monkeypatch.setattr(process, "STATSD_INTERVAL_S", 0.05)
    failing = FailingCall(monkeypatch, StatsdSender, "send")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind((host.ip, 0))
        address = f"{host.ip}:{server.getsockname()[1]}"
        metrics = msgspec.structs.replace(gateway._settings.metrics, statsd=address)
        gateway._settings = msgspec.structs.replace(gateway._settings, metrics=metrics)
        assert host.call("/look/1").status == 200
        loop = gateway._supervisor.start_loop("statsd", gateway._send_statsd)
        gateway._tasks.append(loop)
        increments = read_increments(server)
        failing.left = 1
        increments += read_increments(server)
    assert count_failures(world, "statsd") == 1
    assert increments[0] == 1.0
    assert sum(increments) == 1.0


def read_increments(server):
    """Return the increments of answered requests that arrive within a time."""
    text = b""
    with gevent.Timeout(STATSD_WAIT_S, False):
        while True:
            text += server.recv(65_536) + b"\n"
    return [
        float(line.partition(b":")[2].partition(b"|")[0])
        for line in text.splitlines()
        if line.startswith(b"rosemarystream.h1.requests_total.answered:")
    ]


def test_a_host_registers_in_the_store_after_unexpected_errors(monkeypatch):
    failing = FailingCall(
        monkeypatch, Store, "put", concerns=lambda store, kind, *_: kind == HOSTS
    )
    failing.left = ERRORS_IN_A_ROW
    world = World()
    try:
        world.add_host("h1")
        wait_until(lambda: HOSTS in world.store._objects, RECOVERY_S)
        assert count_failures(world, "host_exchange") == ERRORS_IN_A_ROW
    finally:
        world.stop()
