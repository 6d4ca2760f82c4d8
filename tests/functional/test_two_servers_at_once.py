"""Requests that two servers have at once, as the first of them is unresponsive."""

import itertools
import time

import gevent
import pytest

from standins.backend_server import EVENTS, BackendServer, Fault
from tests.lib.entry_world import (
    SERVER_PORT,
    Caller,
    World,
    list_event_ids,
    make_configuration,
    make_route,
    wait_until,
)

WAIT_MS = 4000
# The second server is asked after 0.6 s (plain) or 1 s (stream), and answers that much
# later; what happens between comes after the middle of that time.
SECOND_S = 1.0
FIRST_S = {"/look/1": 1.1, "/chat/1": 1.5}
# Time in which a server has to see that its work isn't wanted any more.
CANCEL_S = 0.5
# Time for which both servers may work once the second one has begun to answer.
BOTH_S = 0.4
HALF_ANSWER = "half_answer"
PATHS = [*FIRST_S]
SERVICES = {"/look/1": "plain", "/chat/1": "engines"}
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)


class LateServer(BackendServer):
    """A server that pauses for a time of a list, and may then have another fault."""

    pauses = ()
    late_faults = ()
    left_at = None

    def _pause(self, connection, run):
        self.pause_s = self.pauses.pop(0)
        return super()._pause(connection, run)

    def _work(self, connection, protocol, run, fault, identity):
        if fault is Fault.PAUSE:
            if self._pause(connection, run):
                return False
            fault = self.late_faults.pop(0)
            if fault is HALF_ANSWER:
                connection.sendall(_encode_half_answer(identity, self.path))
                # Works on until the host leaves it.
                while connection.recv(1000):
                    pass
                self.left_at = time.monotonic()
                return False
            if fault is Fault.TURN_AWAY:
                refused = [*identity, (b"x-rosemarystream-not-executed", b"1")]
                connection.sendall(_encode_refusal(refused))
                return False
        return super()._work(connection, protocol, run, fault, identity)


def _encode_half_answer(headers, path):
    """Return what completes no head, or no event of a stream."""
    if path == "/look/1":
        return b"HTTP/1.1 200 OK\r\nX-Half: "
    headers = [*headers, (b"x-rosemarystream-response-seal", b"seal")]
    headers.append((b"transfer-encoding", b"chunked"))
    headers.append((b"content-type", b"text/event-stream"))
    lines = [b"%s: %s" % pair for pair in headers]
    return b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", b"5", b"id: 1", b""])


def _encode_refusal(headers):
    lines = [b"%s: %s" % pair for pair in headers]
    head = [b"HTTP/1.1 503 Busy", b"content-length: 0", *lines, b"", b""]
    return b"\r\n".join(head)


def make_routes(**changes):
    shared = {"timeout-ms": WAIT_MS, "max-attempts": 2}
    stream = {"service": "engines", "sticky": True, "resumable": True}
    chat = {**shared, **stream, "gap-aim-ms": 100, **changes}
    return [
        make_route("look", "idempotent", **{**shared, **changes}),
        make_route("chat", "streaming", **chat),
    ]


class Fleet:
    """A host before two servers of a service.

    The server that is asked first gets the first fault, pause and late fault, the other
    one the second.
    """

    def __init__(self, path, *, first, second=Fault.PAUSE, late=Fault.NONE):
        self.path = path
        self.service = SERVICES[path]
        self.world = World()
        self._versions = itertools.count(4)
        self.write_configuration()
        self.faults = [first, second]
        pauses = [FIRST_S[path]] if first is Fault.PAUSE else []
        pauses.append(SECOND_S)
        late_faults = [late] if first is Fault.PAUSE else []
        late_faults.append(Fault.NONE)
        for number in (1, 2):
            server = self._add_server(f"s{number}")
            server.faults = self.faults
            server.pauses = pauses
            server.late_faults = late_faults
            server.path = path
        self.host = self.world.add_host("h1")
        wait_until(lambda: len(self.host.list_servers()) == 2)
        self.retries = self.count_retries()

    def _add_server(self, name):
        server = LateServer(
            name=name,
            service=self.service,
            address=(f"{self.world.net}.{next(self.world._ips)}", SERVER_PORT),
            events=self.service == "engines",
        )
        server.start()
        self.world.servers[name] = server
        self.world.store.write("servers", name, server.describe())
        return server

    def write_configuration(self, routes=None, **changes):
        document = make_configuration(next(self._versions), routes or make_routes())
        self.world.store.write("config", "main", document | changes)

    def set_pauses(self, *pauses_s):
        for server in self.world.servers.values():
            server.pauses[:] = pauses_s

    def call(self):
        return self.host.call(self.path, headers=HEADERS, wait_ms=WAIT_MS)

    def wait_for_both(self):
        """Wait until both servers have the request; return them in that order."""
        servers = self.world.servers.values()
        wait_until(lambda: any(server.runs for server in servers))
        first = next(server for server in servers if server.runs)
        second = next(server for server in servers if server is not first)
        wait_until(lambda: second.runs)
        return first, second

    def count_arrivals(self):
        return sum(server.arrivals for server in self.world.servers.values())

    def count_retries(self):
        gauges = self.host.gateway._router.list_gauges()[self.service]
        return gauges["retries_left"]

    def list_problems(self):
        """Return what the two attempts have left behind."""
        gevent.sleep(CANCEL_S)
        servers = self.world.servers.values()
        loads = [self.host.count_load(server.name) for server in servers]
        problems = [f"counts of load: {loads}"] if any(loads) else []
        spent = self.retries - self.count_retries()
        # A request adds less than one retry to the budget.
        if not self.count_arrivals() - 2 < spent <= self.count_arrivals() - 1:
            problems.append(f"{spent} retries, {self.count_arrivals()} arrivals")
        self.faults.clear()
        replies = [self.call() for _ in range(4)]
        problems += [f"then {reply}" for reply in replies if not is_whole(reply)]
        return problems


