"""Gossip of large fleets: collectors, counts of hosts, loads, and cuts."""

import random

import pytest

from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.decisions.peer_table import COLLECTORS
from rosemarystream._internal.decisions.prompt_blocks import Block
from rosemarystream._internal.models.position import Position
from tests.lib.gossip_world import GossipWorld

# Hosts and data centres of fleets, up to the size that CONTRIBUTING.md names.
FLEETS = [(1, 1), (8, 3), (76, 4), (195, 5), (490, 19)]
# Hosts, data centres and loaded servers of large fleets.
LOADED_FLEETS = [(195, 5, 83), (490, 19, 250)]
# Control bytes that a host may send a second, on average (CONTRIBUTING.md).
CONTROL_BYTES_PER_S = 4_000
# Servers at which a host has requests in progress.
SERVERS_IN_USE = 6
# Time in which the hosts of a new fleet have found each other, in seconds.
SETTLED_S = 3.0


@pytest.mark.parametrize(("hosts", "data_centres"), FLEETS)
def test_hosts_of_a_large_fleet_know_how_many_there_are(hosts, data_centres):
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(SETTLED_S)
    counts = {host.peer_table.count_live(world.now) for host in world.list_live()}
    assert counts == {hosts}
    shares = {
        host.peer_table.count_recent_peak(world.now) for host in world.list_live()
    }
    assert shares == {hosts}


@pytest.mark.parametrize(("hosts", "data_centres"), FLEETS)
def test_all_hosts_of_a_data_centre_agree_on_its_collectors(hosts, data_centres):
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(SETTLED_S)
    for data_centre in {host.data_centre for host in world.list_live()}:
        names = [h.name for h in world.list_live() if h.data_centre == data_centre]
        expected = order_candidates(data_centre, names)[:COLLECTORS]
        assert world.list_collectors(data_centre) == {tuple(expected)}


def test_the_next_hosts_collect_when_all_named_ones_fail_at_once():
    world = GossipWorld(hosts=195, data_centres=5)
    world.run(SETTLED_S)
    names = [host.name for host in world.list_live() if host.data_centre == "dc0"]
    order = order_candidates("dc0", names)
    world.stopped |= set(order[:12])
    world.run(4.0)
    assert world.list_collectors("dc0") == {tuple(order[12 : 12 + COLLECTORS])}


def test_every_host_knows_the_load_of_the_fleet():
    world = GossipWorld(hosts=195, data_centres=5)
    world.run(SETTLED_S)
    for number, host in enumerate(world.list_live()):
        host.loads.begin(7)
        host.loads.begin_prefill(7, number)
    world.run(0.5)
    for host in world.list_live():
        load = host.loads.sum_fleet(world.now)
        assert load.counts == {7: 195}
        assert load.prefill == {7: sum(range(195))}


def test_all_hosts_learn_of_a_server_that_is_slow_now():
    world = GossipWorld(hosts=24, data_centres=3)
    world.run(SETTLED_S)
    world.hosts["h7"].speeds.record(9, 2.5, world.now)
    world.run(0.3)
    assert all(h.speeds.estimate(9, world.now) > 1.3 for h in world.list_live())
    world.run(1.0)
    assert all(h.speeds.estimate(9, world.now) == 1.0 for h in world.list_live())


def test_data_centres_hear_each_other_again_after_a_cut():
    world = GossipWorld(hosts=24, data_centres=3)
    world.run(SETTLED_S)
    world.cut = {"dc1"}
    world.run(10.0)
    for host in world.list_live():
        host.loads.begin(7)
    world.cut = set()
    world.run(2.5)
    for host in world.list_live():
        assert host.peer_table.count_live(world.now) == 24
        assert host.loads.sum_fleet(world.now).counts == {7: 24}


# review/8: after a cut within a data centre its parts stayed apart, each with a
# collector that gives permissions for limited servers.
@pytest.mark.parametrize(("hosts", "data_centres"), [(7, 1), (8, 1), (24, 3)])
def test_parts_of_a_data_centre_hear_each_other_again_after_a_cut(hosts, data_centres):
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(SETTLED_S)
    nearby = [host.name for host in world.list_live() if host.data_centre == "dc0"]
    for parted in (nearby[:2], nearby[::2], order_candidates("dc0", nearby)[:2]):
        world.groups = dict.fromkeys(parted, 1)
        world.run(10.0)
        world.groups = {}
        world.run(2.5)
        world.check_joined()


def test_hosts_of_a_cut_data_centre_keep_their_shares_of_a_quota():
    world = GossipWorld(hosts=24, data_centres=3)
    world.run(SETTLED_S)
    world.cut = {"dc1"}
    world.run(30.0)
    total = sum(
        1 / host.peer_table.count_recent_peak(world.now) for host in world.list_live()
    )
    assert total <= 1.0


def test_a_host_that_restarts_with_its_clock_back_is_heard_at_once():
    world = GossipWorld(hosts=6, data_centres=1)
    world.run(SETTLED_S)
    for host in world.list_live():
        host.loads.begin(7)
    world.run(0.5)
    restarted = world.list_live()[5]
    sequence = restarted.peering.messages.sequence
    world.add_host(5, "dc0", ["10.0.0.1:1"], first_sequence=sequence - 2_400)
    world.run(0.3)
    for host in world.list_live():
        assert host.loads.sum_fleet(world.now).counts == {7: 5}


