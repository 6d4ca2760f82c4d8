"""Requests that sound servers would have answered, and that are ended all the same."""

import gevent
import pytest
from gevent import socket

from standins.backend_server import (
    ANOTHER_ANSWER,
    ERRORS,
    EVENTS,
    BackendServer,
    Error,
    Fault,
)
from tests.lib.entry_world import (
    KEY,
    SERVER_PORT,
    Caller,
    World,
    list_event_ids,
    make_configuration,
    make_route,
    wait_until,
)

# Longer than what a server is given, shorter than what the caller waits for.
PAUSE_S = 1.3
WAIT_MS = 4000
# Longer than an attempt may be silent, and shorter than the time after which a server
# whose window is closed counts as unreachable.
SHORT_PAUSE_S = 0.7
LONG_BODY = b"b" * 8_000_000
# Bytes that a server takes in before it reads, and between two short pauses.
RECEIVE_BYTES = 65_536
PART_BYTES = 1_000_000
LONG_EVENT = b"data: " + b"e" * 200_000 + b"\n\n"
LONG_EVENTS = 40
SHORT_IDLE_MS = 300
# Longer than what a host buffers of an answer.
LONG_FAILURE = b"f" * 300_000
STREAM = {"service": "engines", "sticky": True, "gap-aim-ms": 250}
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)
LIMITS = {"max-body-bytes": 2 * len(LONG_BODY)}


