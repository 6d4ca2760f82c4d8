"""Objects of the store that other writers have left cost nobody but themselves."""

import gevent
import pytest

from rosemarystream._internal.gateway import server_watch, store_watches
from rosemarystream._internal.models.log_entries.servers import ServerEntryInvalid
from rosemarystream._internal.models.log_entries.store import HistoryGone
from standins.object_store import StoreFault
from tests.lib.entry_world import METRICS_PORT, World, get, wait_until
from tests.lib.odd_objects import CONTENTS, DEEP, OBJECTS, nest, write_odd

CALLS = 24


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_server("p9")
    yield created
    created.stop()


def call_many(host):
    callers = [gevent.spawn(host.call, f"/look/{n}") for n in range(CALLS)]
    gevent.joinall(callers)
    return [caller.value.status for caller in callers]


@pytest.mark.parametrize("odd", [*CONTENTS, *OBJECTS])
def test_an_odd_entry_costs_no_caller_and_hides_no_server(world, odd):
    watching = world.add_host("h1")
    wait_until(lambda: watching.list_servers() == ["p1", "p9"])
    write_odd(world.store, "p5", odd)
    world.add_server("p7")
    wait_until(lambda: watching.list_servers() == ["p1", "p7", "p9"])
    starting = world.add_host("h2")
    wait_until(lambda: starting.list_servers() == ["p1", "p7", "p9"])
    for host in (watching, starting):
        assert call_many(host) == [200] * CALLS


def test_an_odd_entry_among_others_of_one_answer_costs_none_of_them(world):
    host = world.add_host("h1")
    world.store.fault = StoreFault.BUSY
    gevent.sleep(0.3)
    for name in ("p2", "p8"):
        world.add_server(name)
        for odd in ("nested_1500", "unreadable_name", "port_too_large"):
            write_odd(world.store, f"{name}-{odd}", odd)
    world.store.fault = StoreFault.NONE
    wait_until(lambda: host.list_servers() == ["p1", "p2", "p8", "p9"])
    assert call_many(host) == [200] * CALLS


@pytest.mark.parametrize("last", ["p5 & x", "p5?after=z", "p5\u65e5", "p5\r\nx"])
def test_the_list_goes_on_after_a_page_that_ends_with_an_odd_name(
    world, monkeypatch, last
):
    monkeypatch.setattr("standins.object_store.PAGE_SIZE", 2)
    world.store.write("servers", last, nest(DEEP))
    host = world.add_host("h1")
    wait_until(lambda: host.list_servers() == ["p1", "p9"])


def test_an_odd_entry_that_is_removed_leaves_the_list(world):
    host = world.add_host("h1")
    world.store.write("servers", "p9", nest(DEEP))
    world.add_server("p7")
    wait_until(lambda: "p7" in host.list_servers())
    world.store.remove("servers", "p9")
    wait_until(lambda: host.list_servers() == ["p1", "p7"])


@pytest.mark.parametrize("odd", ["nested_1500", "port_too_large", "deep_status"])
def test_an_odd_entry_is_named_and_logged_once_a_revision(world, monkeypatch, odd):
    entries = []
    for module in (store_watches, server_watch):
        monkeypatch.setattr(
            module, "write_log_entry", lambda log, entry: entries.append(entry)
        )
    host = world.add_host("h1")
    write_odd(world.store, "p5", odd)
    wait_until(lambda: host.read_state()["left_out"])
    world.store.drop_history()
    wait_until(lambda: any(isinstance(entry, HistoryGone) for entry in entries))
    world.add_server("p7")
    wait_until(lambda: "p7" in host.list_servers())
    name = "servers/p5" if odd in CONTENTS else "servers/odd"
    assert [*host.read_state()["left_out"]] == [name]
    assert sum(isinstance(entry, ServerEntryInvalid) for entry in entries) == 1
    metrics = get(host.ip, METRICS_PORT, "/").body
    assert b'rosemarystream_objects_left_out_total{kind="servers"} 1.0' in metrics
    world.store.write("servers", "p5", CONTENTS["no_slots"])
    wait_until(lambda: "servers/p5" in host.read_state()["left_out"])
    world.store.remove("servers", "p5")
    wait_until(lambda: "servers/p5" not in host.read_state()["left_out"])
