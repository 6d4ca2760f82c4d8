"""Errors that no code expects, raised while a request is served."""

import gevent
import pytest

from rosemarystream._internal.gateway import (
    attempt,
    attempt_outcomes,
    relay,
    unexpected_errors,
)
from rosemarystream._internal.gateway.answer_relay import AnswerRelay
from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.attempt import Attempt
from rosemarystream._internal.gateway.attempt_sequence import AttemptSequence
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.crash_reporter import CrashReporter
from rosemarystream._internal.gateway.event_stream import EventStream
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.gateway.route_lookup import RouteLookup
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.server_statements import ServerStatements
from rosemarystream._internal.gateway.state import StateReport
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.log_entries.requests import UnexpectedError
from rosemarystream._internal.utils.http_connection import ClientConnection
from tests.lib.entry_world import (
    METRICS_PORT,
    READY_PORT,
    STORE_PORT,
    World,
    get,
    wait_until,
)

SECRET = b"what only the caller and the server may know"
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)
PLAIN = ["/look/1", "/book/1"]
STREAMS = ["/chat/1", "/brief/1"]
PATHS = [*PLAIN, *STREAMS]
# Where an error is raised, and which requests come there: before a server can have the
# request, after that, within the caller's answer, and when that has ended.
BEFORE_SENDING = [
    (relay, "decode_call", PATHS),
    (RouteLookup, "resolve", PATHS),
    (Router, "find_priority", PATHS),
    (Router, "choose_service", PATHS),
    (Router, "record_request", PATHS),
    (Router, "place", PATHS),
    (LimitGate, "admit", PATHS),
    (AttemptSequence, "choose_next", PATHS),
    (Router, "begin", PATHS),
    (Router, "begin_prefill", PATHS),
    (ConnectionPool, "take", PATHS),
    (ConnectionPool, "open", PATHS),
    (ClientConnection, "connect", PATHS),
    (attempt, "encode_call", PATHS),
]
AFTER_SENDING = [
    (ClientConnection, "send", PATHS),
    (Attempt, "read_head", PATHS),
    (ClientConnection, "read_head", PATHS),
    (attempt, "decode_answer", PATHS),
    (ServerStatements, "record", PATHS),
    (Router, "record_answer", PATHS),
    (Attempt, "read_piece", PATHS),
    (ClientConnection, "read_piece", PATHS),
    (Router, "end_prefill", STREAMS),
    (EventStream, "begin_attempt", STREAMS),
    (EventStream, "split", STREAMS),
    (EventStream, "accept", STREAMS),
    (AnswerRelay, "relay", PATHS),
]
WITHIN_THE_ANSWER = [
    (AnswerWriter, "send_head", STREAMS),
    (AnswerWriter, "send_piece", STREAMS),
    (AnswerWriter, "end", STREAMS),
    (AnswerWriter, "send_whole", PLAIN),
    (AnswerWriter, "_start", PATHS),
    (AnswerWriter, "_write", PATHS),
    (EventStream, "check_end", STREAMS),
    (ConnectionPool, "put", PATHS),
    (CrashReporter, "record_answer", PLAIN),
    (Router, "record_outcome", PLAIN),
]
AT_THE_END = [
    (CrashReporter, "record_answer", STREAMS),
    (Router, "record_outcome", STREAMS),
    (Attempt, "close", PATHS),
    (Router, "end_prefill", PLAIN),
    (relay, "write_log_entry", PATHS),
]


class _SurpriseError(Exception):
    """Stands for an error that no code expects; its text quotes the caller."""


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
    """Log entries of the host."""
    written = []
    for module in (relay, attempt_outcomes, unexpected_errors):
        monkeypatch.setattr(
            module, "write_log_entry", lambda log, entry: written.append(entry)
        )
    return written


def raise_once(monkeypatch, owner, name):
    """Raise an error at the next call of a function; the list says if it was raised.

    Calls on a connection to the store are left alone: a watch may make one meanwhile.
    """
    original = getattr(owner, name)
    raised = []

    def surprise(*arguments, **named):
        address = getattr(arguments[0], "address", "") if arguments else ""
        if raised or address.endswith(f":{STORE_PORT}"):
            return original(*arguments, **named)
        raised.append(name)
        raise _SurpriseError(SECRET.decode())

    monkeypatch.setattr(owner, name, surprise)
    return raised


