"""What a request leaves in memory once it is answered, without garbage collection."""

import gc

import gevent
import pytest

from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.exchange import Exchange
from standins.backend_server import Fault
from tests.lib.entry_world import World, wait_until

# Both hold what belongs to one request only, the one its body, the other its answer.
KINDS = (Exchange, AnswerWriter)


@pytest.fixture(scope="module")
def world():
    created = World()
    for number in range(2):
        created.add_server(f"p{number}")
        created.add_server(f"e{number}", "engines")
    created.add_host("h1")
    wait_until(lambda: len(created.hosts["h1"].list_servers()) == 4)
    yield created
    created.stop()


@pytest.fixture
def uncollected():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def list_left():
    return [type(x).__name__ for x in gc.get_objects() if isinstance(x, KINDS)]


@pytest.mark.parametrize("fault", [Fault.NONE, Fault.TURN_AWAY, Fault.FAIL, Fault.CUT])
@pytest.mark.parametrize("route", ["look", "book", "chat", "brief", "unknown"])
def test_an_answered_request_leaves_no_buffers_to_the_collector(
    world, uncollected, route, fault
):
    for server in world.servers.values():
        server.faults = [fault]
    world.hosts["h1"].call(f"/{route}/1", body=b"x" * 2000)
    # The connection's greenlet ends after the caller has closed it.
    gevent.sleep(0.1)
    assert list_left() == []
