"""Servers that want no requests for a while, as they state with Retry-After."""

import time
from email.utils import formatdate

import gevent
import pytest

from rosemarystream._internal.gateway import server_statements
from rosemarystream._internal.models.log_entries.servers import ServerAskedToWait
from tests.lib.entry_world import (
    METRICS_PORT,
    World,
    get,
    make_configuration,
    make_route,
    wait_until,
)

RETRY_AFTER_S = 1.5
SERVICES = {"look": "plain", "book": "plain", "chat": "engines", "brief": "engines"}
PROMPT = [("X-Rosemarystream-Prompt-Prefix", "root:800,own:50")]


class Fleet:
    """One host, the servers of one service, and callers that never stop."""

    def __init__(self, route, servers):
        self.world = World()
        self.route = route
        service = SERVICES[route]
        self.servers = [self.world.add_server(f"s{n}", service) for n in range(servers)]
        self.host = self.world.add_host("h0")
        wait_until(lambda: len(self.host.list_servers()) == servers)

    def call(self, wait_ms=2000):
        return self.host.call(f"/{self.route}/1", headers=PROMPT, wait_ms=wait_ms)

    def call_at_once(self, count=6, wait_ms=2000):
        calls = [gevent.spawn(self.call, wait_ms) for _ in range(count)]
        gevent.joinall(calls, timeout=5)
        return [call.value for call in calls]

    def refuse_once(self, retry_after=f"{RETRY_AFTER_S}"):
        """Let the first server refuse requests until a first one has reached it."""
        server = self.servers[0]
        server.retry_after = retry_after
        before = server.arrivals
        wait_until(lambda: self.call_at_once(wait_ms=200) and server.arrivals > before)
        server.retry_after = None
        return time.monotonic()

    def read_wait(self):
        return self.host.read_state()["servers"]["s0"]["retry_after_s"]


@pytest.fixture
def make_fleet():
    created = []

    def make(route="look", servers=3):
        created.append(Fleet(route, servers))
        return created[-1]

    yield make
    for fleet in created:
        fleet.world.stop()


@pytest.mark.parametrize("route", SERVICES)
def test_a_server_gets_nothing_before_the_time_that_it_states(make_fleet, route):
    fleet = make_fleet(route, servers=1)
    server = fleet.servers[0]
    stated_at = fleet.refuse_once()
    before = server.arrivals
    while time.monotonic() < stated_at + RETRY_AFTER_S - 0.3:
        fleet.call_at_once(wait_ms=100)
    assert server.arrivals == before
    wait_until(lambda: fleet.call_at_once() and server.arrivals > before, 3.0)
    assert time.monotonic() >= stated_at + RETRY_AFTER_S - 0.3


@pytest.mark.parametrize("route", SERVICES)
def test_other_servers_answer_while_one_wants_no_requests(make_fleet, route):
    fleet = make_fleet(route)
    stated_at = fleet.refuse_once()
    before = fleet.servers[0].arrivals
    while time.monotonic() < stated_at + RETRY_AFTER_S - 0.3:
        assert {reply.status for reply in fleet.call_at_once()} == {200}
    assert fleet.servers[0].arrivals == before


def test_a_server_out_of_reach_is_not_probed_before_the_time_that_it_states(make_fleet):
    fleet = make_fleet(servers=2)
    server, other = fleet.servers
    fleet.refuse_once("2.5")
    before = server.arrivals, server.connections
    other.crash()
    for _ in range(10):
        fleet.call(wait_ms=100)
        gevent.sleep(0.1)
    assert (server.arrivals, server.connections) == before


@pytest.mark.parametrize("value", ["", "-1", "soon", "1e9", "nan", "1.5.2", "\x80"])
def test_nonsense_is_ignored_and_counted(make_fleet, value):
    fleet = make_fleet()
    fleet.refuse_once(value)
    assert fleet.read_wait() is None
    metrics = get(fleet.host.ip, METRICS_PORT, "/metrics").body.decode()
    assert "rosemarystream_retry_after_unreadable_total 0.0" not in metrics
    assert "rosemarystream_retry_after_unreadable_total" in metrics


def test_a_date_is_understood(make_fleet):
    fleet = make_fleet()
    fleet.refuse_once(formatdate(time.time() + 20, usegmt=True))
    assert 15 < fleet.read_wait() <= 20


