"""Callers that close one side of their connection, or send late, on further paths."""

import time

import gevent
import h11
import msgspec
import pytest
from gevent import socket

from rosemarystream._internal.models.gossip import PullRequest
from rosemarystream._internal.utils.frames import receive_frame, send_frame
from standins import backend_server
from standins.backend_server import EVENTS, Fault
from tests.lib.entry_world import (
    HOST,
    KEY,
    METRICS_PORT,
    PEER_PORT,
    READY_PORT,
    ROUTES,
    Caller,
    World,
    list_event_ids,
    make_configuration,
    wait_until,
)

HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:900,b:100"),
)
WORK_S = 0.5
# Pauses that let a host read what was sent, and one that is past its idle time.
SHORT_S = 0.05
LATE_S = 0.3
IDLE_MS = 300
# A host ends what is in progress 2.6 s after it was told to stop; these last longer.
LONG_MS = 8000
LONG_RETRY_AFTER = "6"
# Larger than the buffers of a connection.
LONG_BODY = b"b" * 8_000_000
LONG_ANSWER = b"a" * 3_000_000
# Together more than a host reads of one request of the largest body allowed.
MANY = 400
SHORT_BODY = b"b" * 500
MAX_SHORT_BODY = 1000
# Time in which a server ends the work for a caller that has left, in seconds.
CANCELLED_WITHIN_S = 0.5
PATHS = ("/look/1", "/book/1", "/chat/1", "/brief/1")


@pytest.fixture
def world():
    created = World()
    for name in ("p1", "p2"):
        created.add_server(name, "plain", work_s=WORK_S)
        created.add_server(f"e{name}", "engines", work_s=WORK_S / EVENTS)
    created.add_host("h1")
    wait_until(lambda: len(created.hosts["h1"].list_servers()) == 4)
    yield created
    created.stop()


@pytest.fixture
def caller(world):
    created = Caller(world.hosts["h1"].ip)
    yield created
    created.close()


def configure(world, version=4, routes=None, **limits):
    document = make_configuration(version, routes)
    document["limits"] |= limits
    world.store.write("config", "main", document)
    wait_until(lambda: world.hosts["h1"].get_version() == version)


def make_head(path, *lines, method="POST", version="1.1"):
    fixed = (
        f"{method} {path} HTTP/{version}",
        f"Host: {HOST}",
        "X-Rosemarystream-Attempt-Id: raw-1",
        "X-Rosemarystream-Deadline-Ms: 4000",
        f"Api-Key: {KEY}",
    )
    extra = [f"{name}: {value}" for name, value in HEADERS]
    return "\r\n".join([*fixed, *extra, *lines]).encode() + b"\r\n\r\n"


def half_close(caller):
    caller.socket.shutdown(socket.SHUT_WR)


def receive_all(caller):
    return b"".join(iter(lambda: caller.socket.recv(65_536), b""))


def list_runs(world):
    return [run for server in world.servers.values() for run in server.runs]


@pytest.mark.parametrize("path", PATHS)
def test_half_closed_caller_with_a_request_in_chunks(world, caller, path):
    caller.socket.sendall(make_head(path, "Transfer-Encoding: chunked"))
    gevent.sleep(SHORT_S)
    caller.socket.sendall(b"3\r\nabc\r\n")
    gevent.sleep(SHORT_S)
    caller.socket.sendall(b"0\r\n\r\n")
    half_close(caller)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)
    assert list_runs(world)[0].body == b"abc"


def test_half_closed_caller_that_waits_for_permission_to_send(caller):
    head = make_head("/book/1", "Content-Length: 3", "Expect: 100-continue")
    caller.socket.sendall(head)
    assert caller.socket.recv(100) == b"HTTP/1.1 100 \r\n\r\n"
    caller.socket.sendall(b"abc")
    half_close(caller)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)


def test_half_closed_caller_that_does_not_wait_for_permission(caller):
    head = make_head("/book/1", "Content-Length: 3", "Expect: 100-continue")
    caller.socket.sendall(head + b"abc")
    half_close(caller)
    received = receive_all(caller)
    assert b"HTTP/1.1 200" in received
    assert received.endswith((b"done by p1", b"done by p2"))


@pytest.mark.parametrize(
    ("path", "status"),
    [("/chat/1", b"200"), ("/brief/1", b"200"), ("/none/1", b"404")],
)
def test_half_closed_caller_of_a_head_request(caller, path, status):
    caller.socket.sendall(make_head(path, method="HEAD"))
    half_close(caller)
    received = receive_all(caller)
    assert received.startswith(b"HTTP/1.1 %s \r\n" % status)
    assert received.endswith(b"\r\n\r\n")
    assert received.count(b"\r\n\r\n") == 1


