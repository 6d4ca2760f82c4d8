"""A status that promises "not run" is passed on only if the server has stated it."""

import gevent
import pytest

from rosemarystream._internal.platform.headers import decode_answer
from standins.backend_server import Error, Fault
from tests.lib.entry_world import World, wait_until

PROMISES = (408, 421, 429, 503)
# Paths of routes whose requests may run once, and of those that may be repeated.
ONCE = {"/book/1": "p1", "/brief/1": "e1"}
REPEATABLE = {"/look/1": "p1", "/chat/1": "e1"}
SEAL = b"x-rosemarystream-response-seal"


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_server("e1", "engines")
    created.add_host("h1")
    wait_until(lambda: len(created.hosts["h1"].list_servers()) == 2)
    yield created
    created.stop()


def fail_next(server, status, headers=()):
    server.errors[Fault.FAIL] = Error(status, b"booked, but busy", tuple(headers))
    server.faults.append(Fault.FAIL)


# review/11: a booking that had run was refused with 503, and its caller booked again.
@pytest.mark.parametrize("path", ONCE)
@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_request_that_may_have_run_gets_no_promise_of_not_run(world, path, status):
    server, host = world.servers[ONCE[path]], world.hosts["h1"]
    assert host.call(path).status == 200
    connections, runs = server.connections, len(server.runs)
    fail_next(server, status, [(b"retry-after", b"0.1")])
    reply = host.call(path)
    assert len(server.runs) == runs + 1
    assert (reply.status, reply.complete) == (502, True)
    # A failure under the server's seal would need the server's own status.
    assert SEAL not in reply.headers
    assert b"retry-after" not in reply.headers
    gevent.sleep(0.2)
    assert host.call(path).status == 200
    assert server.connections == connections


@pytest.mark.parametrize("path", REPEATABLE)
@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_repeatable_request_gets_the_failure_of_its_server(world, path, status):
    server = world.servers[REPEATABLE[path]]
    fail_next(server, status)
    reply = world.hosts["h1"].call(path)
    assert (reply.status, reply.body) == (status, b"booked, but busy")
    assert reply.headers[SEAL] == b"seal"


@pytest.mark.parametrize("path", ONCE)
def test_other_failures_of_a_server_are_passed_on_unchanged(world, path):
    server = world.servers[ONCE[path]]
    for status in (400, 404, 409, 500, 502, 504, 599):
        fail_next(server, status)
        reply = world.hosts["h1"].call(path)
        assert (reply.status, reply.body) == (status, b"booked, but busy")
        assert reply.headers[SEAL] == b"seal"


def test_only_a_failure_states_that_a_request_has_not_run():
    """A success that bears the statement contradicts it, and isn't repeated."""
    for status in range(200, 600):
        stated = decode_answer(status, [(b"x-rosemarystream-not-executed", b"1")])
        plain = decode_answer(status, [])
        assert stated.not_run is (status >= 400)
        assert plain.not_run is (status == 421)
        assert plain.promises_not_run is (status in PROMISES)
