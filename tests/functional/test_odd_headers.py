"""Headers of callers and servers with odd numbers cost nobody an answer."""

import gevent
import pytest

from standins.backend_server import Fault
from tests.lib.entry_world import World, list_event_ids, make_configuration, wait_until

LONG = "9" * 5_000
NUMBERS = [LONG, "9" * 30, "-1", "1e9", "nan", "\xb2", "", "1" * 16]
STREAM_PATH = "/chat/1"
LOAD = b"x-rosemarystream-server-load"
PARTS = "X-Rosemarystream-Prompt-Prefix"


@pytest.fixture
def world():
    created = World()
    document = make_configuration(4)
    document["limits"]["max-header-bytes"] = 16_384
    created.store.write("config", "main", document)
    created.add_server("p1")
    created.add_server("e1", "engines")
    created.add_host("h1")
    created.add_host("h2", seeds=["h1"])
    for host in created.hosts.values():
        wait_until(lambda host=host: len(host.list_servers()) == 2)
    yield created
    created.stop()


@pytest.mark.parametrize("number", NUMBERS)
def test_an_odd_deadline_of_a_caller_is_not_believed(world, number):
    reply = world.hosts["h1"].call("/look/1", wait_ms=number)
    assert reply.status == 200


@pytest.mark.parametrize("number", NUMBERS)
def test_odd_sizes_of_prompt_parts_end_no_loop_of_the_host(world, number):
    host = world.hosts["h1"]
    parts = ",".join(["a:20", f"b:{number[:1000]}", f"c:{number}"])
    world.servers["e1"].faults = [Fault.HANG]
    waiting = gevent.spawn(host.call, STREAM_PATH, headers=[(PARTS, parts)])
    gevent.sleep(1.0)
    waiting.kill()
    heard_ms = world.hosts["h2"].read_state()["peers"]["h1"]["heard_ms"]
    assert 0 <= heard_ms < 800
    assert host.call("/look/1").status == 200


@pytest.mark.parametrize("number", [LONG, "9" * 30, "-1", "nan", "\xb2"])
def test_an_odd_number_of_the_last_event_costs_no_answer(world, number):
    headers = [("Last-Event-Id", number)]
    reply = world.hosts["h1"].call("/look/1", headers=headers)
    assert reply.status == 200


@pytest.mark.parametrize("number", NUMBERS)
@pytest.mark.parametrize(
    ("name", "text"),
    [
        (LOAD, "1,0,8,{}"),
        (LOAD, "{0},{0},{0},100"),
        (b"keep-alive", "timeout={}"),
        (b"server-limit", "{}"),
    ],
)
def test_an_odd_number_of_a_server_costs_no_answer(world, name, text, number):
    value = text.format(number).strip()
    for server in world.servers.values():
        if name == LOAD:
            server.load = value
        else:
            server.odd_headers = [(name, value.encode("latin-1"))]
    host = world.hosts["h1"]
    assert [host.call("/look/1").status for _ in range(3)] == [200] * 3
    reply = host.call(STREAM_PATH, headers=[(PARTS, "a:20,b:1")])
    assert list_event_ids(reply.body) == [*range(1, 9)]
    assert reply.complete