@pytest.mark.parametrize("path", PATHS)
def test_half_closed_caller_of_http_1_0(caller, path):
    caller.socket.sendall(make_head(path, "Content-Length: 0", version="1.0"))
    half_close(caller)
    received = receive_all(caller)
    assert received.startswith(b"HTTP/1.1 200 \r\n")
    if path in PATHS[2:]:
        assert list_event_ids(received) == [*range(1, EVENTS + 1)]


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_stream_that_is_cut_does_not_look_complete(world, caller, version):
    for server in world.servers.values():
        server.faults = [Fault.CUT] * 4
    caller.socket.sendall(make_head("/brief/1", "Content-Length: 0", version=version))
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, False)


def test_half_closed_caller_with_a_long_body(world, caller):
    configure(world, **{"max-body-bytes": 2 * len(LONG_BODY)})
    caller.send("/book/1", body=LONG_BODY)
    half_close(caller)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)
    assert len(list_runs(world)[0].body) == len(LONG_BODY)


@pytest.mark.parametrize("path", ["/book/1", "/brief/1"])
def test_half_closed_caller_that_reads_late(world, path):
    caller = Caller(world.hosts["h1"].ip)
    caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    for server in world.servers.values():
        server.odd_headers = [(b"x-long", b"l" * 3000)]
    caller.send(path, headers=HEADERS)
    half_close(caller)
    gevent.sleep(WORK_S + LATE_S)
    reply = caller.read()
    caller.close()
    assert (reply.status, reply.complete) == (200, True)


@pytest.mark.parametrize("count", [100_001, 900_000, len(LONG_BODY)])
@pytest.mark.parametrize("half_closes", [False, True])
def test_a_refusal_before_the_body_is_read(caller, count, half_closes):
    try:
        caller.send("/book/1", body=LONG_BODY[:count])
        if half_closes:
            half_close(caller)
    except OSError:
        pass
    reply = caller.read()
    assert (reply.status, reply.complete) == (413, True)


def test_three_requests_at_once_and_the_last_malformed(caller):
    caller.send("/book/1")
    caller.send("/look/2")
    caller.socket.sendall(b"nonsense\r\n\r\n")
    half_close(caller)
    received = receive_all(caller)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.count(b"HTTP/1.1 400") == 1


@pytest.mark.parametrize("path", PATHS)
def test_half_closed_caller_beside_a_change_of_the_configuration(world, caller, path):
    for server in world.servers.values():
        server.faults = [Fault.PAUSE] * 4
        server.pause_s = 0.9
    caller.send(path, headers=HEADERS, wait_ms=4000)
    half_close(caller)
    gevent.sleep(SHORT_S)
    configure(world, **{"idle-timeout-ms": 50, "header-timeout-ms": 50})
    document = make_configuration(5, routes=[], keys=())
    world.store.write("config", "main", document)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)


def leave(world):
    gevent.spawn(world.hosts["h1"].gateway.leave)
    gevent.sleep(SHORT_S)


def allow_long_requests(world):
    routes = [route | {"timeout-ms": LONG_MS} for route in ROUTES]
    configure(world, routes=routes)


@pytest.mark.parametrize("path", PATHS)
def test_half_closed_caller_at_the_end_of_a_planned_stop(world, caller, path):
    allow_long_requests(world)
    for server in world.servers.values():
        server.faults = [Fault.HANG] * 4
    caller.send(path, headers=HEADERS, wait_ms=LONG_MS)
    half_close(caller)
    leave(world)
    reply = caller.read()
    assert (reply.status, reply.complete) == (502, True)


@pytest.mark.parametrize("path", PATHS)
def test_half_closed_caller_waits_for_a_server_at_a_planned_stop(world, caller, path):
    allow_long_requests(world)
    for server in world.servers.values():
        server.retry_after = LONG_RETRY_AFTER
    caller.send(path, headers=HEADERS, wait_ms=LONG_MS)
    half_close(caller)
    leave(world)
    reply = caller.read()
    assert (reply.status, reply.complete) == (503, True)


@pytest.mark.parametrize("half_closes", [False, True])
def test_each_of_two_requests_sent_together_is_answered_at_a_planned_stop(
    world, caller, half_closes
):
    leave(world)
    caller.send("/look/1")
    caller.send("/look/2")
    if half_closes:
        half_close(caller)
    received = receive_all(caller)
    assert received.count(b"HTTP/1.1 200") == 2


def test_each_of_two_requests_sent_together_is_refused_if_no_server_is_left(
    world, caller
):
    for server in world.servers.values():
        server.stop()
        world.store.remove("servers", server.name)
    wait_until(lambda: not world.hosts["h1"].list_servers())
    caller.send("/book/1")
    caller.send("/book/2")
    half_close(caller)
    received = receive_all(caller)
    assert received.count(b"HTTP/1.1 503") == 2


