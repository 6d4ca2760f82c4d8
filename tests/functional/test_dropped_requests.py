"""Whole requests that are read, or have arrived, when their connection ends."""

from rosemarystream._internal.exceptions import Execution
from rosemarystream._internal.gateway import listener as listener_module
from rosemarystream._internal.models.endings import EndingCause
from standins.backend_server import Fault
from tests.functional.test_request_endings import (
    caller,
    entries,
    frame,
    host,
    read_counts,
    send,
    world,
)

__all__ = ["caller", "entries", "host", "world"]

IDLE_TIMEOUT_S = 0.2


def send_together(caller, *paths):
    requests = [frame(path, f"together-{n}") for n, path in enumerate(paths)]
    caller.socket.sendall(b"".join(requests))


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

    monkeypatch.setattr(listener_module, "DisconnectWatch", fail)
    send(caller, "/book/1")
    reply = caller.read()
    assert (reply.status, reply.complete) == (500, True)
    assert Execution.NOT_RUN.encode() in reply.body
    monkeypatch.undo()
    assert not world.servers["p1"].runs
    assert read_counts(host) == {EndingCause.HOST_ANSWERED: 1}