def is_whole(reply):
    if (reply.status, reply.complete) != (200, True):
        return False
    if b"text/event-stream" in reply.headers.values():
        return list_event_ids(reply.body) == [*range(1, EVENTS + 1)]
    return reply.body in (b"done by s1", b"done by s2")


@pytest.fixture
def make_fleet():
    fleets = []

    def make(path, **faults):
        fleets.append(Fleet(path, **faults))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.world.stop()


LATE_FAULTS = [
    Fault.TURN_AWAY,
    Fault.FAIL,
    Fault.CLOSE,
    Fault.GARBAGE,
    Fault.UNSEALED,
    Fault.HALF_HEAD,
]


@pytest.mark.parametrize(
    ("path", "late"),
    [*itertools.product(PATHS, LATE_FAULTS), ("/look/1", Fault.CUT)],
)
def test_a_late_failure_of_the_first_costs_no_answer_of_the_second(
    make_fleet, path, late
):
    fleet = make_fleet(path, first=Fault.PAUSE, late=late)
    reply = fleet.call()
    assert is_whole(reply), reply
    assert fleet.count_arrivals() == 2
    assert fleet.list_problems() == []


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("late", LATE_FAULTS)
@pytest.mark.parametrize("place", ["_gate.admit", "_pool.open"])
def test_a_server_that_was_being_prepared_is_asked_after_a_late_failure(
    make_fleet, path, late, place
):
    fleet = make_fleet(path, first=Fault.PAUSE, second=Fault.NONE, late=late)
    owner, _, name = place.partition(".")
    owner = getattr(fleet.host.gateway, owner)
    original = getattr(owner, name)

    def prepare(*arguments):
        if fleet.count_arrivals():
            gevent.sleep(SECOND_S)
        return original(*arguments)

    setattr(owner, name, prepare)
    reply = fleet.call()
    assert is_whole(reply), reply
    assert fleet.count_arrivals() == 2


# review/10: bytes that complete nothing kept a host with the first server for as long
# as it may be silent, while the second one had begun to answer.
@pytest.mark.parametrize("path", PATHS)
def test_the_first_is_left_when_the_second_begins_though_it_has_sent_a_little(
    make_fleet, path
):
    fleet = make_fleet(path, first=Fault.PAUSE, late=HALF_ANSWER)
    fleet.write_configuration(make_routes(**{"gap-aim-ms": 250}))
    wait_until(lambda: fleet.host.get_version() == 5)
    fleet.set_pauses(FIRST_S[path] - 0.3, 0.3)
    call = gevent.spawn(fleet.call)
    first, _ = fleet.wait_for_both()
    begins_at = time.monotonic() + 0.3
    assert is_whole(call.get())
    assert fleet.count_arrivals() == 2
    assert fleet.list_problems() == []
    assert first.left_at <= begins_at + BOTH_S


def test_a_stream_that_goes_on_and_is_cut_has_used_its_attempts(make_fleet):
    fleet = make_fleet("/chat/1", first=Fault.PAUSE, late=Fault.CUT)
    reply = fleet.call()
    assert (reply.status, reply.complete) == (200, False)
    assert list_event_ids(reply.body) == [1, 2, 3]
    assert fleet.list_problems() == []