@pytest.mark.parametrize(("hosts", "data_centres", "servers"), LOADED_FLEETS)
def test_control_bytes_of_a_host_stay_within_the_target(hosts, data_centres, servers):
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(SETTLED_S)
    draw = random.Random(17)
    numbers = [draw.getrandbits(32) for _ in range(servers)]
    for host in world.list_live():
        for number in draw.sample(numbers, SERVERS_IN_USE):
            host.loads.begin(number)
            host.loads.begin_prefill(number, draw.randrange(5_000))
    world.run(1.0)
    world.sent_bytes.clear()
    world.run(2.0)
    assert sum(world.sent_bytes.values()) / hosts / 2.0 <= CONTROL_BYTES_PER_S


@pytest.mark.parametrize(("hosts", "data_centres"), FLEETS[1:])
def test_all_hosts_learn_of_crashes_that_each_saw_one_of(hosts, data_centres):
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(SETTLED_S)
    answer_elsewhere(world)
    root, bad = 1, 2
    for number in range(5):
        host = world.hosts[f"h{number * 7 % hosts}"]
        host.blocks.record_crash(number, (root, bad), world.now)
        world.hosts[f"h{number + 1}"].blocks.record_answer([root], world.now + 0.01)
        world.run(0.2)
    answer_elsewhere(world)
    world.run(0.4)
    for host in world.list_live():
        assert host.blocks.find_blocked((root, bad), world.now) == bad
        assert host.blocks.find_blocked((root,), world.now) is None


def answer_elsewhere(world):
    for host in world.list_live():
        for _ in range(5):
            host.blocks.record_answer([9], world.now)


def test_data_centres_learn_of_blocks_after_a_cut():
    world = GossipWorld(hosts=24, data_centres=3)
    world.run(SETTLED_S)
    world.cut = {"dc1"}
    world.run(2.0)
    bad = 2
    for number in range(5):
        world.hosts["h0"].blocks.record_crash(number, (bad,), world.now)
    world.now += 0.1
    answer_elsewhere(world)
    assert world.hosts["h0"].blocks.find_blocked((bad,), world.now) == bad
    world.run(2.0)
    assert world.hosts["h3"].blocks.list_blocks()
    assert not world.hosts["h1"].blocks.list_blocks()
    world.cut = set()
    world.run(4.0)
    assert all(host.blocks.list_blocks() for host in world.list_live())


def test_blocks_in_force_cost_little_control_traffic():
    world = GossipWorld(hosts=195, data_centres=5)
    world.run(SETTLED_S)
    world.sent_bytes.clear()
    world.run(2.0)
    quiet = sum(world.sent_bytes.values())
    for number in range(20):
        block = Block(number, world.now, world.now + 100)
        world.hosts["h0"].blocks.accept_block(block, world.now, is_forwarded=True)
    world.run(2.0)
    world.sent_bytes.clear()
    world.run(2.0)
    extra = sum(world.sent_bytes.values()) - quiet
    assert extra / len(world.hosts) / 2.0 < 0.2 * CONTROL_BYTES_PER_S


def evacuate(world, host, data_centre, revision, *, is_in_force=True):
    """Let a host read from the store that an evacuation was written or removed."""
    at = Position(0, revision)
    listed = {data_centre: at} if is_in_force else {}
    world.hosts[host].evacuations.accept_listing(listed, at, world.now)


def list_evacuated_at(world, data_centre="dc1"):
    hosts = world.list_live()
    return {h.name for h in hosts if h.evacuations.is_evacuated(data_centre)}


@pytest.mark.parametrize(("hosts", "data_centres"), FLEETS[1:])
def test_all_hosts_learn_of_an_evacuation_from_one(hosts, data_centres):
    # Guards against hosts that learn of it only from the store.
    world = GossipWorld(hosts=hosts, data_centres=data_centres)
    world.run(SETTLED_S)
    evacuate(world, "h5", "dc1", 9)
    world.run(0.3)
    assert len(list_evacuated_at(world)) == hosts
    evacuate(world, "h6", "dc1", 12, is_in_force=False)
    world.run(0.3)
    assert list_evacuated_at(world) == set()


def test_a_cut_data_centre_learns_of_an_evacuation_after_the_cut():
    world = GossipWorld(hosts=24, data_centres=3)
    world.run(SETTLED_S)
    world.cut = {"dc1"}
    world.run(4.0)
    evacuate(world, "h0", "dc1", 9)
    # Old news of the other side.
    evacuate(world, "h1", "dc2", 4)
    evacuate(world, "h0", "dc2", 8, is_in_force=False)
    evacuate(world, "h0", "dc1", 9)
    world.run(2.0)
    assert list_evacuated_at(world, "dc2") == {f"h{n}" for n in range(1, 24, 3)}
    world.cut = set()
    world.run(2.5)
    assert len(list_evacuated_at(world)) == 24
    assert list_evacuated_at(world, "dc2") == set()


def test_a_host_that_is_paused_meanwhile_restores_no_evacuation():
    world = GossipWorld(hosts=9, data_centres=3)
    world.run(SETTLED_S)
    evacuate(world, "h0", "dc1", 9)
    world.run(0.3)
    world.stopped = {"h4"}
    evacuate(world, "h0", "dc1", 12, is_in_force=False)
    world.run(5.0)
    world.stopped = set()
    assert list_evacuated_at(world) == {"h4"}
    # Others count it as lost, so it has to contact them first.
    world.run(1.5)
    assert list_evacuated_at(world) == set()


def test_evacuations_cost_little_control_traffic():
    world = GossipWorld(hosts=195, data_centres=5)
    world.run(SETTLED_S)
    world.sent_bytes.clear()
    world.run(2.0)
    quiet = sum(world.sent_bytes.values())
    for number in range(3):
        evacuate(world, "h0", f"dc{number}", 9)
    world.run(2.0)
    world.sent_bytes.clear()
    world.run(2.0)
    extra = sum(world.sent_bytes.values()) - quiet
    assert extra / len(world.hosts) / 2.0 < 0.5 * CONTROL_BYTES_PER_S
