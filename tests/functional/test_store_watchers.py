"""Changes are known in time while the store fails the hosts that watch it."""

import gevent
import pytest

from rosemarystream._internal.decisions.hashing import order_candidates
from tests.lib.entry_world import World, make_configuration, wait_until

# A change has to be in force this long after the store has accepted it.
IN_FORCE_S = 2.0
# Hosts are in contact again this long after the end of a disturbance.
CONTACT_S = 3.0
SILENT_S = 1.5
BEAT_S = 0.3


@pytest.fixture
def make_world():
    worlds = []

    def make(hosts):
        world = World()
        worlds.append(world)
        for name in ("p1", "p2"):
            world.add_server(name)
        names = [f"h{number}" for number in range(1, hosts + 1)]
        for name in names:
            world.add_host(name, seeds=names[:1] if name != names[0] else ())
        wait_until(lambda: {count_live(h) for h in list_hosts(world)} == {hosts})
        wait_until(lambda: knows_servers(world, ["p1", "p2"]))
        return world

    yield make
    for world in worlds:
        world.stop()


def list_hosts(world):
    return [*world.hosts.values()]


def count_live(host):
    return host.read_state()["figures"]["live_hosts"]


def order_hosts(world):
    """Return the hosts of the only data centre in the order that assigns roles."""
    return [world.hosts[name] for name in order_candidates("a", [*world.hosts])]


def knows_servers(world, servers):
    return all(host.list_servers() == servers for host in list_hosts(world))


def write_for(world, seconds):
    """Change an object of each kind several times a second, as beating servers do."""
    for turn in range(round(seconds / BEAT_S)):
        entry = {**world.servers["p2"].describe(), "seq": 10 + turn}
        world.store.write("servers", "p2", entry)
        world.store.write("evacuations", "c", {"turn": turn})
        gevent.sleep(BEAT_S)


def drain_server(world):
    entry = {**world.servers["p1"].describe(), "state": "draining"}
    world.store.write("servers", "p1", entry)
    return lambda: knows_servers(world, ["p2"])


def evacuate(world):
    world.store.write("evacuations", "b", {})

    def is_known():
        states = [host.read_state() for host in list_hosts(world)]
        return all("b" in str(state["evacuations"]) for state in states)

    return is_known


# review/7: a lost answer to a watch went unnoticed for up to 8.4 s, as the watch of the
# configuration went on over a connection of its own.
@pytest.mark.parametrize("change", [drain_server, evacuate])
def test_changes_are_known_in_time_after_answers_to_watches_were_lost(
    make_world, change
):
    world = make_world(3)
    # Hosts that watched just after their start have stopped.
    gevent.sleep(1.0)
    watchers = [host.store_address for host in order_hosts(world)[:2]]
    world.store.unanswered.update(watchers)
    # Each waiting call is answered now, and no answer arrives.
    write_for(world, SILENT_S)
    world.store.unanswered.clear()
    write_for(world, CONTACT_S)
    is_known = change(world)
    wait_until(is_known, seconds=IN_FORCE_S)


# review/9: with the watchers and the host next in order turned away, nobody watched the
# store, though it served six others.
@pytest.mark.parametrize("fault", ["refused", "unanswered"])
def test_hosts_that_the_store_serves_watch_when_it_turns_all_watchers_away(
    make_world, fault
):
    world = make_world(9)
    gevent.sleep(1.0)
    # Hosts that watched just after their start have stopped.
    write_for(world, BEAT_S)
    away, served = order_hosts(world)[:3], order_hosts(world)[3:]
    getattr(world.store, fault).update(host.store_address for host in away)
    write_for(world, CONTACT_S)
    world.store.write("config", "main", make_configuration(9, keys=["new"]))
    versions = [9] * len(served)
    wait_until(lambda: [h.get_version() for h in served] == versions, IN_FORCE_S)
    assert {host.call("/look/1").status for host in served} == {401}
