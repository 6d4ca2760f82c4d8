"""Servers that answer a long request before they have read it."""

import struct

import pytest
from gevent import sleep, socket
from gevent.server import StreamServer

from tests.lib.entry_world import (
    SERVER_PORT,
    Caller,
    World,
    make_configuration,
    make_entry,
    wait_until,
)

BODY = b"x" * 4_000_000
RESET = struct.pack("ii", 1, 0)


class EarlyServer:
    """A server that answers without a length, and resets or closes the connection.

    Attributes
    ----------
    pauses_s : tuple of float
        Times before its head, between this and a part of its body, and before the
        end of the connection, in seconds.
    reads_on : bool
        Whether it ends its answer and reads the request on; else the connection is
        reset.
    """

    def __init__(self, ip):
        self.pauses_s = (0.0, 0.0, 0.0)
        self.reads_on = False
        self.requests = 0
        self._listener = StreamServer((ip, SERVER_PORT), self._serve)
        self._listener.start()

    def stop(self):
        self._listener.stop()

    def _serve(self, connection, _):
        head, _, body = connection.recv(65_536).partition(b"\r\n\r\n")
        self.requests += 1
        lines = [line for line in head.split(b"\r\n") if b"attempt-id" in line.lower()]
        lines += [b"X-Rosemarystream-Response-Seal: seal", b"Connection: close"]
        pieces = [b"HTTP/1.1 200 OK\r\n" + b"\r\n".join(lines) + b"\r\n\r\n", b"part"]
        for pause_s, piece in zip(self.pauses_s, pieces, strict=False):
            sleep(pause_s)
            connection.sendall(piece)
        sleep(self.pauses_s[-1])
        if self.reads_on:
            connection.shutdown(socket.SHUT_WR)
            left = len(BODY) - len(body)
            while left and (data := connection.recv(65_536)):
                left -= len(data)
        else:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()


@pytest.fixture
def world():
    created = World()
    document = make_configuration(5)
    document["limits"]["max-body-bytes"] = len(BODY)
    created.store.write("config", "main", document)
    created.add_host("h1")
    yield created
    created.stop()


@pytest.fixture
def server(world):
    ip = f"{world.net}.250"
    created = EarlyServer(ip)
    world.store.write("servers", "p1", make_entry(f"{ip}:{SERVER_PORT}"))
    wait_until(lambda: world.hosts["h1"].list_servers() == ["p1"])
    yield created
    created.stop()


def call(world, path):
    caller = Caller(world.hosts["h1"].ip)
    try:
        return caller.call(path, body=BODY, wait_ms=3000)
    finally:
        caller.close()


# Seen on other systems: the part of an answer that came before the reset was passed on
# as a whole answer, as the failed write had taken the error of the connection.
@pytest.mark.parametrize("pauses_s", [(0, 0, 0), (0, 0.05, 0), (0.1, 0, 0.2)])
@pytest.mark.parametrize("path", ["/look/1", "/book/1"])
def test_an_answer_that_is_reset_during_the_request_is_not_complete(
    world, server, path, pauses_s
):
    server.pauses_s = pauses_s
    reply = call(world, path)
    assert server.requests
    assert not (200 <= reply.status < 300 and reply.complete)
    assert reply.status in (0, 502)


def test_an_answer_whose_server_reads_the_request_on_is_complete(world, server):
    server.reads_on = True
    reply = call(world, "/book/1")
    assert (reply.status, reply.body, reply.complete) == (200, b"part", True)
