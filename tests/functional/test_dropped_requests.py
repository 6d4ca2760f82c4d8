"""Whole requests that are read, or have arrived, when their connection ends."""

import signal
import time

import gevent
import pytest
from gevent import monkey

from rosemarystream._internal.exceptions import Execution
from rosemarystream._internal.gateway import caller_connection
from rosemarystream._internal.gateway.listener import Listener
from rosemarystream._internal.models.endings import EndingCause
from rosemarystream._internal.models.route import CallerLimits
from standins.backend_server import Fault
from tests.functional.test_request_endings import (
    UNDER_WAY_S,
    caller,
    end_requests,
    entries,
    frame,
    host,
    read_counts,
    send,
    world,
)
from tests.lib.entry_world import Caller, World, wait_until
from tests.lib.host_process import make_single_host

__all__ = ["caller", "entries", "host", "world"]

IDLE_TIMEOUT_S = 0.2
KEPT_CONNECTIONS = 10
# Longer than the idle time of the configuration.
PAUSE_S = 1.8


def send_together(caller, *paths):
    requests = [frame(path, f"together-{n}") for n, path in enumerate(paths)]
    caller.socket.sendall(b"".join(requests))


def test_two_requests_sent_together_are_both_answered_by_a_host_that_stops(
    world, host, caller
):
    host.gateway._caller_listener.leaving = True
    send_together(caller, "/book/1", "/look/1")
    data = b""
    while piece := caller.socket.recv(65_536):
        data += piece
    assert data.count(b"HTTP/1.1 200") == 2
    assert data.count(b"connection: close") == 1
    assert read_counts(host) == {EndingCause.SERVER_ANSWERED: 2}


def test_a_request_sent_during_another_one_is_answered_by_a_host_that_stops(
    world, host, caller
):
    host.gateway._caller_listener.leaving = True
    world.servers["p1"].work_s = 2 * UNDER_WAY_S
    send_together(caller, "/book/1")
    gevent.sleep(UNDER_WAY_S)
    send_together(caller, "/look/1")
    data = b""
    while piece := caller.socket.recv(65_536):
        data += piece
    assert data.count(b"HTTP/1.1 200") == 2
    assert read_counts(host) == {EndingCause.SERVER_ANSWERED: 2}


def test_a_request_behind_a_stream_that_breaks_off_is_counted(
    world, host, caller, entries
):
    world.servers["e1"].faults = [Fault.CUT]
    send_together(caller, "/brief/1", "/book/1", "/look/1")
    assert not caller.read().complete
    assert read_counts(host) == {
        EndingCause.SERVER_BROKE_OFF: 1,
        EndingCause.CONNECTION_CLOSED: 2,
    }
    assert [entry.request for entry in entries] == [f"together-{n}" for n in range(3)]
    assert [entry.connection_requests for entry in entries] == [1, 2, 3]
    assert not world.servers["p1"].runs


def test_a_part_of_a_request_behind_a_stream_that_breaks_off_is_not_counted(
    world, host, caller
):
    world.servers["e1"].faults = [Fault.CUT]
    caller.socket.sendall(frame("/brief/1", "r1") + frame("/book/1", "r2")[:-2])
    assert not caller.read().complete
    assert read_counts(host) == {EndingCause.SERVER_BROKE_OFF: 1}


def test_an_error_between_reading_and_handling_is_answered(
    world, host, caller, monkeypatch
):
    def fail(**arguments):
        raise OSError("no watcher")

    monkeypatch.setattr(caller_connection, "DisconnectWatch", fail)
    send(caller, "/book/1")
    reply = caller.read()
    assert (reply.status, reply.complete) == (500, True)
    assert Execution.NOT_RUN.encode() in reply.body
    monkeypatch.undo()
    assert not world.servers["p1"].runs
    assert read_counts(host) == {EndingCause.HOST_ANSWERED: 1}


def test_a_request_that_arrives_as_the_host_ends_is_refused(host, caller):
    gevent.sleep(UNDER_WAY_S)
    # Sent without giving way to the host, which has not read it when it ends.
    caller.socket._sock.send(frame("/book/1", "r1"))
    end_requests(host)
    reply = caller.read()
    assert (reply.status, reply.complete) == (503, True)


def test_a_request_that_arrives_while_the_host_is_paused_is_answered():
    listener = Listener(
        address="127.0.0.1:0",
        handler=lambda request, answer: answer.send_whole(200, [], b""),
        get_limits=lambda: CallerLimits(idle_timeout_s=IDLE_TIMEOUT_S),
        record_error=pytest.fail,
        clock=time.monotonic,
    )
    listener.start()
    caller = Caller(*listener._server.address)
    try:
        gevent.sleep(IDLE_TIMEOUT_S / 2)
        caller.socket._sock.send(frame("/book/1", "r1"))
        # The whole process pauses, as under SIGSTOP.
        monkey.get_original("time", "sleep")(2 * IDLE_TIMEOUT_S)
        reply = caller.read()
        assert (reply.status, reply.complete) == (200, True)
    finally:
        caller.close()
        listener.stop()


def test_requests_that_arrive_while_the_process_is_stopped_are_answered(tmp_path):
    created = World()
    created.add_server("p1")
    process = make_single_host(created, tmp_path)
    process.start()
    try:
        wait_until(process.is_ready, seconds=15.0)
        callers = [Caller(process.ip) for _ in range(KEPT_CONNECTIONS)]
        assert all(caller.call("/look/1").status == 200 for caller in callers)
        process.send(signal.SIGSTOP)
        for caller in callers:
            caller.send("/look/1", wait_ms=5000)
        gevent.sleep(PAUSE_S)
        process.send(signal.SIGCONT)
        statuses = [caller.read().status for caller in callers]
        assert 0 not in statuses, statuses
    finally:
        process.stop()
        created.stop()
