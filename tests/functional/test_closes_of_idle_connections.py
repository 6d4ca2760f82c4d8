"""Requests that arrive just when a host closes its idle connections."""

import itertools
import random
import time

import gevent
import pytest

from tests.lib.entry_world import HOST, KEY, Caller, World, wait_until

# Turns of the event loop between a request and the close: a request is read in a few.
TURNS = range(6)
CLIENTS = 12
# The closes go on until more requests than these have been answered, in a given time.
ENOUGH = 10 * CLIENTS
STORM_S, LONGEST_STORM_S = 2.0, 20.0
# Longest time between two closes, and before a request.
CLOSE_S = 0.002
REQUEST_S = 0.004
WORK_S = 0.003


@pytest.fixture
def world():
    created = World()
    created.add_server("p1").work_s = WORK_S
    host = created.add_host("h1")
    wait_until(lambda: host.list_servers() == ["p1"])
    yield created
    created.stop()


@pytest.fixture
def listener(world):
    return world.hosts["h1"].gateway._caller_listener


@pytest.fixture
def caller(world):
    """A caller on a kept connection, which is idle."""
    created = Caller(world.hosts["h1"].ip)
    assert created.call("/look/1").status == 200
    yield created
    created.close()


def encode(request_id, body=b""):
    head = (
        f"POST /look/1 HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        f"X-Rosemarystream-Attempt-Id: {request_id}\r\n"
        f"X-Rosemarystream-Deadline-Ms: 2000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def take_turns(count):
    for _ in range(count):
        gevent.sleep(0)


@pytest.mark.parametrize("turns", TURNS)
@pytest.mark.parametrize("first", [1, 60, -500, None])
def test_a_request_that_has_arrived_is_served(caller, listener, turns, first):
    """The first byte, a part of the head, a part of the body, or all of it has."""
    data = encode("arrived", b"x" * 1000)
    caller.socket.sendall(data[:first])
    take_turns(turns)
    listener.close_idle()
    if first is not None:
        gevent.sleep(0.05)
        listener.close_idle()
        caller.socket.sendall(data[first:])
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True), reply


@pytest.mark.parametrize("turns", TURNS)
def test_a_request_that_is_sent_with_the_one_before_is_served(
    world, caller, listener, turns
):
    caller.socket.sendall(encode("before") + encode("after"))
    for _ in range(50):
        take_turns(turns)
        listener.close_idle()
        gevent.sleep(0.001)
    server = world.servers["p1"]
    wait_until(lambda: server.runs[-1].request_id == "after")
    received = b""
    while received.count(b"done by p1") < 2:
        data = caller.socket.recv(65_536)
        assert data, received
        received += data


def test_a_connection_that_is_idle_is_closed(caller, listener):
    listener.close_idle()
    assert caller.socket.recv(1) == b""


class Client:
    """Sends one request after the other, on a connection as long as it is open."""

    def __init__(self, ip, number):
        self._ip = ip
        self._rng = random.Random(number)
        self._ids = (f"c{number}-{n}" for n in itertools.count())
        self.answered = []
        self.unanswered = []

    def run(self):
        caller = Caller(self._ip)
        while True:
            gevent.sleep(self._rng.uniform(0, REQUEST_S))
            request_id = next(self._ids)
            try:
                caller.socket.sendall(encode(request_id, b"x" * 3000))
                is_answered = caller.read().complete
            except OSError:
                is_answered = False
            (self.answered if is_answered else self.unanswered).append(request_id)
            if not is_answered:
                caller.close()
                caller = Caller(self._ip)


def count_answered(clients):
    return sum(len(client.answered) for client in clients)


def test_no_request_that_was_read_loses_its_answer_to_many_closes(world, listener):
    """One that crosses a close hasn't been read, and no server gets it."""
    read = []
    handle = listener.handler

    def note(request, answer):
        read.append(dict(request.headers)[b"x-rosemarystream-attempt-id"].decode())
        handle(request, answer)

    listener.handler = note
    clients = [Client(world.hosts["h1"].ip, number) for number in range(CLIENTS)]
    running = [gevent.spawn(client.run) for client in clients]
    draw = random.Random(1)
    ends_at = time.monotonic() + STORM_S
    with gevent.Timeout(LONGEST_STORM_S, False):
        while time.monotonic() < ends_at or count_answered(clients) <= ENOUGH:
            gevent.sleep(draw.uniform(0, CLOSE_S))
            listener.close_idle()
    gevent.sleep(0.1)
    gevent.killall(running)
    run = {run.request_id for run in world.servers["p1"].runs}
    unanswered = {name for client in clients for name in client.unanswered}
    assert count_answered(clients) > ENOUGH
    assert unanswered & {*read} == set()
    assert unanswered & run == set()