def send_many(caller):
    for _ in range(MANY):
        caller.send("/book/1", body=SHORT_BODY)
    half_close(caller)


def test_many_short_requests_at_once_are_each_answered(world, caller):
    for server in world.servers.values():
        server.work_s = 0.0
        server.pause_s = LATE_S
        server.faults = [Fault.PAUSE]
    configure(world, **{"max-body-bytes": MAX_SHORT_BODY})
    gevent.spawn(send_many, caller)
    received = receive_all(caller)
    assert received.count(b"HTTP/1.1 200") == MANY


def answer_at_length(connection, protocol, status, headers, body):
    framed = [*headers, (b"content-length", b"%d" % len(LONG_ANSWER))]
    data = protocol.send(h11.Response(status_code=status, headers=framed))
    data += protocol.send(h11.Data(data=LONG_ANSWER))
    connection.sendall(data + protocol.send(h11.EndOfMessage()))
    return True


@pytest.mark.parametrize("half_closes", [False, True])
@pytest.mark.parametrize("leaving", [False, True])
def test_a_long_answer_that_is_read_late(
    monkeypatch, world, caller, leaving, half_closes
):
    monkeypatch.setattr(backend_server, "_answer", answer_at_length)
    if leaving:
        leave(world)
    caller.send("/book/1")
    if half_closes:
        half_close(caller)
    gevent.sleep(WORK_S + LATE_S)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)


@pytest.mark.parametrize("leaving", [False, True])
def test_a_long_answer_whose_caller_sends_its_next_request_meanwhile(
    monkeypatch, world, caller, leaving
):
    monkeypatch.setattr(backend_server, "_answer", answer_at_length)
    if leaving:
        leave(world)
    caller.send("/book/1")
    gevent.sleep(WORK_S + LATE_S)
    caller.send("/book/2")
    gevent.sleep(SHORT_S)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)


@pytest.mark.parametrize("path", PATHS)
def test_a_server_that_closes_its_sending_side_after_each_answer(
    monkeypatch, world, caller, path
):
    serve = backend_server.BackendServer._serve_next

    def serve_and_half_close(self, connection):
        goes_on = serve(self, connection)
        connection.shutdown(socket.SHUT_WR)
        return goes_on

    monkeypatch.setattr(
        backend_server.BackendServer, "_serve_next", serve_and_half_close
    )
    for _ in range(3):
        reply = caller.call(path, headers=HEADERS)
        assert (reply.status, reply.complete) == (200, True)


@pytest.mark.parametrize("port", [READY_PORT, METRICS_PORT])
def test_half_closed_caller_of_a_listener_for_operators(world, port):
    caller = Caller(world.hosts["h1"].ip, port)
    caller.send("/v1/state", method="GET")
    half_close(caller)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)
    caller.close()


def test_a_pull_whose_sender_closes_its_sending_side(world):
    ip = world.hosts["h1"].ip
    connection = socket.create_connection((ip, PEER_PORT), timeout=3)
    request = PullRequest(0, None)
    send_frame(connection, msgspec.msgpack.encode(request))
    connection.shutdown(socket.SHUT_WR)
    assert receive_frame(connection)
    connection.close()


def test_half_closed_caller_leaves_long_after(world):
    for server in world.servers.values():
        server.faults = [Fault.HANG] * 4
    caller = Caller(world.hosts["h1"].ip)
    caller.send("/book/1", wait_ms=4000)
    half_close(caller)
    wait_until(lambda: list_runs(world))
    gevent.sleep(0.9)
    caller.close()
    wait_until(lambda: list_runs(world)[0].cancelled, seconds=CANCELLED_WITHIN_S)


def test_a_request_that_arrives_in_time_while_the_host_is_late(world, caller):
    configure(world, **{"idle-timeout-ms": IDLE_MS})
    assert caller.call("/book/1").status == 200
    gevent.sleep(IDLE_MS / 1000 - 0.1)
    caller.send("/book/2")
    # The event loop of this process, in which the host runs too.
    time.sleep(LATE_S)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)


@pytest.mark.parametrize("part", ["head", "body"])
def test_the_rest_of_a_request_arrives_in_time_while_the_host_is_late(
    world, caller, part
):
    configure(world, **{"idle-timeout-ms": IDLE_MS, "header-timeout-ms": IDLE_MS})
    data = make_head("/book/1", "Content-Length: 3") + b"abc"
    cut = 30 if part == "head" else -2
    caller.socket.sendall(data[:cut])
    gevent.sleep(IDLE_MS / 1000 - 0.1)
    caller.socket.sendall(data[cut:])
    time.sleep(LATE_S)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)
