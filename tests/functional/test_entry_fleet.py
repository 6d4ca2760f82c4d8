"""State that hosts exchange with each other when the store or hosts fail."""

import random

import gevent
import pytest
from prometheus_client.parser import text_string_to_metric_families

from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.gateway import state_pulls
from standins.object_store import StoreFault
from tests.lib.entry_world import (
    METRICS_PORT,
    ROUTES,
    World,
    get,
    make_configuration,
    make_route,
    wait_until,
)

# A change has to be in force this long after the store has accepted it.
IN_FORCE_S = 2.0


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_host("h1")
    created.add_host("h2", seeds=["h1"])
    created.add_host("h3", seeds=["h1"])
    for host in created.hosts.values():
        wait_until(lambda host=host: host.list_servers() == ["p1"])
    wait_until(lambda: all(count_known(host) == 2 for host in created.hosts.values()))
    yield created
    created.stop()


def count_known(host):
    return len(host.list_hosts())


def get_versions(world):
    return [host.get_version() for host in world.hosts.values()]


def list_ready(world):
    return [host.list_servers("plain") for host in world.hosts.values()]


def test_a_configuration_is_in_force_on_all_hosts(world):
    world.store.write("config", "main", make_configuration(8, keys=["new"]))
    wait_until(lambda: get_versions(world) == [8, 8, 8], seconds=2.0)
    for host in world.hosts.values():
        assert host.call("/look/1").status == 401
        assert host.call("/look/1", key="new").status == 200


def test_hosts_refused_by_the_store_get_the_configuration_from_others(world):
    for name in ("h1", "h2"):
        world.store.refused.add(world.hosts[name].store_address)
    world.store.write("config", "main", make_configuration(9))
    wait_until(lambda: get_versions(world) == [9, 9, 9], seconds=3.0)


def test_a_change_is_in_force_in_time_when_the_store_leaves_its_watchers_waiting(world):
    world.add_host("h4", "b", seeds=["h1"])
    gevent.sleep(1.0)
    # Hosts that watched just after their start still wait for the next change.
    world.store.write("config", "main", make_configuration(8))
    wait_until(lambda: get_versions(world) == [8] * 4)
    gevent.sleep(0.5)
    # One host of a data centre watches; these are cut while their calls wait.
    watchers = {order_candidates("a", ["h1", "h2", "h3"])[0], "h4"}
    for name in watchers:
        world.store.unanswered.add(world.hosts[name].store_address)
    world.store.write("config", "main", make_configuration(9))
    wait_until(lambda: get_versions(world) == [9] * 4, seconds=IN_FORCE_S)


def test_a_host_started_during_a_store_outage_gets_its_state_from_others(world):
    world.store.fault = StoreFault.BUSY
    host = world.add_host("h4", seeds=["h1", "h2"])
    assert host.get_version() == 3
    assert host.call("/look/1").status == 200


def test_a_host_without_configuration_is_not_ready():
    created = World()
    try:
        created.store.fault = StoreFault.BUSY
        host = created.add_host("h1", wait=False)
        gevent.sleep(0.3)
        assert not host.is_ready()
        assert host.call("/look/1").status == 503
    finally:
        created.stop()


def test_hosts_keep_serving_during_a_store_outage(world):
    world.store.fault = StoreFault.UNRESPONSIVE
    world.store.stop()
    gevent.sleep(0.5)
    for host in world.hosts.values():
        assert host.call("/look/1").status == 200


def test_entries_missing_after_a_store_outage_are_removed_after_a_delay(world):
    world.store.fault = StoreFault.BUSY
    world.store.stop()
    gevent.sleep(1.0)
    world.store.remove("servers", "p1")
    world.store.fault = StoreFault.NONE
    world.store.start()
    gevent.sleep(1.2)
    assert list_ready(world) == [["p1"]] * 3
    wait_until(lambda: list_ready(world) == [[]] * 3, seconds=6.0)


def test_a_server_that_leaves_while_history_is_dropped_is_removed(world):
    world.store.remove("servers", "p1")
    world.store.drop_history()
    wait_until(lambda: list_ready(world) == [[]] * 3, seconds=2.0)


def test_a_restarted_server_of_the_same_name_is_used(world):
    entry = world.servers["p1"].describe()
    world.store.write("servers", "p1", {**entry, "born": 2_000, "seq": 1})
    wait_until(
        lambda: all(
            host.list_incarnations() == [2_000] for host in world.hosts.values()
        )
    )
    assert world.hosts["h2"].call("/look/1").status == 200


