"""Framing, timeouts and connection reuse of requests to an entry host."""

import gevent
import pytest

from tests.lib.entry_world import HOST, Caller, World, wait_until


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_host("h1")
    wait_until(lambda: created.hosts["h1"].list_servers())
    yield created
    created.stop()


@pytest.fixture
def caller(world):
    created = Caller(world.hosts["h1"].ip)
    yield created
    created.close()


def make_head(*lines, length=None):
    head = [
        "POST /look/1 HTTP/1.1",
        f"Host: {HOST}",
        "X-Rosemarystream-Attempt-Id: raw",
        "Api-Key: key-of-w1",
        *lines,
    ]
    if length is not None:
        head.append(f"Content-Length: {length}")
    return "\r\n".join(head).encode() + b"\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (make_head("Transfer-Encoding: chunked", length=3) + b"abc", 400),
        (make_head("X-A : 1", length=0), 400),
        (make_head("X-A: 1\nX-B: 2", length=0), 400),
        (make_head("X-A: 1", "Content-Length: 2", length=3), 400),
        (make_head("X-A: " + "a" * 5000, length=0), 431),
        (make_head(length=200_000), 413),
        (make_head("X-A: 1"), 200),
        (make_head("Transfer-Encoding: chunked") + b"3\r\nabc\r\n0\r\n\r\n", 200),
    ],
)
def test_a_request_is_accepted_or_refused_by_its_framing(world, caller, data, status):
    if b"200000" in data:
        data += b"x" * 200_000
    caller.socket.sendall(data)
    assert caller.read().status == status
    runs = world.servers["p1"].runs
    assert len(runs) == (1 if status == 200 else 0)


def test_a_connection_carries_several_requests(world, caller):
    for number in range(5):
        assert caller.call("/look/1", body=b"x" * number).status == 200
    assert world.servers["p1"].runs[-1].body == b"xxxx"


def test_the_first_of_two_pipelined_requests_is_answered(world, caller):
    data = make_head(length=1) + b"a"
    caller.socket.sendall(data + data)
    assert caller.read().status == 200
    assert len(world.servers["p1"].runs) >= 1


def test_an_incomplete_head_times_out(caller):
    caller.socket.sendall(b"POST /look/1 HTTP/1.1\r\nHost:")
    with gevent.Timeout(1.5):
        assert caller.read().status == 408


def test_a_connection_stays_open_within_its_idle_timeout(caller):
    assert caller.call("/look/1").status == 200
    gevent.sleep(1.5 * 0.8)
    assert caller.call("/look/1").status == 200


def test_a_body_in_pieces_reaches_the_server_whole(world, caller):
    caller.socket.sendall(make_head(length=6) + b"ab")
    gevent.sleep(0.05)
    caller.socket.sendall(b"cd")
    gevent.sleep(0.05)
    caller.socket.sendall(b"ef")
    assert caller.read().status == 200
    assert world.servers["p1"].runs[0].body == b"abcdef"


def test_a_long_body_reaches_the_server_whole(world, caller):
    body = bytes(range(256)) * 300
    assert caller.call("/look/1", body=body).status == 200
    assert world.servers["p1"].runs[0].body == body