class LateReader(BackendServer):
    """A sound server that pauses before it reads a request, or while it reads one."""

    pauses_s = ()

    def _serve_next(self, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        pauses_s, self.pauses_s = self.pauses_s, ()
        reader = _PausedSocket(connection, pauses_s)
        return super()._serve_next(reader)


class _PausedSocket:
    """A socket that pauses before reading, and again after each part."""

    def __init__(self, connection, pauses_s):
        self._connection = connection
        self._pauses_s = [*pauses_s]
        self._received = PART_BYTES

    def __getattr__(self, name):
        return getattr(self._connection, name)

    def recv(self, size, *flags):
        if self._pauses_s and self._received >= PART_BYTES:
            gevent.sleep(self._pauses_s.pop(0))
            self._received = 0
        data = self._connection.recv(size, *flags)
        self._received += len(data)
        return data


class LateAnswerer(BackendServer):
    """A sound server that pauses within a late answer to an earlier request."""

    def _work(self, connection, protocol, run, fault, identity):
        if fault is Fault.LATE:
            connection.sendall(ANOTHER_ANSWER[:-2])
            gevent.sleep(PAUSE_S)
            connection.sendall(ANOTHER_ANSWER[-2:])
            fault = Fault.NONE
        return super()._work(connection, protocol, run, fault, identity)


class LongStreamer(BackendServer):
    """A sound server whose stream is longer than what sockets hold."""

    def _send_events(self, connection, protocol, run, fault):
        for number in range(1, LONG_EVENTS + 1):
            event = b"id: %d\n" % number + LONG_EVENT
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        return True


def write_configuration(world, version=4, **limits):
    shared = {"timeout-ms": WAIT_MS, "max-attempts": 2}
    routes = [
        make_route("look", "idempotent", **shared),
        make_route("book", "non_idempotent", **shared),
        make_route("chat", "streaming", resumable=True, **STREAM, **shared),
    ]
    document = make_configuration(version, routes)
    document["limits"] |= LIMITS | limits
    world.store.write("config", "main", document)


def add_server(world, kind, name, service="plain"):
    """Add a server of a kind to a world."""
    server = kind(
        name=name,
        service=service,
        address=(f"{world.net}.{next(world._ips)}", SERVER_PORT),
        events=service == "engines",
    )
    server.start()
    world.servers[name] = server
    world.store.write("servers", name, server.describe())
    return server


@pytest.fixture
def world():
    created = World()
    write_configuration(created)
    yield created
    created.stop()


def add_host(world):
    host = world.add_host("h1")
    wait_until(lambda: len(host.list_servers()) == len(world.servers))
    return host


def read_status(host, path, *, method, key):
    """Return the status of an answer without a body; 0 if there is no answer."""
    caller = Caller(host.ip)
    caller.send(path, method=method, key=key)
    line = caller.socket.recv(1024).partition(b"\r\n")[0]
    caller.close()
    return int(line.split()[1]) if line else 0


def use_up_retries(host, service="plain"):
    while host.gateway._router.take_retry(service):
        pass


def is_whole(reply):
    if reply.status != 200 or not reply.complete:
        return False
    ids = list_event_ids(reply.body)
    return reply.body.startswith(b"done by") or ids == [*range(1, EVENTS + 1)]


@pytest.fixture
def pair(world):
    """Two plain servers and two engines, with one list of faults for each two."""
    for name, service in [("p", "plain"), ("e", "engines")]:
        faults = []
        for number in (1, 2):
            world.add_server(f"{name}{number}", service).faults = faults
    return add_host(world)


@pytest.mark.parametrize("path", ["/look/1", "/chat/1"])
def test_a_paused_server_is_left_for_one_that_turns_the_request_away(world, pair, path):
    server = world.servers["p1" if path == "/look/1" else "e1"]
    server.faults += [Fault.PAUSE_IN_HEAD, Fault.TURN_AWAY]
    reply = pair.call(path, headers=HEADERS, wait_ms=WAIT_MS)
    assert is_whole(reply), reply


def test_a_paused_stream_is_cut_for_a_server_that_turns_the_request_away(world, pair):
    world.servers["e1"].faults += [Fault.PAUSE_IN_BODY, Fault.TURN_AWAY]
    reply = pair.call("/chat/1", headers=HEADERS, wait_ms=WAIT_MS)
    assert is_whole(reply), reply


@pytest.mark.parametrize(
    ("path", "fault"),
    [("/look/1", Fault.PAUSE_IN_HEAD), ("/chat/1", Fault.PAUSE_IN_BODY)],
)
def test_a_paused_server_is_left_for_one_that_cannot_be_reached(
    world, pair, path, fault
):
    names = ("p1", "p2") if path == "/look/1" else ("e1", "e2")
    first, second = (world.servers[name] for name in names)
    first.faults.append(fault)
    call = gevent.spawn(pair.call, path, headers=HEADERS, wait_ms=WAIT_MS)
    wait_until(lambda: first.runs or second.runs)
    (second if first.runs else first).stop()
    reply = call.get()
    assert is_whole(reply), reply


@pytest.mark.parametrize(
    ("path", "fault"),
    [("/look/1", Fault.PAUSE_IN_HEAD), ("/chat/1", Fault.PAUSE_IN_BODY)],
)
def test_a_paused_server_is_left_for_one_that_is_known_to_be_gone(
    world, pair, path, fault
):
    names = ("p1", "p2") if path == "/look/1" else ("e1", "e2")
    sound, gone = (world.servers[name] for name in names)
    gone.stop()
    router = pair.gateway._router
    for endpoint in router.replica.list_endpoints():
        if endpoint.name == gone.name:
            router.record_gone(endpoint)
    sound.faults.append(fault)
    reply = pair.call(path, headers=HEADERS, wait_ms=WAIT_MS)
    assert sound.runs
    assert is_whole(reply), reply


@pytest.mark.parametrize(
    ("path", "pauses_s"),
    [
        pytest.param("/look/1", (PAUSE_S,), id="one_pause-look"),
        pytest.param("/book/1", (PAUSE_S,), id="one_pause-book"),
        pytest.param("/look/1", (SHORT_PAUSE_S,) * 3, id="short_pauses-look"),
    ],
)
def test_a_request_ends_while_a_paused_server_reads_its_long_body(
    world, path, pauses_s
):
    server = add_server(world, LateReader, "p1")
    server.pauses_s = pauses_s
    host = add_host(world)
    use_up_retries(host)
    reply = host.call(path, body=LONG_BODY, wait_ms=WAIT_MS)
    assert is_whole(reply), reply
    assert [run.body == LONG_BODY for run in server.runs] == [True]


def test_a_pause_within_a_late_answer_costs_the_one_that_follows(world):
    add_server(world, LateAnswerer, "p1").faults = [Fault.NONE, Fault.LATE]
    host = add_host(world)
    assert is_whole(host.call("/look/1", wait_ms=WAIT_MS))
    use_up_retries(host)
    reply = host.call("/look/1", wait_ms=WAIT_MS)
    assert is_whole(reply), reply


def test_the_idle_time_ends_an_answer_that_its_caller_reads_late(world):
    """A new configuration shortens it; the caller has seconds left."""
    add_server(world, LongStreamer, "e1", "engines")
    host = add_host(world)
    write_configuration(world, version=5, **{"idle-timeout-ms": SHORT_IDLE_MS})
    wait_until(lambda: host.get_version() == 5)
    caller = Caller(host.ip)
    caller.send("/chat/1", headers=HEADERS, wait_ms=WAIT_MS)
    gevent.sleep(PAUSE_S)
    reply = caller.read()
    caller.close()
    assert reply.complete, (reply.status, len(reply.body))


def test_a_kept_connection_has_the_limits_of_an_earlier_configuration(world):
    world.add_server("p1")
    write_configuration(world, version=5, **{"max-body-bytes": 1000})
    host = add_host(world)
    wait_until(lambda: host.get_version() == 5)
    caller = Caller(host.ip)
    assert is_whole(caller.call("/look/1", wait_ms=WAIT_MS))
    write_configuration(world, version=6)
    wait_until(lambda: host.get_version() == 6)
    reply = caller.call("/look/1", body=b"b" * 2000, wait_ms=WAIT_MS)
    caller.close()
    assert is_whole(reply), reply


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        pytest.param("/none/1", KEY, 404, id="not_found"),
        pytest.param("/look/1", "unknown", 401, id="unauthorized"),
        pytest.param("/chat/1", KEY, 503, id="no_server"),
    ],
)
def test_a_head_request_that_is_refused_gets_no_answer(world, path, key, status):
    world.add_server("p1")
    host = add_host(world)
    assert read_status(host, path, method="HEAD", key=key) == status


def test_a_long_failure_is_given_up_without_another_attempt(world, monkeypatch):
    """The retries are used up, so that the failure is all that the caller can get."""
    monkeypatch.setitem(ERRORS, Fault.FAIL, Error(500, LONG_FAILURE))
    world.add_server("p1").faults = [Fault.FAIL]
    host = add_host(world)
    use_up_retries(host)
    reply = host.call("/look/1", wait_ms=WAIT_MS)
    assert (reply.status, reply.body) == (500, LONG_FAILURE)
