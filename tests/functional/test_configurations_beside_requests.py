"""New configurations that come while requests are in each of their stages."""

import gevent
import pytest
from gevent.event import Event

from standins.backend_server import EVENTS, Fault
from tests.lib.entry_world import (
    HOST,
    KEY,
    Caller,
    World,
    list_event_ids,
    make_configuration,
    make_route,
    wait_until,
)

WAIT_MS = 4000
# Time for which a server pauses, and for which one that wants nothing turns away.
PAUSE_S = 0.6
RETRY_AFTER_S = 2
BODY_BYTES = 3000
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)
PATHS = ["/look/1", "/book/1", "/chat/1", "/brief/1"]
# Answers to requests that weren't read whole when the configuration came.
REFUSALS = {401, 404, 408, 413, 431, 503, 504}


def make_routes(**changes):
    shared = {"timeout-ms": WAIT_MS, "max-attempts": 2, **changes}
    stream = {"service": "engines", "sticky": True, "gap-aim-ms": 1000}
    chat = {**stream, "resumable": True, **shared}
    return [
        make_route("look", "idempotent", **shared),
        make_route("book", "non_idempotent", **shared),
        make_route("chat", "streaming", **chat),
        make_route("brief", "streaming", **{**stream, **shared}),
    ]


def make_document(routes=None, *, keys=(KEY,), **limits):
    document = make_configuration(5, routes or make_routes(), keys)
    document["limits"] |= {"header-timeout-ms": 4000, "idle-timeout-ms": 4000} | limits
    return document


def remove_services():
    document = make_document(make_routes(service="elsewhere"))
    document["services"] = [{"name": "elsewhere", "max-connections": 50}]
    return document


CHANGES = {
    "routes_removed": make_document([make_route("other", "idempotent")]),
    "another_service": make_document(make_routes(service="elsewhere")),
    "services_removed": remove_services(),
    "shorter_timeouts": make_document(make_routes(**{"timeout-ms": 50})),
    "one_attempt": make_document(make_routes(**{"max-attempts": 1})),
    "key_withdrawn": make_document(keys=["another"]),
    "short_idle_time": make_document(**{"idle-timeout-ms": 50}),
    "short_header_time": make_document(**{"header-timeout-ms": 50}),
    "short_heads": make_document(**{"max-header-bytes": 64}),
    "short_bodies": make_document(**{"max-body-bytes": 100}),
}


class Fleet:
    """A host before one server of each service, and a caller."""

    def __init__(self):
        self.world = World()
        self.world.store.write("config", "main", make_document() | {"version": 4})
        self.servers = [
            self.world.add_server("p1"),
            self.world.add_server("e1", "engines"),
        ]
        for server in self.servers:
            server.pause_s = PAUSE_S
        self.host = self.world.add_host("h1")
        wait_until(lambda: len(self.host.list_servers()) == 2)

    def change(self, name):
        self.world.store.write("config", "main", CHANGES[name])
        wait_until(lambda: self.host.get_version() == 5)

    def spawn(self, path):
        return gevent.spawn(
            self.host.call,
            path,
            headers=HEADERS,
            wait_ms=WAIT_MS,
            body=b"x" * BODY_BYTES,
        )

    def set_faults(self, fault):
        for server in self.servers:
            server.faults = [fault]

    def hold(self, owner, name):
        """Let callers of a function wait; return what counts them and lets them go."""
        original = getattr(owner, name)
        waiting, released = [], Event()

        def wait(*arguments):
            waiting.append(True)
            released.wait()
            return original(*arguments)

        setattr(owner, name, wait)
        return waiting, released


@pytest.fixture
def fleet():
    created = Fleet()
    yield created
    created.world.stop()


def is_whole(reply):
    if (reply.status, reply.complete) != (200, True):
        return False
    ids = list_event_ids(reply.body)
    return reply.body.startswith(b"done by") or ids == [*range(1, EVENTS + 1)]