def test_a_time_without_end_is_bounded(make_fleet):
    fleet = make_fleet()
    fleet.refuse_once("999999999")
    assert 0 < fleet.read_wait() <= 600


def test_a_shorter_time_that_comes_later_lifts_no_longer_one(make_fleet):
    fleet = make_fleet(servers=1)
    server = fleet.servers[0]
    server.retry_after = "30"
    server.refusal_delays_s = [0.1, 0.4]
    calls = [gevent.spawn(fleet.call, 800) for _ in range(2)]
    gevent.sleep(0.25)
    assert fleet.read_wait() > 20
    server.retry_after = "0.5"
    gevent.joinall(calls)
    assert fleet.read_wait() > 20
    before = server.arrivals
    server.retry_after = None
    gevent.sleep(1.0)
    fleet.call_at_once(wait_ms=100)
    assert server.arrivals == before


def test_requests_wait_for_the_only_server_within_their_deadline(make_fleet):
    fleet = make_fleet(servers=1)
    fleet.refuse_once("1")
    before = fleet.servers[0].arrivals
    stated_at = time.monotonic()
    replies = fleet.call_at_once(wait_ms=3000)
    assert {reply.status for reply in replies} == {200}
    assert fleet.servers[0].arrivals == before + len(replies)
    assert time.monotonic() - stated_at >= 0.5


def test_the_request_that_is_refused_waits_for_the_server_too(make_fleet):
    fleet = make_fleet(servers=1)
    server = fleet.servers[0]
    server.retry_after = "0.5"
    call = gevent.spawn(fleet.call, 2000)
    wait_until(lambda: server.arrivals)
    server.retry_after = None
    assert call.get(timeout=3).status == 200
    assert server.arrivals == 2


def test_requests_that_cannot_wait_are_rejected_at_once(make_fleet):
    fleet = make_fleet(servers=2)
    for server in fleet.servers:
        server.retry_after = "4"
    fleet.call_at_once(wait_ms=100)
    wait_until(lambda: fleet.call(100) and all(s.arrivals for s in fleet.servers))
    began_at = time.monotonic()
    replies = fleet.call_at_once(wait_ms=2000)
    assert time.monotonic() - began_at < 0.25
    assert {reply.status for reply in replies} <= {429, 503}
    assert all(2 < float(reply.headers[b"retry-after"]) <= 4 for reply in replies)


def test_a_route_of_one_attempt_is_rejected_with_the_time_that_was_stated(make_fleet):
    fleet = make_fleet(servers=1)
    routes = [make_route("look", "idempotent", **{"max-attempts": 1})]
    fleet.world.store.write("config", "main", make_configuration(4, routes))
    wait_until(lambda: fleet.host.get_version() == 4)
    fleet.servers[0].retry_after = "1.5"
    reply = fleet.call()
    assert reply.status in (429, 503)
    assert 1 < float(reply.headers[b"retry-after"]) <= 1.5


def test_a_host_places_elsewhere_what_another_was_told_not_to_send(make_fleet):
    fleet = make_fleet(servers=2)
    other = fleet.world.add_host("h1", seeds=["h0"])
    wait_until(lambda: len(other.list_servers()) == 2)
    wait_until(lambda: other.list_hosts() == ["h0"])
    fleet.refuse_once("5")
    gevent.sleep(0.5)
    server = fleet.servers[0]
    before = server.arrivals
    assert {other.call("/look/1").status for _ in range(10)} == {200}
    assert server.arrivals == before
    # It is the other host's own to use the server if there is nothing else.
    fleet.servers[1].crash()
    wait_until(lambda: other.call("/look/1").status == 200)
    assert server.arrivals > before


def test_the_log_and_the_metrics_name_a_server_that_wants_no_requests(
    make_fleet, monkeypatch
):
    entries = []
    monkeypatch.setattr(
        server_statements, "write_log_entry", lambda log, entry: entries.append(entry)
    )
    fleet = make_fleet()
    fleet.refuse_once("20")
    assert entries == [ServerAskedToWait(server="s0", for_ms=20_000.0)]
    assert fleet.host.read_state()["figures"]["services"]["plain"]["waiting"] == 1
