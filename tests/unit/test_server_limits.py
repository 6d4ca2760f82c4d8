"""Limits that servers set on the requests that they get in a second."""

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemarystream._internal.decisions.server_limits import UNLIMITED, ServerLimits
from rosemarystream._internal.decisions.server_observations import REPORTED_AGE_S
from rosemarystream._internal.gateway.peering import GOSSIP_INTERVAL_S
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.platform.headers import decode_answer
from tests.lib.gossip_world import GossipWorld


@pytest.mark.parametrize(
    ("value", "per_s"),
    [
        (b"2.5", 2.5),
        (b"40", 40.0),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", None),
        (b"", None),
    ],
)
def test_the_limit_of_a_server_is_read_from_its_answers(value, per_s):
    assert decode_answer(200, [(b"server-limit", value)]).limit_per_s == per_s


def test_a_limit_holds_until_the_server_no_longer_states_it():
    limits = ServerLimits()
    limits.record(1, 2.5, 10.0)
    assert limits.find(1) == 2.5
    limits.record(1, None, 11.0)
    assert limits.find(1) == UNLIMITED
    assert [change.per_s for change in limits.take_changes()] == [2.5, UNLIMITED]


def make_world(hosts, data_centres):
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(3.0)
    return world


@pytest.mark.parametrize(("hosts", "data_centres"), [(9, 3), (90, 5), (195, 5)])
def test_all_hosts_hear_of_a_limit_and_of_its_end_within_a_second(hosts, data_centres):
    world = make_world(hosts, data_centres)
    first, last = world.hosts["h3"], world.hosts[f"h{hosts - 1}"]
    first.limits.record(1, 2.5, world.now)
    world.run(1.0)
    assert {host.limits.find(1) for host in world.list_live()} == {2.5}
    last.limits.record(1, None, world.now)
    world.run(1.0)
    assert {host.limits.find(1) for host in world.list_live()} == {UNLIMITED}


def test_a_limit_is_not_passed_on_for_ever():
    world = make_world(9, 3)
    world.hosts["h3"].limits.record(1, 2.5, world.now)
    world.run(3.0)
    for host in world.list_live():
        assert not host.limits.list_all(world.now)


def test_a_late_report_does_not_bring_back_a_limit_that_has_ended():
    limits = ServerLimits()
    limits.record(1, 2.5, 10.0)
    limits.record(1, None, 11.0)
    limits.accept_reports({1: (2.5, 800)}, 11.5, nearby=True)
    assert limits.find(1) == UNLIMITED


def test_a_server_at_its_limit_is_open_again_when_the_limit_changes():
    limits = ServerLimits()
    limits.record(1, 2.5, 10.0)
    limits.close(1, 11.0)
    assert not limits.is_open(1, 10.5)
    assert limits.measure_wait([1, 2], 10.5) == 0.5
    limits.record(1, 9.0, 10.6)
    assert limits.is_open(1, 10.6)
    assert limits.measure_wait([2], 10.6) is None


def ask_often(world, endpoint, seconds):
    """Let every host ask every 0.1 s; return the number of permissions."""
    admitted = 0
    for _ in range(round(seconds / GOSSIP_INTERVAL_S)):
        world.run(GOSSIP_INTERVAL_S)
        questions = [
            gevent.spawn(host.gate.admit, endpoint) for host in world.list_live()
        ]
        gevent.idle()
        world.deliver()
        gevent.joinall(questions)
        admitted += sum(question.value for question in questions)
    return admitted


@pytest.mark.parametrize(("hosts", "data_centres"), [(9, 3), (195, 5)])
def test_a_small_limit_is_shared_by_all_hosts_of_a_large_fleet(hosts, data_centres):
    world = make_world(hosts, data_centres)
    endpoint = Endpoint("s", "p", "10.0.0.1:1", "dc0", 6, ServerState.READY, 1, 1)
    world.hosts["h3"].limits.record(endpoint.number, 2.5, world.now)
    world.run(1.0)
    admitted = ask_often(world, endpoint, 8.0)
    assert 0.6 * 2.5 * 8.0 <= admitted <= 1.5 * 2.5 * 8.0


