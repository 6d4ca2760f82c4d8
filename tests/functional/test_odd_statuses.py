"""Answers of servers whose status is none."""

import time

import pytest
from gevent.server import StreamServer

from rosemarystream._internal.utils.http_exchange import Exchange, ExchangeError
from tests.lib.entry_world import SERVER_PORT, World, make_entry, wait_until

# Statuses that no answer has (RFC 9110, section 15).
ODD_STATUSES = [b"000", b"099", b"600", b"999", b"20", b"2000", b"+20"]


class OddServer:
    """A server that gives all requests on a connection the same status."""

    def __init__(self, ip):
        self.address = f"{ip}:{SERVER_PORT}"
        self.status = b"200"
        self.requests = 0
        self._listener = StreamServer((ip, SERVER_PORT), self._serve)
        self._listener.start()

    def stop(self):
        self._listener.stop()

    def _serve(self, connection, _):
        while head := self._read_head(connection):
            self.requests += 1
            lines = [x for x in head.split(b"\r\n") if b"attempt-id" in x.lower()]
            lines += [b"X-Rosemarystream-Response-Seal: seal", b"Content-Length: 4"]
            answer = b"HTTP/1.1 %s Odd\r\n%s\r\n\r\nodd!"
            connection.sendall(answer % (self.status, b"\r\n".join(lines)))
        connection.close()

    def _read_head(self, connection):
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            try:
                piece = connection.recv(65_536)
            except OSError:
                return b""
            if not piece:
                return b""
            data += piece
        return data


@pytest.fixture
def world():
    created = World()
    created.add_host("h1")
    yield created
    created.stop()


@pytest.fixture
def server(world):
    created = OddServer(f"{world.net}.250")
    for service in ("plain", "engines"):
        entry = make_entry(created.address, service)
        world.store.write("servers", f"s-{service}", entry)
    wait_until(lambda: len(world.hosts["h1"].list_servers()) == 2)
    yield created
    created.stop()


# Seen on other systems: an answer with the status 000 was passed on.
@pytest.mark.parametrize("path", ["/look/1", "/book/1", "/brief/1", "/chat/1"])
@pytest.mark.parametrize("status", ODD_STATUSES)
def test_an_answer_without_a_valid_status_is_a_failure(world, server, path, status):
    host = world.hosts["h1"]
    server.status = status
    reply = host.call(path)
    assert server.requests == 1
    assert reply.status == 502
    assert b"x-rosemarystream-response-seal" not in reply.headers
    assert b"odd!" not in reply.body


def test_a_valid_status_is_passed_on(world, server):
    for status in (200, 226, 404, 418, 599):
        server.status = b"%d" % status
        reply = world.hosts["h1"].call("/book/1")
        assert (reply.status, reply.body) == (status, b"odd!")


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_an_exchange_with_an_invalid_status_is_broken(server, status):
    server.status = status
    deadline = time.time() + 1.0
    with Exchange(address=server.address, clock=time.time) as exchange:
        exchange.connect(deadline)
        with pytest.raises(ExchangeError):
            exchange.send("GET", "/", deadline=deadline)


def test_a_valid_status_of_an_exchange_is_returned(server):
    server.status = b"599"
    deadline = time.time() + 1.0
    with Exchange(address=server.address, clock=time.time) as exchange:
        exchange.connect(deadline)
        assert exchange.send("GET", "/", deadline=deadline) == 599
