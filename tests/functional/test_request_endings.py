"""Each request that is read whole has one ending, counted by its cause."""

import gevent
import pytest

from rosemarystream._internal.gateway import request_ledger
from rosemarystream._internal.gateway.answer_relay import AnswerRelay
from rosemarystream._internal.models.endings import (
    AnswerProgress,
    EndingCause,
    ServerAct,
)
from rosemarystream._internal.models.log_entries.endings import RequestUnanswered
from standins.backend_server import Fault
from standins.link import reset_connection
from tests.lib.entry_world import (
    HOST,
    KEY,
    METRICS_PORT,
    Caller,
    World,
    get,
    make_configuration,
    wait_until,
)

HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)
SECRET = b"what only the caller and the server may know"
# Time in which a request reaches its server and the answer's first events come back.
UNDER_WAY_S = 0.2


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_server("e1", "engines")
    host = created.add_host("h1")
    wait_until(lambda: len(host.list_servers()) == 2)
    yield created
    created.stop()


@pytest.fixture
def host(world):
    return world.hosts["h1"]


@pytest.fixture
def entries(monkeypatch):
    """Log entries of the ledger."""
    written = []
    monkeypatch.setattr(
        request_ledger, "write_log_entry", lambda log, entry: written.append(entry)
    )
    return written


@pytest.fixture
def caller(host):
    created = Caller(host.ip)
    yield created
    created.close()


def send(caller, path, **changes):
    return caller.send(path, headers=HEADERS, body=SECRET, **changes)


def frame(path, request_id):
    """Return a request without a body, as bytes."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        f"X-Rosemarystream-Attempt-Id: {request_id}\r\n"
        "X-Rosemarystream-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def end_requests(host):
    host.gateway._caller_listener.end_requests()


def read_counts(host):
    """Return the endings so far by cause, but for causes without any."""
    wait_until(lambda: host.read_state()["requests"]["in_progress"] == 0)
    balance = host.read_state()["requests"]
    assert balance["difference"] == 0
    assert balance["begun"] == sum(balance["ended"].values())
    return {cause: count for cause, count in balance["ended"].items() if count}


def check_unanswered(host, entries, request_id, cause):
    """Check that a request ended without an answer; return its log entry."""
    assert read_counts(host) == {cause: 1}
    (entry,) = entries
    assert isinstance(entry, RequestUnanswered)
    assert (entry.request, entry.cause) == (request_id, cause)
    assert entry.connection_requests == 1
    assert entry.version_at_start == entry.version == 3
    assert SECRET.decode() not in repr(entry)
    name = "rosemarystream_requests_ended_without_answer_total"
    line = f'{name}{{cause="{cause}"}} 1.0'
    assert line in get(host.ip, METRICS_PORT, "/metrics").body.decode()
    return entry


@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/chat/1", "/brief/1"])
def test_an_answer_of_a_server_is_counted(host, caller, entries, path):
    assert caller.call(path, headers=HEADERS).complete
    assert read_counts(host) == {EndingCause.SERVER_ANSWERED: 1}
    assert not entries


def test_a_failure_of_a_server_that_is_passed_on_is_its_answer(world, host, caller):
    world.servers["p1"].faults = [Fault.FAIL]
    assert caller.call("/book/1").status == 500
    assert read_counts(host) == {EndingCause.SERVER_ANSWERED: 1}


def test_an_answer_of_the_host_is_counted(world, host, caller, entries):
    assert caller.call("/nowhere/1").status == 404
    world.servers["p1"].faults = [Fault.CLOSE]
    assert caller.call("/book/1").status == 502
    assert read_counts(host) == {EndingCause.HOST_ANSWERED: 2}
    assert not entries


def test_a_request_that_is_refused_unread_is_not_counted(host, caller, entries):
    caller.socket.sendall(b"no request\r\n\r\n")
    assert caller.read().status == 400
    assert read_counts(host) == {}
    assert not entries


def test_a_stream_that_its_server_breaks_off(world, host, caller, entries):
    world.servers["e1"].faults = [Fault.CUT]
    request_id = send(caller, "/brief/1")
    assert not caller.read().complete
    entry = check_unanswered(host, entries, request_id, EndingCause.SERVER_BROKE_OFF)
    assert entry.progress == AnswerProgress.PART
    assert (entry.server, entry.server_act) == ("e1", ServerAct.CLOSED)


def test_a_stream_whose_time_is_over(world, host, caller, entries):
    world.servers["e1"].pause_s = 3.0
    world.servers["e1"].faults = [Fault.PAUSE_IN_BODY]
    request_id = send(caller, "/brief/1", wait_ms=400)
    assert not caller.read().complete
    entry = check_unanswered(host, entries, request_id, EndingCause.TIMED_OUT)
    assert entry.progress == AnswerProgress.PART
    assert (entry.server, entry.server_act) == ("e1", ServerAct.UNRESPONSIVE)
    assert entry.quiet_ms > 0


def test_a_caller_that_leaves(world, host, caller, entries):
    world.servers["p1"].faults = [Fault.HANG]
    request_id = send(caller, "/book/1")
    wait_until(lambda: world.servers["p1"].runs)
    reset_connection(caller.socket)
    entry = check_unanswered(host, entries, request_id, EndingCause.CALLER_GONE)
    assert entry.progress == AnswerProgress.NOTHING
    assert (entry.server, entry.server_act) == ("p1", ServerAct.NO_ANSWER)


def test_a_stream_that_the_stop_ends(world, host, caller, entries):
    world.servers["e1"].faults = [Fault.TRICKLE]
    request_id = send(caller, "/brief/1")
    gevent.sleep(UNDER_WAY_S)
    end_requests(host)
    assert not caller.read().complete
    entry = check_unanswered(host, entries, request_id, EndingCause.HOST_STOPPED)
    assert (entry.server, entry.server_act) == ("e1", ServerAct.ANSWERING)


def test_a_stream_that_an_error_of_the_host_ends(host, caller, entries, monkeypatch):
    def fail(self):
        if self._answer.has_begun:
            raise KeyError(SECRET)

    monkeypatch.setattr(AnswerRelay, "_expect_progress", fail)
    request_id = send(caller, "/brief/1")
    assert not caller.read().complete
    check_unanswered(host, entries, request_id, EndingCause.ERROR)


def test_an_ending_is_logged_with_what_changed_meanwhile(world, host, caller, entries):
    caller.call("/book/1")
    world.servers["p1"].faults = [Fault.HANG]
    send(caller, "/book/1")
    wait_until(lambda: len(world.servers["p1"].runs) == 2)
    world.store.write("config", "main", make_configuration(4))
    wait_until(lambda: host.get_version() == 4)
    host.gateway._reload()
    host.gateway._times.record_stop()
    reset_connection(caller.socket)
    wait_until(lambda: entries)
    (entry,) = entries
    assert (entry.version_at_start, entry.version) == (3, 4)
    assert entry.connection_requests == 2
    ages = (entry.configuration_ms, entry.reload_ms, entry.stop_ms)
    assert all(0.0 <= age <= entry.ms for age in ages)
    assert entry.ms <= entry.connection_ms