def test_a_host_that_has_not_heard_of_the_end_of_a_limit_is_permitted_at_once():
    world = make_world(9, 3)
    endpoint = Endpoint("s", "p", "10.0.0.1:1", "dc0", 6, ServerState.READY, 1, 1)
    asking = next(
        host
        for host in world.list_live()
        if host.data_centre == "dc0" and not host.peer_table.is_collector(world.now)
    )
    collectors = asking.peer_table.list_collectors("dc0", world.now)
    asking.limits.record(endpoint.number, 0.5, world.now)
    first = world.hosts[collectors[0]]
    first.limits.record(endpoint.number, 0.5, world.now + 0.1)
    first.limits.record(endpoint.number, None, world.now + 0.2)
    question = gevent.spawn(asking.gate.admit, endpoint)
    gevent.idle()
    world.deliver()
    question.join()
    assert question.value


def test_a_data_centre_that_is_cut_off_has_the_whole_limit_of_its_own_servers():
    world = make_world(9, 3)
    near = Endpoint("s", "p", "10.0.0.1:1", "dc0", 6, ServerState.READY, 1, 1)
    far = near._replace(name="t", data_centre="dc1")
    for endpoint in (near, far):
        world.hosts["h3"].limits.record(endpoint.number, 4.0, world.now)
    world.run(1.0)
    for host in world.list_live():
        if host.data_centre != "dc0":
            world.stopped.add(host.name)
    world.run(3.0)
    assert ask_often(world, near, 5.0) >= 0.8 * 4.0 * 5.0
    assert ask_often(world, far, 5.0) <= 4.0 / 3 * 5.0 + 1


def test_a_paused_host_does_not_use_a_permission_that_it_got_before():
    world = make_world(9, 3)
    endpoint = Endpoint("s", "p", "10.0.0.1:1", "dc0", 6, ServerState.READY, 1, 1)
    world.hosts["h3"].limits.record(endpoint.number, 50.0, world.now)
    world.run(1.0)
    name = next(
        name
        for name, host in world.hosts.items()
        if not host.peer_table.is_collector(world.now)
    )
    world.hosts[name].gate.admit(endpoint)
    world.run(1.0)
    question = gevent.spawn(world.hosts[name].gate.admit, endpoint)
    gevent.idle()
    world.deliver()
    world.now += 5.0
    question.join()
    assert not question.value


@pytest.mark.parametrize("known", [{}, {1: (5.0, 300)}, {1: (2.5, 300)}])
def test_what_a_late_host_tells_is_passed_on_by_a_relay(known):
    relay = ServerLimits()
    relay.accept_reports(known, 7.0, nearby=True)
    relay.accept_reports({1: (5.0, 100)} if known else {}, 8.2, nearby=True)
    relay.accept_reports({1: (2.5, 1_600)}, 10.0, nearby=True)
    assert relay.list_nearby(10.4) == {1: (2.5, 2_000)}
    assert relay.list_nearby(10.0 + REPORTED_AGE_S + 0.1) == {}


# Age doesn't count the way of a message, so that each round makes it seem newer.
@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 90), st.integers(0, 90)), max_size=40))
def test_what_goes_round_ends(ways):
    hosts = [ServerLimits(), ServerLimits()]
    hosts[0].record(1, 2.5, 10.0)
    now = 10.0
    for number, (until_sent_ms, way_ms) in enumerate(ways):
        now += until_sent_ms / 1000
        reports = hosts[number % 2].list_all(now)
        now += way_ms / 1000
        hosts[1 - number % 2].accept_reports(reports, now, nearby=False)
    for host in hosts:
        assert not host.list_all(10.0 + 3 * REPORTED_AGE_S)