def raise_at(stages):
    """Parametrize a test over stages and the kinds of requests that come there."""
    cases = [
        pytest.param(owner, name, path, id=f"{owner.__name__}.{name}-{path[1:-2]}")
        for owner, name, paths in stages
        for path in paths
    ]
    return pytest.mark.parametrize(("owner", "name", "path"), cases)


def call(host, path):
    with gevent.Timeout(3.0):
        return host.call(path, body=SECRET, headers=HEADERS)


def is_whole_error(reply, execution):
    return (
        reply.status == 500
        and reply.complete
        and b'"error":"internal"' in reply.body
        and b'"execution":"%s"' % execution in reply.body
    )


def assert_serves(host):
    """Check that nothing is left of the error: requests are served, none counts."""
    for path in PATHS:
        reply = call(host, path)
        assert reply.status == 200
        assert reply.complete
    wait_until(lambda: host.read_state()["figures"]["in_progress"] == 0)
    assert host.count_load("p1") == host.count_load("e1") == 0


def assert_told(entries):
    (entry,) = [entry for entry in entries if isinstance(entry, UnexpectedError)]
    assert entry.error == "_SurpriseError"
    assert entry.trace
    assert SECRET.decode() not in str(entries)


@raise_at(BEFORE_SENDING)
def test_an_error_before_a_server_has_the_request_is_answered_as_not_run(
    world, host, entries, monkeypatch, owner, name, path
):
    raised = raise_once(monkeypatch, owner, name)
    reply = call(host, path)
    assert raised
    assert is_whole_error(reply, b"not_run")
    assert not any(server.runs for server in world.servers.values())
    assert_told(entries)
    assert_serves(host)


@raise_at(AFTER_SENDING)
def test_an_error_after_a_server_has_the_request_is_answered_as_unknown(
    host, entries, monkeypatch, owner, name, path
):
    raised = raise_once(monkeypatch, owner, name)
    reply = call(host, path)
    assert raised
    assert is_whole_error(reply, b"unknown")
    assert_told(entries)
    assert_serves(host)


@raise_at(WITHIN_THE_ANSWER)
def test_an_error_within_an_answer_does_not_make_a_part_look_whole(
    host, entries, monkeypatch, owner, name, path
):
    raised = raise_once(monkeypatch, owner, name)
    reply = call(host, path)
    assert raised
    has_begun = reply.status == 200 and not reply.complete
    assert is_whole_error(reply, b"unknown") or has_begun
    assert_told(entries)
    assert_serves(host)


@raise_at(AT_THE_END)
def test_an_error_after_the_answer_costs_the_caller_nothing(
    host, monkeypatch, owner, name, path
):
    raised = raise_once(monkeypatch, owner, name)
    reply = call(host, path)
    assert raised
    assert reply.status == 200
    assert reply.complete
    assert_serves(host)


@pytest.mark.parametrize(
    ("port", "path", "owner", "name"),
    [
        pytest.param(READY_PORT, "/v1/readyz", Supervisor, "is_sound", id="readiness"),
        pytest.param(METRICS_PORT, "/v1/state", StateReport, "make_dump", id="state"),
        pytest.param(METRICS_PORT, "/", GatewayMetrics, "set_gauges", id="metrics"),
    ],
)
def test_an_error_in_an_operators_answer_is_answered(
    host, monkeypatch, port, path, owner, name
):
    raise_once(monkeypatch, owner, name)
    assert get(host.ip, port, path).status == 500
    assert get(host.ip, port, path).status == 200


def test_the_errors_that_no_code_expects_are_counted(host, monkeypatch):
    raise_once(monkeypatch, Router, "place")
    call(host, "/look/1")
    text = get(host.ip, METRICS_PORT, "/metrics").body.decode()
    assert 'unexpected_errors_total{error="_SurpriseError"} 1.0' in text
    assert 'requests_total{outcome="internal"} 1.0' in text
