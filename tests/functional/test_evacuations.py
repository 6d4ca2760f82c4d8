"""Data centres whose servers an operator wants to get no more requests."""

import gevent
import pytest

from tests.lib.entry_world import World, wait_until

# News of an evacuation has to be in force on all hosts this long after the store has
# accepted it, and is in force much sooner while nothing has failed.
IN_FORCE_S = 5.0
USUALLY_S = 1.0
KIND = "evacuations"
CALLS = 6


@pytest.fixture
def world():
    """Two hosts in each of two data centres, and a plain server in each."""
    created = World()
    created.add_server("pa", data_centre="a")
    created.add_server("pb", data_centre="b")
    for name, data_centre in (("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")):
        seeds = [seed for seed in ("h1", "h3") if seed in created.hosts]
        created.add_host(name, data_centre, seeds=seeds)
    for host in created.hosts.values():
        wait_until(lambda host=host: host.list_servers() == ["pa", "pb"])
        wait_until(lambda host=host: len(host.list_hosts()) >= 2)
    yield created
    created.stop()


def call_all(world, path="/look/1"):
    """Send some requests through each host at once, and return the statuses."""
    calls = [
        gevent.spawn(host.call, path)
        for host in world.hosts.values()
        for _ in range(CALLS)
    ]
    gevent.joinall(calls, raise_error=True)
    return {call.value.status for call in calls}


def is_in_force(host, data_centre="b"):
    """Return whether a host has an evacuation in force, by its state dump."""
    return host.read_state()["evacuations"].get(data_centre, {}).get("in_force", False)


def wait_in_force(world, seconds=IN_FORCE_S, *, expected=True):
    hosts = world.hosts.values()
    wait_until(
        lambda: all(is_in_force(host) is expected for host in hosts), seconds=seconds
    )


def test_no_host_sends_requests_to_an_evacuated_data_centre(world):
    # Guards against hosts that place requests without regard to evacuations.
    world.store.write(KIND, "b", {})
    gevent.sleep(USUALLY_S)
    before = world.servers["pb"].arrivals
    assert call_all(world) == {200}
    assert world.servers["pb"].arrivals == before


def test_servers_of_a_data_centre_get_requests_again_after_its_evacuation(world):
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    world.store.remove(KIND, "b")
    wait_in_force(world, USUALLY_S, expected=False)
    before = world.servers["pb"].arrivals
    for _ in range(3):
        assert call_all(world) == {200}
    assert world.servers["pb"].arrivals > before
