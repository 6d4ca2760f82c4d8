"""Data centres whose servers an operator wants to get no more requests."""

import time

import gevent
import pytest

from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.evacuation_watch import LATER_NEWS_S
from rosemarystream._internal.gateway.limit_gate import LimitGate
from standins.backend_server import Fault
from standins.object_store import StoreFault
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


def lose_store(world):
    """The store goes down once its first watchers have been answered."""
    world.store.write(KIND, "b", {})
    gevent.sleep(0.05)
    world.store.fault = StoreFault.BUSY
    world.store.stop()


def answer_one_host_only(world):
    for name in ("h1", "h2", "h3"):
        world.store.unanswered.add(world.hosts[name].store_address)
    world.store.write(KIND, "b", {})


def list_watchers():
    """Return the hosts that watch the store while nothing fails."""
    return [
        order_candidates("a", ["h1", "h2"])[0],
        order_candidates("b", ["h3", "h4"])[0],
    ]


def leave_watchers_waiting(world):
    for name in list_watchers():
        world.store.unanswered.add(world.hosts[name].store_address)
    world.store.write(KIND, "b", {})


def kill_watchers(world):
    for name in list_watchers():
        world.hosts.pop(name).gateway.stop()
    world.store.write(KIND, "b", {})


@pytest.mark.parametrize(
    "strike",
    [lose_store, answer_one_host_only, leave_watchers_waiting, kill_watchers],
)
def test_an_evacuation_is_in_force_in_time_whatever_fails_at_its_begin(world, strike):
    # Guards against hosts that learn of it only from the store, or from one watcher.
    strike(world)
    wait_in_force(world)
    before = world.servers["pb"].arrivals
    assert call_all(world) == {200}
    assert world.servers["pb"].arrivals == before


def test_an_evacuation_lasts_while_the_store_is_down_and_ends_after_that(world):
    # Guards against a lost store, or an old listing, being taken for the end.
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    world.store.fault = StoreFault.BUSY
    world.store.stop()
    gevent.sleep(2.0)
    assert all(is_in_force(host) for host in world.hosts.values())
    world.store.remove(KIND, "b")
    world.store.drop_history()
    world.store.fault = StoreFault.NONE
    world.store.start()
    wait_in_force(world, expected=False)


def test_several_data_centres_are_evacuated_and_end_independently(world):
    world.add_server("pc", data_centre="c")
    for host in world.hosts.values():
        wait_until(lambda host=host: "pc" in host.list_servers())
    for name in ("a", "b"):
        world.store.write(KIND, name, {})
    wait_in_force(world)
    hosts = world.hosts.values()
    wait_until(lambda: all(is_in_force(host, "a") for host in hosts))
    at_b = world.servers["pb"].arrivals
    before = world.servers["pa"].arrivals + at_b
    assert call_all(world) == {200}
    assert world.servers["pa"].arrivals + world.servers["pb"].arrivals == before
    world.store.remove(KIND, "a")
    wait_until(lambda: not any(is_in_force(host, "a") for host in hosts))
    assert all(is_in_force(host) for host in hosts)
    assert call_all(world) == {200}
    assert world.servers["pb"].arrivals == at_b


def test_only_watchers_call_the_store_for_evacuations(world):
    # Calls to the store have a price.
    def list_connected():
        stores = {n: h.gateway._evacuation_watch._store for n, h in world.hosts.items()}
        return sorted(name for name, store in stores.items() if store._connection)

    # Hosts that watched just after their start still wait for the next change.
    world.store.write(KIND, "b", {})
    wait_until(lambda: list_connected() == sorted(list_watchers()))
    gevent.sleep(1.0)
    assert list_connected() == sorted(list_watchers())


def test_a_paused_host_waits_for_news_before_it_sends(world):
    # Guards against requests that are ready to be sent when a suspended process goes
    # on, while the messages that it missed, or that no buffer held, are not read yet.
    name = next(x for x in ("h3", "h4") if x not in list_watchers())
    host = world.hosts[name]
    peering = host.gateway._peering
    world.store.unanswered.add(host.store_address)
    accept, peering.accept_datagram = peering.accept_datagram, lambda data, ip: None
    world.store.write(KIND, "b", {})
    gevent.sleep(1.0)
    assert not is_in_force(host)
    host.gateway._router.availability.delays.pauses._ticked_at -= 10.0
    peering.accept_datagram = accept
    before = world.servers["pb"].arrivals
    assert call_all(world) == {200}
    assert world.servers["pb"].arrivals == before