@pytest.mark.parametrize("path", PATHS)
def test_a_crash_of_the_first_costs_no_answer_of_the_second(make_fleet, path):
    fleet = make_fleet(path, first=Fault.HANG)
    call = gevent.spawn(fleet.call)
    first, _ = fleet.wait_for_both()
    first.crash()
    reply = call.get()
    assert is_whole(reply), reply
    assert fleet.count_arrivals() == 2


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "second",
    [
        Fault.TURN_AWAY,
        Fault.FAIL,
        Fault.CLOSE,
        Fault.GARBAGE,
        Fault.UNSEALED,
        Fault.HALF_HEAD,
        Fault.HANG,
    ],
)
def test_a_failure_of_the_second_costs_no_answer_of_the_first(make_fleet, path, second):
    fleet = make_fleet(path, first=Fault.PAUSE, second=second)
    reply = fleet.call()
    assert is_whole(reply), reply
    assert fleet.list_problems() == []


@pytest.mark.parametrize("path", PATHS)
def test_the_work_of_the_server_that_is_left_is_cancelled(make_fleet, path):
    fleet = make_fleet(path, first=Fault.HANG)
    call = gevent.spawn(fleet.call)
    first, _ = fleet.wait_for_both()
    assert is_whole(call.get())
    assert fleet.list_problems() == []
    assert first.runs[0].cancelled


@pytest.mark.parametrize("path", PATHS)
def test_the_work_of_the_server_that_is_not_needed_is_cancelled(make_fleet, path):
    fleet = make_fleet(path, first=Fault.PAUSE, second=Fault.HANG)
    call = gevent.spawn(fleet.call)
    _, second = fleet.wait_for_both()
    assert is_whole(call.get())
    assert fleet.list_problems() == []
    assert second.runs[0].cancelled


@pytest.mark.parametrize("path", PATHS)
def test_a_caller_that_leaves_ends_the_work_of_both(make_fleet, path):
    fleet = make_fleet(path, first=Fault.HANG)
    caller = Caller(fleet.host.ip)
    caller.send(path, headers=HEADERS, wait_ms=WAIT_MS)
    servers = fleet.wait_for_both()
    caller.close()
    assert fleet.list_problems() == []
    assert [server.runs[0].cancelled for server in servers] == [[True], [True]]


@pytest.mark.parametrize("path", PATHS)
def test_a_stop_of_the_host_ends_the_work_of_both_with_an_answer(make_fleet, path):
    fleet = make_fleet(path, first=Fault.HANG)
    call = gevent.spawn(fleet.call)
    servers = fleet.wait_for_both()
    fleet.host.gateway._caller_listener.end_requests()
    reply = call.get()
    assert (reply.status, reply.complete) == (502, True), reply
    assert b'"execution":"unknown"' in reply.body
    assert fleet.list_problems() == []
    assert [server.runs[0].cancelled for server in servers] == [[True], [True]]


def remove_routes(fleet, _):
    fleet.write_configuration([make_route("other", "idempotent")])


def move_routes(fleet, _):
    fleet.write_configuration(make_routes(service="elsewhere"))


def shorten_timeouts(fleet, _):
    fleet.write_configuration(make_routes(**{"timeout-ms": 100}))


def withdraw_key(fleet, _):
    fleet.write_configuration(tenants=[{"name": "w1", "api-keys": ["another"]}])


def drain(fleet, server):
    fleet.world.store.write("servers", server.name, server.describe("draining", 2))


def remove(fleet, server):
    fleet.world.store.remove("servers", server.name)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "change", [remove_routes, move_routes, shorten_timeouts, withdraw_key]
)
def test_a_configuration_that_comes_between_costs_no_answer(make_fleet, path, change):
    fleet = make_fleet(path, first=Fault.HANG)
    call = gevent.spawn(fleet.call)
    fleet.wait_for_both()
    change(fleet, None)
    wait_until(lambda: fleet.host.get_version() == 5)
    assert not call.ready()
    reply = call.get()
    assert is_whole(reply), reply
    loads = [fleet.host.count_load(name) for name in ("s1", "s2")]
    assert loads == [0, 0]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("change", [drain, remove])
@pytest.mark.parametrize("place", [0, 1])
def test_a_server_that_goes_between_costs_no_answer(make_fleet, path, change, place):
    fleet = make_fleet(path, first=Fault.HANG)
    call = gevent.spawn(fleet.call)
    server = fleet.wait_for_both()[place]
    change(fleet, server)
    wait_until(lambda: server.name not in fleet.host.list_servers())
    assert not call.ready()
    reply = call.get()
    assert is_whole(reply), reply
    gevent.sleep(CANCEL_S)
    servers = fleet.host.read_state()["servers"]
    assert [x["requests"] for x in servers.values() if x["requests"]] == []
    assert fleet.count_arrivals() == 2
