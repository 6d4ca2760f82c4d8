"""A host that was held up takes no sound server for dead, and refuses no caller.

In the tests that failed for it (issue 62) the loop was late, and connections that were
being made came late in the same moment; here they are delayed until then.
"""

import re
import time

import gevent
import pytest

from rosemarystream._internal.decisions.host_delays import LATE_S, Delay
from rosemarystream._internal.exceptions import ConnectError
from rosemarystream._internal.gateway import housekeeping, router
from rosemarystream._internal.gateway.connection_pool import CONNECT_TIMEOUT_S
from rosemarystream._internal.models.judgements import Judgement
from rosemarystream._internal.models.log_entries.process import HostDelayed
from rosemarystream._internal.models.log_entries.servers import JudgementWithheld
from rosemarystream._internal.utils.http_connection import ClientConnection
from tests.lib.entry_world import World, wait_until

CALLS = 24
SERVERS = ["p1", "p2", "p3"]


class LateConnections:
    """Connections that aren't made until they time out, by address."""

    def __init__(self, monkeypatch):
        self.addresses = set()
        connect = ClientConnection.connect

        def connect_late(connection, deadline, **changes):
            if connection.address not in self.addresses:
                return connect(connection, deadline, **changes)
            gevent.sleep(max(0.0, deadline - time.monotonic()))
            error = TimeoutError("timed out")
            raise ConnectError(f"no connection to {connection.address}") from error

        monkeypatch.setattr(ClientConnection, "connect", connect_late)


@pytest.fixture
def world():
    created = World()
    for name in SERVERS:
        created.add_server(name)
    created.add_host("h1")
    wait_until(lambda: created.hosts["h1"].list_servers() == SERVERS)
    yield created
    created.stop()


def call_while_late(world, late, delay_s, *, dead=()):
    """Hold the loop up while connections are being made; return the statuses."""
    late.addresses.update(server.address for server in world.servers.values())
    calls = [gevent.spawn(world.hosts["h1"].call, "/book/1") for _ in range(CALLS)]
    gevent.sleep(0.05)
    time.sleep(delay_s)
    late.addresses.intersection_update(dead)
    gevent.joinall(calls, raise_error=True)
    return {call.value.status for call in calls}


def list_set_aside(world):
    servers = world.hosts["h1"].read_state()["servers"]
    return [name for name, server in servers.items() if server["set_aside"]]


@pytest.mark.parametrize("delay_s", [0.3, 0.6, 1.5])
def test_a_host_that_was_held_up_refuses_nobody(world, monkeypatch, delay_s):
    entries = []
    for module in (housekeeping, router):
        monkeypatch.setattr(
            module, "write_log_entry", lambda log, entry: entries.append(entry)
        )
    assert call_while_late(world, LateConnections(monkeypatch), delay_s) == {200}
    assert list_set_aside(world) == []
    metrics = world.hosts["h1"].gateway._metrics.format_text().decode()
    assert 'judgements_withheld_total{judgement="connect"}' in metrics
    ticks, in_time = (
        float(re.search(rf"host_delay_seconds_{name} (.*)", metrics).group(1))
        for name in ("count", 'bucket{le="0.1"}')
    )
    assert ticks > in_time
    late_ms = [e.late_ms for e in entries if isinstance(e, HostDelayed)]
    assert max(late_ms) > 0.8 * delay_s * 1000
    withheld = [e for e in entries if isinstance(e, JudgementWithheld)]
    assert {e.judgement for e in withheld} == {Judgement.CONNECT}
    assert {e.server for e in withheld} <= {*SERVERS}


@pytest.mark.parametrize("delay_s", [0.3, 1.5])
def test_a_server_that_is_dead_is_found_after_a_delay(world, monkeypatch, delay_s):
    dead = world.servers["p2"].address
    late = LateConnections(monkeypatch)
    assert call_while_late(world, late, delay_s, dead=[dead]) == {200}
    assert list_set_aside(world) == ["p2"]


def test_a_server_that_is_dead_is_found_as_before_without_a_delay(world, monkeypatch):
    late = LateConnections(monkeypatch)
    late.addresses.add(world.servers["p2"].address)
    began_at = time.monotonic()
    wait_until(lambda: world.hosts["h1"].call("/book/1") and list_set_aside(world))
    assert time.monotonic() - began_at < 2 * CONNECT_TIMEOUT_S
    assert list_set_aside(world) == ["p2"]


def test_a_host_that_was_late_tries_all_servers_once_more(world, monkeypatch):
    # Their connections were refused in the delay, which is no timeout.
    host = world.hosts["h1"]
    for server in world.servers.values():
        server.stop()
    call = gevent.spawn(host.call, "/book/1")
    gevent.sleep(0)
    delays = host.gateway._router.availability.delays
    now = time.monotonic()
    delays._delays.append(Delay(now - LATE_S, now))
    gevent.sleep(0.02)
    for server in world.servers.values():
        server.start()
    assert call.get(timeout=5).status == 200
