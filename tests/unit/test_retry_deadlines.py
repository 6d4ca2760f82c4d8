"""Until when servers want no requests."""

from email.utils import formatdate

import pytest

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.retry_deadlines import (
    MAX_RETRY_AFTER_S,
    RetryDeadlines,
)
from rosemarystream._internal.decisions.server_availability import (
    Obstacle,
    ServerAvailability,
)
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.platform.headers import decode_answer
from rosemarystream._internal.platform.retry_after import measure_delay
from tests.lib.gossip_world import GossipWorld

EPOCH_S = 1_800_000_000.0


def make_server(name="s1", incarnation=1_000):
    return Endpoint(name, "plain", "a:1", "a", 8, ServerState.READY, incarnation, 1)


@pytest.mark.parametrize(
    ("value", "delay_s"),
    [
        (b"2", 2.0),
        (b"1.5", 1.5),
        (b"0", 0.0),
        (formatdate(EPOCH_S + 3, usegmt=True).encode(), 3.0),
        (formatdate(EPOCH_S - 3, usegmt=True).encode(), 0.0),
        (b"Sun, 99 Nov 2094 08:49:37 GMT", None),
        (b"Sun, 06 Nov 1994 99:49:37 GMT", None),
        (b"Sun, 06 Xxx 1994 08:49:37 GMT", None),
        (b"Sun, 06 Nov 0000 08:49:37 GMT", None),
        (b"-1", None),
        (b"+1", None),
        (b".5", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e3", None),
        (b"1, 2", None),
        (b"9" * 400, None),
        (b"", None),
        (b"\xb2", None),
    ],
)
def test_seconds_and_dates_are_read_and_nonsense_is_not(value, delay_s):
    head = decode_answer(503, [(b"retry-after", value)])
    assert head.asks_to_wait
    assert measure_delay(head.retry_after, EPOCH_S) == delay_s


@pytest.mark.parametrize("status", [200, 421, 429, 500, 502])
def test_only_a_503_states_when_the_server_wants_requests(status):
    assert not decode_answer(status, [(b"retry-after", b"2")]).asks_to_wait


def test_each_statement_holds_to_its_end_and_is_bounded():
    retries = RetryDeadlines()
    retries.record(make_server(), 3.0, 10.0)
    retries.record(make_server(), 1.0, 11.0)
    assert retries.find(make_server()) == 13.0
    assert retries.is_advised(make_server().number, 12.9)
    retries.record(make_server(), 1.0, 12.5)
    assert retries.find(make_server()) == 13.5
    retries.record(make_server(), 1e8, 13.0)
    assert retries.find(make_server()) == 13.0 + MAX_RETRY_AFTER_S
    retries.record(make_server(), 2.0, 14.0)
    assert retries.find(make_server()) == 13.0 + MAX_RETRY_AFTER_S


def test_a_statement_outlasts_the_entry_but_not_the_incarnation():
    retries = RetryDeadlines()
    retries.record(make_server(), 9.0, 10.0)
    retries.forget_server(make_server().number)
    retries.record(make_server("s2"), 1.0, 11.0)
    assert retries.find(make_server()) == 19.0
    assert retries.find(make_server(incarnation=1_001)) == 0.0


@pytest.mark.parametrize(("hosts", "data_centres"), [(9, 3), (195, 5)])
def test_other_hosts_are_advised_but_not_bound(hosts, data_centres):
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(3.0)
    server = make_server()
    world.hosts["h3"].retries.record(server, 4.0, world.now)
    world.run(1.0)
    others = [host for host in world.list_live() if host.name != "h3"]
    assert all(h.retries.is_advised(server.number, world.now) for h in others)
    assert all(h.retries.find(server) <= world.now for h in others)
    world.run(4.0)
    assert not any(h.retries.is_advised(server.number, world.now) for h in others)


@pytest.fixture
def availability():
    replica = Replica()
    for name in ("s1", "s2"):
        replica.accept_endpoint(make_server(name))
    return ServerAvailability(replica=replica)


def list_open(availability, now=10.0):
    ready = availability.list_ready("plain")
    endpoints = availability.select_open("plain", ready, exclude=(), now=now)
    return [endpoint.name for endpoint in endpoints]


def test_an_advised_server_is_used_only_if_there_is_no_other(availability):
    reports = {make_server("s1").number: (2.0, 100)}
    availability.retries.accept_reports(reports, 10.0, nearby=True)
    assert list_open(availability) == ["s2"]
    availability.retries.record(make_server("s2"), 2.0, 10.0)
    assert list_open(availability) == ["s1"]
    assert list_open(availability, now=12.0) == ["s1", "s2"]


def test_each_obstacle_is_named_with_its_end(availability):
    server = make_server("s1")
    availability.limits.record(server.number, 1.0, 10.0)
    availability.limits.close(server.number, 10.5)
    assert availability.check(server, 10.0) == (Obstacle.LIMIT, 10.5)
    availability.health.record_unreachable("s1", 10.0)
    assert availability.check(server, 10.0) == (Obstacle.EJECTED, 10.5)
    availability.retries.record(server, 3.0, 10.0)
    assert availability.check(server, 10.0) == (Obstacle.RETRY_AFTER, 13.0)
    availability.leaving.record(server.number, server.incarnation)
    assert availability.check(server, 10.0).obstacle is Obstacle.LEAVING
    assert availability.check(make_server("s2"), 10.0).obstacle is Obstacle.NONE
