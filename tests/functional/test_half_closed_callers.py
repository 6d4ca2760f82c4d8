"""Callers that close their sending side once their request is whole (half-close)."""

import gevent
import pytest
from gevent import socket

from standins.backend_server import EVENTS, Fault
from tests.lib.entry_world import Caller, World, list_event_ids, wait_until

STREAM_HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:900,b:100"),
)
# Longer than it takes to tell a caller that has left from one that still reads.
WORK_S = 0.8
# Time in which a server ends the work for a caller that has left, in seconds.
CANCELLED_WITHIN_S = 0.5
PATHS = ("/look/1", "/book/1", "/chat/1", "/brief/1")


@pytest.fixture
def world():
    created = World()
    for name in ("p1", "p2"):
        created.add_server(name, "plain", work_s=0.01)
        created.add_server(f"e{name}", "engines", work_s=0.01)
    created.add_host("h1")
    wait_until(lambda: len(created.hosts["h1"].list_servers()) == 4)
    yield created
    created.stop()


@pytest.fixture
def caller(world):
    created = Caller(world.hosts["h1"].ip)
    yield created
    created.close()


def send_and_half_close(caller, path, **changes):
    caller.send(path, headers=STREAM_HEADERS, **changes)
    caller.socket.shutdown(socket.SHUT_WR)


def list_runs(world):
    return [run for server in world.servers.values() for run in server.runs]


@pytest.mark.parametrize("work_s", [0.08, WORK_S])
@pytest.mark.parametrize("path", PATHS)
def test_a_caller_that_closes_its_sending_side_gets_its_answer(
    world, caller, path, work_s
):
    for server in world.servers.values():
        server.work_s = work_s / EVENTS if path in PATHS[2:] else work_s
    send_and_half_close(caller, path)
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True)
    # A repeatable request may be sent to a second server while the first is slow.
    assert len(list_runs(world)) == 1 or path == "/look/1"
    if path in PATHS[2:]:
        assert list_event_ids(reply.body) == [*range(1, EVENTS + 1)]


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/none/1", {}, 404),
        ("/look/1", {"key": "unknown"}, 401),
        ("/look/1", {"wait_ms": 300}, 504),
        ("/book/1", {"wait_ms": 300}, 504),
        ("/brief/1", {"wait_ms": 300}, 504),
    ],
)
def test_a_caller_that_closes_its_sending_side_gets_its_refusal(
    world, caller, path, changes, status
):
    for server in world.servers.values():
        server.faults[:] = [Fault.HANG] * 4
    send_and_half_close(caller, path, **changes)
    reply = caller.read()
    assert (reply.status, reply.complete) == (status, True)


def test_a_caller_that_closes_its_sending_side_waits_for_a_server(world, caller):
    for server in world.servers.values():
        server.retry_after = "0.6"
    assert Caller(world.hosts["h1"].ip).call("/look/1").status == 503
    send_and_half_close(caller, "/look/1")
    gevent.sleep(0.3)
    for server in world.servers.values():
        server.retry_after = None
    assert caller.read().status == 200


def test_each_of_two_requests_before_the_close_is_answered(caller):
    caller.send("/look/1")
    send_and_half_close(caller, "/look/2")
    received = b"".join(iter(lambda: caller.socket.recv(65_536), b""))
    assert received.count(b"HTTP/1.1 200") == 2


@pytest.mark.parametrize("path", PATHS)
def test_work_is_cancelled_for_a_caller_that_closes_both_sides(world, path):
    for server in world.servers.values():
        server.faults[:] = [Fault.HANG]
    caller = Caller(world.hosts["h1"].ip)
    caller.send(path, headers=STREAM_HEADERS)
    wait_until(lambda: list_runs(world))
    caller.close()
    wait_until(lambda: list_runs(world)[0].cancelled, seconds=CANCELLED_WITHIN_S)


@pytest.mark.parametrize("path", PATHS)
def test_work_is_cancelled_for_a_caller_that_closes_one_side_after_the_other(
    world, path
):
    for server in world.servers.values():
        server.faults[:] = [Fault.HANG]
    caller = Caller(world.hosts["h1"].ip)
    send_and_half_close(caller, path)
    wait_until(lambda: list_runs(world))
    gevent.sleep(0.2)
    caller.close()
    wait_until(lambda: list_runs(world)[0].cancelled, seconds=CANCELLED_WITHIN_S)


@pytest.mark.parametrize("path", PATHS[2:])
def test_a_stream_is_cancelled_for_a_caller_that_closes_both_sides(world, path):
    for server in world.servers.values():
        server.work_s = 0.1
    caller = Caller(world.hosts["h1"].ip)
    caller.send(path, headers=STREAM_HEADERS)
    assert caller.socket.recv(1)
    caller.close()
    wait_until(lambda: list_runs(world)[0].cancelled, seconds=CANCELLED_WITHIN_S)


def test_callers_that_close_their_sending_side_are_counted(world, caller):
    for server in world.servers.values():
        server.work_s = WORK_S
    send_and_half_close(caller, "/look/1")
    assert caller.read().status == 200
    metrics = world.hosts["h1"].gateway._metrics.format_text().decode()
    assert "rosemarystream_callers_half_closed_total 1.0" in metrics
    assert 'outcome="gone"' not in metrics
