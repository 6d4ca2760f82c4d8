"""What hosts report to each other of servers that leave."""

import msgspec
import pytest

from rosemarystream._internal.decisions.leaving_servers import LeavingServers
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.gossip import GossipMessage, HostAddress, LoadScope
from rosemarystream._internal.platform.headers import decode_answer
from tests.lib.gossip_world import GossipWorld


def make_server(incarnation=1_000):
    return Endpoint("s1", "plain", "a:1", "a", 8, ServerState.READY, incarnation, 1)


@pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
def test_the_statement_is_read_from_answers_of_each_status(status):
    assert decode_answer(status, [(b"server-leaving", b"1")]).is_leaving


@pytest.mark.parametrize("value", [b"0", b"", b"yes", b"11", b"\xff"])
def test_other_values_are_not_taken_for_the_statement(value):
    assert not decode_answer(200, [(b"server-leaving", value)]).is_leaving


def test_a_statement_holds_for_one_incarnation_only():
    leaving = LeavingServers()
    leaving.record(make_server().number, 1_000)
    assert leaving.is_leaving(make_server())
    assert not leaving.is_leaving(make_server(incarnation=1_001))


def make_world(hosts, data_centres):
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(3.0)
    for host in world.list_live():
        host.leaving.set_registered([make_server()])
    return world


def count_informed(world):
    return sum(host.leaving.is_leaving(make_server()) for host in world.list_live())


@pytest.mark.parametrize(("hosts", "data_centres"), [(9, 3), (90, 5), (195, 5)])
def test_all_hosts_hear_within_a_second_that_a_server_leaves(hosts, data_centres):
    world = make_world(hosts, data_centres)
    world.hosts["h3"].leaving.record(make_server().number, 1_000)
    world.run(1.0)
    assert count_informed(world) == hosts


@pytest.mark.parametrize("number", [0, 4])
def test_a_restarted_host_hears_again_which_servers_leave(number):
    world = make_world(9, 3)
    world.hosts[f"h{number}"].leaving.record(make_server().number, 1_000)
    world.run(20.0)
    fresh = world.add_host(number, f"dc{number % 3}", ["10.0.0.2:1"], 1_000_000)
    fresh.leaving.set_registered([make_server()])
    world.run(1.0)
    assert fresh.leaving.is_leaving(make_server())


def test_a_data_centre_hears_after_a_network_cut_which_servers_leave():
    world = make_world(9, 3)
    world.cut = {"dc1"}
    world.hosts["h0"].leaving.record(make_server().number, 1_000)
    world.run(10.0)
    assert count_informed(world) == 6
    world.cut = set()
    world.run(3.0)
    assert count_informed(world) == 9


def test_a_server_that_is_gone_is_not_passed_on():
    world = make_world(9, 3)
    for host in world.list_live():
        host.leaving.set_registered([make_server(incarnation=1_001)])
    world.hosts["h3"].leaving.record(make_server().number, 1_000)
    world.run(1.0)
    assert count_informed(world) == 1


def test_a_message_of_an_older_build_is_still_read():
    address = HostAddress("h1", "a", "10.0.0.1")
    message = GossipMessage(address, 1, 1, 1, 0, LoadScope.HOST)
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    older = msgspec.msgpack.encode(fields[:-2])
    assert msgspec.msgpack.decode(older, type=GossipMessage).leaving == []