# Hosts that start


def call_while_starting(world, host):
    """Send requests from the first moment until a host is ready; return if in time."""
    statuses = []
    with gevent.Timeout(IN_FORCE_S, AssertionError("the host is not ready")):
        while not host.is_ready():
            statuses.append(host.call("/look/1").status)
    return statuses


def test_a_host_started_in_an_outage_of_the_store_is_told_before_it_is_ready(world):
    # Guards against a host that serves before others have told it.
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    world.store.fault = StoreFault.BUSY
    before = world.servers["pb"].arrivals
    host = world.add_host("h5", "b", seeds=["h1", "h3"], wait=False)
    call_while_starting(world, host)
    assert is_in_force(host)
    assert call_all(world) == {200}
    assert world.servers["pb"].arrivals == before


def test_a_host_without_others_lists_the_evacuations_before_it_is_ready(
    world, monkeypatch
):
    # Guards against a host that is ready once it has the configuration.
    read = world.store._read

    def read_late(path, query):
        gevent.sleep(1.0 if path == [KIND] else 0.0)
        return read(path, query)

    monkeypatch.setattr(world.store, "_read", read_late)
    for host in world.hosts.values():
        host.gateway.stop()
    world.hosts.clear()
    before = world.servers["pb"].arrivals
    world.store.write(KIND, "b", {})
    host = world.add_host("h5", "b", wait=False)
    call_while_starting(world, host)
    assert is_in_force(host)
    assert call_all(world) == {200}
    assert world.servers["pb"].arrivals == before


@pytest.fixture
def silent_peers(world, monkeypatch):
    """The hosts say nothing of evacuations, as those of an earlier build."""
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    monkeypatch.setattr(Evacuations, "list_rows", lambda *arguments, **more: None)
    return world


def test_a_host_among_hosts_of_an_earlier_build_lists_the_evacuations(silent_peers):
    # It is third in the order of its data centre, so no watcher.
    order = order_candidates("b", ["h3", "h4", "h5", "h6", "h7"])
    name = next(x for x in reversed(order) if x not in ("h3", "h4"))
    host = silent_peers.add_host(name, "b", seeds=["h1", "h3"], wait=False)
    call_while_starting(silent_peers, host)
    assert is_in_force(host)


def test_hosts_that_are_no_longer_told_hear_of_an_evacuation_in_time(silent_peers):
    # Guards against hosts whose collectors are replaced by those of an earlier build.
    gevent.sleep(LATER_NEWS_S + 0.5)
    silent_peers.store.write(KIND, "a", {})
    hosts = silent_peers.hosts.values()
    wait_until(lambda: all(is_in_force(host, "a") for host in hosts), IN_FORCE_S)


def test_a_host_that_nobody_tells_becomes_ready_without(silent_peers):
    # Guards against a fleet of mixed builds without a store having no host that serves.
    silent_peers.store.fault = StoreFault.BUSY
    host = silent_peers.add_host("h5", "b", seeds=["h1", "h3"], wait=False)
    wait_until(host.is_ready, seconds=8.0)
    assert host.call("/look/1").status == 200
    assert not host.read_state()["evacuations_known"]
    silent_peers.store.fault = StoreFault.NONE
    wait_until(lambda: is_in_force(host))


# Ways to a server


def test_requests_without_another_server_are_refused_at_once(world):
    # Guards against requests that wait out their time, and hosts that end up not ready.
    world.store.write(KIND, "a", {})
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    wait_until(lambda: all(is_in_force(host, "a") for host in world.hosts.values()))
    before = world.servers["pa"].arrivals + world.servers["pb"].arrivals
    host = world.hosts["h1"]
    for path in ("/look/1", "/book/1"):
        began_at = time.monotonic()
        reply = host.call(path)
        assert time.monotonic() - began_at < 0.25
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) == 1.0
        assert b"evacuated" in reply.body
        assert b'"execution":"not_run"' in reply.body
        # No other host would serve it.
        assert reply.headers.get(b"connection") != b"close"
    gevent.sleep(0.6)
    assert host.is_ready()
    assert world.servers["pa"].arrivals + world.servers["pb"].arrivals == before


