"""Evacuations while the processes that watch the store are suspended."""

import signal

import gevent
import pytest

from rosemarystream._internal.decisions.hashing import order_candidates
from tests.lib.entry_world import World, wait_until
from tests.lib.host_process import HostProcess

# News of an evacuation has to be in force this long after the store has accepted it.
IN_FORCE_S = 5.0
HOSTS = {"h1": "a", "h2": "a", "h3": "b", "h4": "b"}


@pytest.fixture
def fleet(tmp_path):
    """Two hosts in each of two data centres, as processes, and servers in both."""
    world = World()
    world.add_server("pa", data_centre="a")
    world.add_server("pb", data_centre="b")
    hosts = {
        name: HostProcess(
            name=name,
            data_centre=data_centre,
            ip=f"{world.net}.{200 + number}",
            store=world.store.address,
            seeds=[f"{world.net}.200:1", f"{world.net}.202:1"],
            folder=tmp_path,
        )
        for number, (name, data_centre) in enumerate(HOSTS.items())
    }
    for host in hosts.values():
        host.start()
    try:
        for host in hosts.values():
            wait_until(host.is_ready, seconds=20.0)
            wait_until(lambda host=host: len(host.read_state()["servers"]) == 2)
        yield world, hosts
    finally:
        for host in hosts.values():
            host.stop()
        world.stop()


def is_in_force(host):
    return host.read_state()["evacuations"].get("b", {}).get("in_force", False)


def call(host):
    return host.call("/look/1", wait_ms=20_000).status


def test_suspended_watchers_keep_an_evacuation_from_nobody_and_respect_it(fleet):
    # Guards against news that comes by one host, and against requests that a host sends
    # after a pause before it has heard of what it missed.
    world, hosts = fleet
    paused = {
        order_candidates("a", ["h1", "h2"])[0],
        order_candidates("b", ["h3", "h4"])[0],
    }
    gevent.sleep(1.0)
    for name in paused:
        hosts[name].send(signal.SIGSTOP)
    world.store.write("evacuations", "b", {})
    others = [host for name, host in hosts.items() if name not in paused]
    wait_until(lambda: all(map(is_in_force, others)), seconds=IN_FORCE_S)
    gevent.sleep(IN_FORCE_S)
    before = world.servers["pb"].arrivals
    calls = [gevent.spawn(call, host) for host in hosts.values() for _ in range(5)]
    gevent.sleep(0.5)
    for name in paused:
        hosts[name].send(signal.SIGCONT)
    gevent.joinall(calls, timeout=15.0)
    assert {each.value for each in calls} == {200}
    assert world.servers["pb"].arrivals == before
