"""Callers of `serve` that close their sending side once their request is whole."""

import socket

import msgspec
import pytest

from standins.calls import make_headers
from standins.fleet import WORKSPACE_KEY
from tests.lib.fleets import start_fleet

TOKENS = 20
TURN = {"pool": "lm", "prompt": "hello", "max_tokens": TOKENS}
TURNS = "/v1/chats/c1/turns"
CALLS = "/v1/services/ledger/calls"
TIMEOUT_S = 20
ENGINE_OPTIONS = {"token_ms": 30}


@pytest.fixture(scope="module")
def host():
    fleet = start_fleet(
        hosts={"h1": "dc1"}, engines={"e1": "dc1"}, engine_options=ENGINE_OPTIONS
    )
    yield next(iter(fleet.hosts()))
    fleet.__exit__()


def call_half_closed(host, path, body, *, key=WORKSPACE_KEY, copies=1):
    """Send a request, close the sending side, and return all that is received."""
    data = msgspec.json.encode(body)
    headers = {
        "Host": "h",
        "Content-Type": "application/json",
        "Content-Length": len(data),
        **make_headers("depot", key),
    }
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join([f"POST {path} HTTP/1.1", *lines]).encode() + b"\r\n\r\n"
    ip, port = host.address.split(":")
    with socket.create_connection((ip, int(port)), timeout=TIMEOUT_S) as connection:
        connection.sendall((head + data) * copies)
        connection.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: connection.recv(65_536), b""))


def test_the_stream_is_whole(host):
    received = call_half_closed(host, TURNS, TURN)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b'"sequence"') == TOKENS
    assert received.count(b"event: end") == 1
    assert received.endswith(b"0\r\n\r\n")


def test_the_answer_is_whole(host):
    received = call_half_closed(host, TURNS, TURN | {"stream": False})
    assert received.startswith(b"HTTP/1.1 200 ")
    assert msgspec.json.decode(received.partition(b"\r\n\r\n")[2])["tokens"] == TOKENS


def test_the_call_is_answered(host):
    body = {"payload": {"id": "x"}, "idempotent": True}
    received = call_half_closed(host, CALLS, body)
    assert received.startswith(b"HTTP/1.1 200 ")


def test_each_of_two_requests_sent_together_is_answered(host):
    body = {"payload": {"id": "x"}, "idempotent": True}
    received = call_half_closed(host, CALLS, body, copies=2)
    assert received.count(b"HTTP/1.1 200 ") == 2


def test_the_refusal_arrives(host):
    received = call_half_closed(host, TURNS, TURN, key="wrong")
    assert received.startswith(b"HTTP/1.1 401 ")