def open_slowly(monkeypatch, server):
    """Let connections to a server take a while, and none be reused."""
    pool_open = ConnectionPool.open

    def open_late(self, endpoint, deadline):
        if endpoint.name == server:
            gevent.sleep(0.6)
        return pool_open(self, endpoint, deadline)

    monkeypatch.setattr(ConnectionPool, "open", open_late)
    monkeypatch.setattr(ConnectionPool, "take", lambda self, endpoint, **_: None)


def permit_slowly(monkeypatch, server):
    """Let permissions for a server take a while."""

    def admit_late(self, endpoint):
        if endpoint.name == server:
            gevent.sleep(0.6)
        return True

    monkeypatch.setattr(LimitGate, "admit", admit_late)


@pytest.mark.parametrize("delay", [open_slowly, permit_slowly])
def test_a_request_placed_before_the_news_is_not_sent_after_it(
    world, monkeypatch, delay
):
    # Guards against requests that are still connecting, or waiting for a permission.
    delay(monkeypatch, "pb")
    host = world.hosts["h3"]
    calls = [gevent.spawn(host.call, "/book/1") for _ in range(CALLS)]
    gevent.sleep(0.1)
    world.store.write(KIND, "b", {})
    gevent.joinall(calls, raise_error=True)
    assert {call.value.status for call in calls} == {200}
    assert world.servers["pb"].arrivals == 0
    # No fault of the server.
    assert not host.read_state()["servers"]["pb"]["set_aside"]


def test_a_request_that_waits_for_a_server_does_not_get_it_after_the_news(world):
    server, host = world.servers["pb"], world.hosts["h3"]
    world.store.remove("servers", "pa")
    wait_until(lambda: host.list_servers() == ["pb"])
    server.retry_after = "1"
    call = gevent.spawn(host.call, "/look/1")
    wait_until(lambda: server.arrivals)
    server.retry_after = None
    world.store.write(KIND, "b", {})
    assert call.get(timeout=1.0).status == 503
    gevent.sleep(1.0)
    assert server.arrivals == 1


def test_repeats_and_early_second_attempts_go_to_no_evacuated_server(world):
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    world.servers["pa"].faults = [Fault.HANG, Fault.CLOSE, Fault.FAIL, Fault.TURN_AWAY]
    for host in world.hosts.values():
        assert host.call("/look/1", wait_ms=600).status >= 500
    assert world.servers["pb"].arrivals == 0


def test_an_evacuated_server_is_not_probed(world):
    # Guards against probes when no other server can be reached.
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    host, connections = world.hosts["h1"], world.servers["pb"].connections
    world.servers["pa"].stop()
    wait_until(lambda: host.call("/look/1").status == 503 and not host.is_ready())
    for _ in range(5):
        assert host.call("/look/1").status == 503
    gevent.sleep(1.0)
    assert world.servers["pb"].connections == connections
    world.servers["pa"].start()
    wait_until(host.is_ready)


PROMPT = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "root:9000,own:5"),
)


@pytest.fixture
def streaming(world):
    """Two engines in data centre b, of which one has a prompt and runs a stream."""
    for name in ("e1", "e2"):
        world.add_server(name, "engines", data_centre="b", work_s=0.1)
    host = world.hosts["h1"]
    wait_until(lambda: len(host.list_servers("engines")) == 2)
    call = gevent.spawn(host.call, "/chat/1", headers=PROMPT)
    engines = [world.servers["e1"], world.servers["e2"]]
    wait_until(lambda: any(engine.arrivals for engine in engines))
    engines.sort(key=lambda engine: -engine.arrivals)
    world.add_server("e3", "engines", data_centre="a", work_s=0.01)
    wait_until(lambda: len(host.list_servers("engines")) == 3)
    return host, call, engines


def test_running_streams_finish_and_new_ones_go_elsewhere(world, streaming):
    host, call, engines = streaming
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    assert host.call("/chat/1", headers=PROMPT).complete
    assert call.get().complete
    assert [engine.arrivals for engine in engines] == [1, 0]
    assert world.servers["e3"].arrivals == 1


def test_a_stream_goes_on_at_no_other_evacuated_engine(world, streaming):
    host, call, engines = streaming
    world.store.remove("servers", "e3")
    wait_until(lambda: len(host.list_servers("engines")) == 2)
    world.store.write(KIND, "b", {})
    wait_in_force(world)
    engines[0].crash()
    assert not call.get().complete
    assert [engine.arrivals for engine in engines] == [1, 0]
