"""A late second copy of a refusal is not the answer to the next send of its request."""

import gevent
import pytest

from rosemarystream._internal.gateway.caller_resources import (
    OPERATOR_LIMITS,
    CallerResources,
)
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from tests.lib.entry_world import World, make_configuration, make_route, wait_until

SERVICES = {"look": "plain", "book": "plain", "chat": "engines", "brief": "engines"}
RETRY_AFTER_S = 0.2


@pytest.fixture(params=SERVICES)
def route(request):
    return request.param


@pytest.fixture
def world(route):
    """One host and one server that refuses requests, and sends each refusal twice."""
    world = World()
    world.add_server("s1", SERVICES[route]).repeats_refusals = True
    host = world.add_host("h1")
    wait_until(lambda: host.list_servers() == ["s1"])
    yield world
    world.stop()


def call_refused_at_first(world, route):
    """Return the answer to a call that the server refuses once."""
    server, host = world.servers["s1"], world.hosts["h1"]
    # Leaves a connection on which the request is sent.
    assert host.call(f"/{route}/1").status == 200
    server.retry_after = f"{RETRY_AFTER_S}"
    before, connections = server.arrivals, server.connections
    call = gevent.spawn(host.call, f"/{route}/2", request_id="refused-once")
    wait_until(lambda: server.arrivals > before)
    assert server.connections == connections
    server.retry_after = None
    return call.get(timeout=5)


def test_a_refusal_that_comes_twice_is_not_passed_on_for_a_request_that_runs(
    world, route
):
    reply = call_refused_at_first(world, route)
    assert (reply.status, reply.complete) == (200, True)
    runs = [run.request_id for run in world.servers["s1"].runs]
    assert runs.count("refused-once") == 1


def test_a_refusal_that_comes_twice_sends_no_request_to_a_second_server(world, route):
    routes = [
        make_route(
            route,
            "non_idempotent" if SERVICES[route] == "plain" else "streaming",
            service=SERVICES[route],
            **{"max-attempts": 3},
        )
    ]
    host = world.hosts["h1"]
    world.store.write("config", "main", make_configuration(9, routes))
    wait_until(lambda: host.get_version() == 9)
    world.add_server("s2", SERVICES[route])
    server = world.servers["s2"]
    server.retry_after = "1"
    wait_until(lambda: len(host.list_servers()) == 2)
    wait_until(lambda: host.call(f"/{route}/0", wait_ms=200) and server.arrivals)
    server.retry_after = None
    assert call_refused_at_first(world, route).status == 200
    runs = [run.request_id for s in world.servers.values() for run in s.runs]
    assert runs.count("refused-once") == 1


def test_a_refusal_that_comes_twice_is_not_passed_on_for_a_repeat_with_its_id(
    world, route
):
    """The repeat is another request to this host, so other attempts don't count."""
    server, host = world.servers["s1"], world.hosts["h1"]
    assert host.call(f"/{route}/1").status == 200
    server.retry_after = f"{RETRY_AFTER_S}"
    connections = server.connections
    # Too short a time for the host to wait for the server.
    refused = host.call(f"/{route}/2", request_id="repeated", wait_ms=100)
    assert refused.status in (429, 503)
    assert server.connections == connections
    server.retry_after = None
    gevent.sleep(RETRY_AFTER_S)
    assert host.call(f"/{route}/2", request_id="repeated").status == 200
    assert [run.request_id for run in server.runs].count("repeated") == 1


def test_the_connection_of_a_refusal_serves_other_requests(world, route):
    call_refused_at_first(world, route)
    server, host = world.servers["s1"], world.hosts["h1"]
    connections = server.connections
    replies = [host.call(f"/{route}/{n}") for n in range(4)]
    assert {reply.status for reply in replies} == {200}
    assert server.connections == connections


class _Connection:
    """An idle connection that can be used."""

    idle_since = 10.0

    def __init__(self):
        self.requests = []

    def had_request(self, request_id):
        return request_id in self.requests

    def is_reusable(self):
        return True

    def finish(self):
        return True

    def close(self):
        raise AssertionError("a connection that can be used was closed")


def make_pool():
    limits = OPERATOR_LIMITS._replace(idle_servers=9)
    resources = CallerResources(limits=limits, clock=lambda: 10.0)
    return ConnectionPool(clock=lambda: 10.0, resources=resources)


def test_a_pool_keeps_the_connections_that_a_request_must_not_use():
    endpoint = Endpoint("s1", "pool", "10.0.0.1:80", "a", 64, ServerState.READY, 1, 5)
    pool = make_pool()
    connections = [_Connection() for _ in range(3)]
    for connection in connections:
        pool.put(endpoint, connection, keep_alive_s=None)
    taken = pool.take(endpoint, excluded=connections[1:])
    assert taken is connections[0]
    assert pool.take(endpoint, excluded=connections) is None
    assert pool.take(endpoint) is connections[2]
    assert pool.take(endpoint) is connections[1]


def test_a_pool_keeps_the_connections_that_had_a_request_with_the_same_id():
    endpoint = Endpoint("s1", "pool", "10.0.0.1:80", "a", 64, ServerState.READY, 1, 5)
    pool = make_pool()
    connections = [_Connection() for _ in range(2)]
    for connection in connections:
        pool.put(endpoint, connection, keep_alive_s=None)
    connections[1].requests.append("r1")
    assert pool.take(endpoint, request_id="r1") is connections[0]
    assert pool.take(endpoint, request_id="r1") is None
    assert pool.take(endpoint, request_id="r2") is connections[1]


def test_a_full_pool_closes_the_connection_that_was_idle_for_longest():
    """Else connections to servers that are no longer used keep new ones out."""
    limits = OPERATOR_LIMITS._replace(idle_servers=1)
    resources = CallerResources(limits=limits, clock=lambda: 10.0)
    pool = ConnectionPool(clock=lambda: 10.0, resources=resources)
    old, new = (
        Endpoint(name, "pool", "10.0.0.1:80", "a", 64, ServerState.READY, 1, 5)
        for name in ("s1", "s2")
    )
    connections = [_Connection() for _ in range(2)]
    closed = []
    connections[0].close = lambda: closed.append("s1")
    pool.put(old, connections[0], keep_alive_s=None)
    pool.put(new, connections[1], keep_alive_s=None)
    assert closed == ["s1"]
    assert pool.take(old) is None
    assert pool.take(new) is connections[1]
