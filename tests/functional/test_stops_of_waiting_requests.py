"""Hosts that stop while requests wait for something other than an answer."""

import gevent
import pytest

from standins.backend_server import Fault
from tests.lib.entry_world import World, make_configuration, make_route, wait_until

# A host ends what is in progress 0.4 s before the end of its shutdown time.
SHUTDOWN_MS = 700
# Longer than the stop.
WAIT_S = 5.0
WAIT_MS = 5000
RETRY_AFTER = "4"
PATHS = ["/look/1", "/book/1"]


def make_world(servers):
    world = World()
    shared = {"timeout-ms": WAIT_MS, "max-attempts": 2}
    routes = [
        make_route("look", "idempotent", **shared),
        make_route("book", "non_idempotent", **shared),
    ]
    world.store.write("config", "main", make_configuration(4, routes))
    for number in range(1, servers + 1):
        world.add_server(f"p{number}")
    return world


class Stop:
    """A host that is told to stop once a request waits."""

    def __init__(self, world, *, has_configuration=True):
        if not has_configuration:
            world.store.remove("config", "main")
        self._world = world
        self.host = world.add_host(
            "h1", wait=has_configuration, shutdown_ms=SHUTDOWN_MS
        )
        if has_configuration:
            wait_until(lambda: len(self.host.list_servers()) == len(world.servers))

    def end_request(self, path, is_waiting):
        """Return the answer to a request that waits when the host is told to stop."""
        call = gevent.spawn(self.host.call, path, wait_ms=WAIT_MS)
        wait_until(is_waiting)
        self.host.gateway.leave()
        return call.get(timeout=WAIT_S)

    def count_busy(self):
        return self.host.gateway._caller_listener.count_busy()

    def make_wait(self, calls):
        """Return a function that waits for longer than the stop."""

        def wait(*arguments):
            calls.append(arguments)
            gevent.sleep(WAIT_S)
            raise AssertionError

        return wait


@pytest.fixture
def world():
    created = make_world(servers=1)
    yield created
    created.stop()


def assert_not_run(reply, world):
    assert (reply.status, reply.complete) == (503, True), reply
    assert b'"error":"leaving"' in reply.body
    assert b'"execution":"not_run"' in reply.body
    assert [run for server in world.servers.values() for run in server.runs] == []


@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_waits_for_the_first_configuration_is_refused(world, path):
    stop = Stop(world, has_configuration=False)
    reply = stop.end_request(path, stop.count_busy)
    assert_not_run(reply, world)


@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_waits_for_a_server_is_refused(world, path):
    server = world.servers["p1"]
    server.retry_after = RETRY_AFTER
    stop = Stop(world)
    reply = stop.end_request(path, lambda: server.arrivals)
    assert_not_run(reply, world)


@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_waits_for_a_permission_is_refused(world, path):
    stop = Stop(world)
    calls = []
    stop.host.gateway._gate.admit = stop.make_wait(calls)
    reply = stop.end_request(path, lambda: calls)
    assert_not_run(reply, world)


@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_waits_for_a_connection_is_refused(world, path):
    stop = Stop(world)
    calls = []
    stop.host.gateway._pool.open = stop.make_wait(calls)
    reply = stop.end_request(path, lambda: calls)
    assert_not_run(reply, world)


@pytest.mark.parametrize(
    ("fault", "status", "body"),
    [
        pytest.param(Fault.FAIL, 500, b"failed", id="failed"),
        pytest.param(Fault.CLOSE, 502, b'"execution":"unknown"', id="closed"),
        pytest.param(Fault.TURN_AWAY, 503, b'"execution":"not_run"', id="turned_away"),
    ],
)
@pytest.mark.parametrize("place", ["_gate.admit", "_pool.open"])
def test_a_request_that_waits_for_its_second_server_gets_what_is_true(
    fault, status, body, place
):
    world = make_world(servers=2)
    stop = Stop(world)
    calls = []
    for server in world.servers.values():
        server.faults = [fault]
    owner = getattr(stop.host.gateway, place.partition(".")[0])
    name = place.partition(".")[2]
    go_on = getattr(owner, name)
    wait = stop.make_wait(calls)

    def wait_at_second(*arguments):
        is_first = not any(server.arrivals for server in world.servers.values())
        return (go_on if is_first else wait)(*arguments)

    setattr(owner, name, wait_at_second)
    reply = stop.end_request("/look/1", lambda: calls)
    world.stop()
    assert (reply.status, reply.complete) == (status, True), reply
    assert body in reply.body