def test_only_a_few_hosts_watch_the_store(world):
    world.store.calls.clear()
    gevent.sleep(0.5)
    world.store.write("config", "main", make_configuration(11))
    wait_until(lambda: get_versions(world) == [11, 11, 11])
    gevent.sleep(0.5)
    watches = [call for call in world.store.calls if "/config?watch" in call]
    assert len(watches) <= 4


def test_load_of_one_host_reaches_all_others(world):
    world.servers["p1"].work_s = 1.0
    task = gevent.spawn(world.hosts["h1"].call, "/look/1")
    for name in ("h2", "h3"):
        host = world.hosts[name]
        wait_until(lambda host=host: host.count_load("p1") == 1, seconds=1.0)
    task.join()
    for name in ("h2", "h3"):
        host = world.hosts[name]
        wait_until(lambda host=host: host.count_load("p1") == 0, seconds=1.0)


def test_other_hosts_keep_working_when_collectors_stop(world):
    for name in ("h1", "h2"):
        world.hosts[name].gateway.stop()
    world.store.write("config", "main", make_configuration(12))
    last = world.hosts["h3"]
    wait_until(lambda: last.get_version() == 12, seconds=4.0)
    assert last.call("/look/1").status == 200


def test_a_leaving_host_finishes_accepted_requests(world):
    world.servers["p1"].work_s = 0.5
    host = world.hosts["h2"]
    task = gevent.spawn(host.call, "/look/1")
    gevent.sleep(0.1)
    leaving = gevent.spawn(host.gateway.leave)
    gevent.sleep(0.05)
    assert not host.is_ready()
    reply = task.get()
    assert reply.status == 200
    assert reply.headers[b"connection"] == b"close"
    leaving.join(timeout=4.0)
    assert leaving.ready()


def test_a_host_is_not_ready_while_it_reaches_no_server(world):
    server, host = world.servers["p1"], world.hosts["h1"]
    server.stop()
    for _ in range(3):
        assert host.call("/look/1").status == 503
    wait_until(lambda: host.call("/look/1").status == 503 and not host.is_ready())
    server.start()
    wait_until(host.is_ready)
    wait_until(lambda: host.call("/look/1").status == 200)


def test_a_request_waits_until_a_starting_host_can_serve(world):
    host = world.add_host("h4", seeds=["h1"], wait=False)
    assert host.call("/look/1").status == 200


def test_a_long_configuration_does_not_delay_server_changes(world, monkeypatch):
    # The last host in the order of collectors, so one that gets its state from others.
    last = order_candidates("a", ["h1", "h2", "h3", "h4", "h5", "h6"])[-1]
    host = world.hosts.get(last) or world.add_host(last, seeds=["h1"])
    receive, begun = state_pulls.receive_frame, []

    def receive_slowly(connection, *on_piece):
        frame = receive(connection, *on_piece)
        if len(frame) > 20_000:
            begun.append(len(frame))
            gevent.sleep(2.0)
        return frame

    monkeypatch.setattr(state_pulls, "receive_frame", receive_slowly)
    rng = random.Random(1)
    names = [f"r{rng.getrandbits(128):x}" for _ in range(2000)]
    routes = [make_route(name, "idempotent") for name in names]
    world.store.write("config", "main", make_configuration(9, [*ROUTES, *routes]))
    wait_until(lambda: begun)
    world.store.remove("servers", "p1")
    wait_until(lambda: host.list_servers() == [], seconds=1.5)
    wait_until(lambda: host.get_version() == 9)


def read_uncached_tokens(host):
    text = get(host.ip, METRICS_PORT, "/metrics").body.decode()
    family = next(
        family
        for family in text_string_to_metric_families(text)
        if family.name.endswith("prompt_tokens_unread")
    )
    return family.samples[0].value


def test_a_host_that_joins_knows_which_prompts_are_cached(world):
    world.add_server("e1", "engines")
    wait_until(lambda: "e1" in world.hosts["h1"].list_servers())
    headers = (
        ("X-Rosemarystream-Model", "m"),
        ("X-Rosemarystream-Prompt-Prefix", "a:9000,b:1"),
    )
    assert world.hosts["h1"].call("/chat/1", headers=headers).complete
    gevent.sleep(0.3)
    joined = world.add_host("h4", seeds=["h1"])
    gevent.sleep(0.5)
    assert joined.call("/chat/1", headers=headers).complete
    assert read_uncached_tokens(joined) == 1