def list_lost(calls):
    replies = {path: call.get(timeout=WAIT_MS / 1000) for path, call in calls.items()}
    return {path: reply for path, reply in replies.items() if not is_whole(reply)}


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("place", ["_gate.admit", "_pool.open"])
def test_a_request_that_waits_for_a_permission_or_connection(fleet, change, place):
    owner, _, name = place.partition(".")
    waiting, released = fleet.hold(getattr(fleet.host.gateway, owner), name)
    calls = {path: fleet.spawn(path) for path in PATHS}
    wait_until(lambda: len(waiting) == len(PATHS))
    fleet.change(change)
    released.set()
    assert list_lost(calls) == {}


@pytest.mark.parametrize("change", CHANGES)
def test_a_request_that_waits_for_a_server(fleet, change):
    for server in fleet.servers:
        server.retry_after = str(RETRY_AFTER_S)
    calls = {path: fleet.spawn(path) for path in PATHS}
    listener = fleet.host.gateway._caller_listener
    wait_until(lambda: all(server.arrivals for server in fleet.servers))
    wait_until(lambda: listener.count_busy() == len(PATHS))
    gevent.sleep(0.1)
    for server in fleet.servers:
        server.retry_after = None
    fleet.change(change)
    assert not any(call.ready() for call in calls.values())
    assert list_lost(calls) == {}


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize(
    "fault", [Fault.PAUSE, Fault.PAUSE_IN_HEAD, Fault.PAUSE_IN_BODY]
)
def test_a_request_whose_answer_is_due(fleet, change, fault):
    for server in fleet.servers:
        server.faults = [fault] * 2
    calls = {path: fleet.spawn(path) for path in PATHS}
    wait_until(lambda: all(len(server.runs) == 2 for server in fleet.servers))
    fleet.change(change)
    assert not any(call.ready() for call in calls.values())
    assert list_lost(calls) == {}


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("first", [1, 100, -1000])
def test_a_request_that_has_arrived_in_part(fleet, change, first):
    """It is served or refused, with a whole answer."""
    head = (
        f"POST /look/1 HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        "X-Rosemarystream-Attempt-Id: part\r\n"
        f"X-Rosemarystream-Deadline-Ms: {WAIT_MS}\r\n"
        f"Content-Length: {BODY_BYTES}\r\n\r\n"
    )
    data = head.encode() + b"x" * BODY_BYTES
    caller = Caller(fleet.host.ip)
    caller.socket.sendall(data[:first])
    gevent.sleep(0.05)
    fleet.change(change)
    caller.socket.sendall(data[first:])
    reply = caller.read()
    caller.close()
    assert reply.complete, reply
    assert is_whole(reply) or reply.status in REFUSALS
    assert is_whole(reply) or not fleet.servers[0].runs


@pytest.mark.parametrize("change", CHANGES)
def test_a_request_on_a_connection_that_was_idle(fleet, change):
    """One that the new idle time ends has not been read."""
    caller = Caller(fleet.host.ip)
    assert is_whole(caller.call("/look/1"))
    fleet.change(change)
    reply = caller.call("/look/1", body=b"x" * BODY_BYTES)
    caller.close()
    assert reply.complete, reply
    assert is_whole(reply) or reply.status in REFUSALS


@pytest.mark.parametrize("change", CHANGES)
def test_a_request_that_waits_for_the_first_configuration(change):
    world = World()
    world.store.remove("config", "main")
    world.add_server("p1")
    host = world.add_host("h1", wait=False)
    call = gevent.spawn(host.call, "/look/1", wait_ms=WAIT_MS, body=b"x" * BODY_BYTES)
    wait_until(lambda: host.gateway._caller_listener.count_busy())
    world.store.write("config", "main", CHANGES[change])
    reply = call.get(timeout=WAIT_MS / 1000)
    world.stop()
    assert reply.complete, reply
    assert is_whole(reply) or reply.status in REFUSALS
