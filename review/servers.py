"""A small stand-in for the backend servers, by the page PROTOCOL.md."""

import itertools
import time

import gevent
import h11
from common import SERVER_PORT
from gevent import socket
from gevent.server import StreamServer

_born = itertools.count(int(time.time() * 1000))


class Arrival:
    """A request as it reached a server."""

    def __init__(self, request, body):
        self.method, self.target, self.body = request.method, request.target, body
        self.headers = dict(request.headers)
        self.id = self._read("x-rosemarystream-attempt-id")

    def _read(self, name):
        return self.headers.get(name.encode(), b"").decode()

    @property
    def expected(self):
        """The instance that the request is for."""
        return self._read("x-rosemarystream-expect-instance")

    @property
    def parts(self):
        """The parts of its prompt, by name."""
        prompt = self._read("x-rosemarystream-prompt-prefix")
        return [entry.partition(":")[0] for entry in prompt.split(",") if entry]


class Server:
    """A plain server; subclasses decide how it answers."""

    def __init__(self, *, name, service, ip, zone, record, slots=6, port=SERVER_PORT):
        self.name, self.service, self.zone = name, service, zone
        self.address = (ip, port)
        self.slots = slots
        self.record = record
        self.born = next(_born)
        self.ran = []
        self._listener = None
        self._open = set()

    def start(self):
        self._listener = StreamServer(self.address, self._serve)
        self._listener.start()

    def stop(self):
        """Stop listening and close all connections."""
        self._listener.stop(timeout=0)
        for connection in [*self._open]:
            connection.close()

    def describe(self, **changes):
        """Return the server's entry in the store."""
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmup-left-ms": 0,
            "seq": 1,
            "born": self.born,
        }
        return {**entry, **changes}

    def _serve(self, connection, _):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open.add(connection)
        state = {}
        try:
            while self._serve_next(connection, state):
                pass
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._open.discard(connection)
            connection.close()

    def _serve_next(self, connection, state):
        protocol = h11.Connection(h11.SERVER)
        arrival = _read_arrival(connection, protocol)
        if arrival is None:
            return False
        if arrival.expected != self.name:
            headers = [("X-Rosemarystream-Instance-Id", self.name)]
            connection.sendall(encode(421, self.identify(arrival, headers), b""))
            return True
        return self.handle(connection, state, arrival)

    def identify(self, arrival, headers=()):
        """Return the headers that all answers bear."""
        return [("X-Rosemarystream-Attempt-Id", arrival.id), *headers]

    def begin_run(self, arrival):
        """Note that the server begins to work on a request."""
        self.ran.append(arrival.id)
        self.record.write(f"{self.name} runs {arrival.id}")

    def handle(self, connection, state, arrival):
        """Answer a request; return whether the connection stays open."""
        self.begin_run(arrival)
        gevent.sleep(0.02)
        connection.sendall(self.encode_success(arrival))
        return True

    def encode_success(self, arrival):
        """Return the answer to a request that has run."""
        seal = ("X-Rosemarystream-Response-Seal", f"3e1b.{arrival.id}")
        body = f"done by {self.name} for {arrival.id}".encode()
        return encode(200, self.identify(arrival, [seal]), body)


def encode(status, headers, body):
    """Return an answer with a length."""
    lines = [
        f"HTTP/1.1 {status} {'OK' if status == 200 else 'Refused'}",
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _read_arrival(connection, protocol):
    request, body = None, b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            data = connection.recv(65_536)
            if not data:
                return None
            protocol.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return Arrival(request, body)
        else:
            return None
