"""A server whose answer has no end exhausts neither memory nor time of `serve` hosts.

The exchange runs against a server that goes on sending until it is closed, or has sent
far more than any answer may have.
"""

import time

import gevent
import pytest
from gevent.server import StreamServer

from rosemarystream._internal.utils.http_exchange import Exchange, ExchangeError
from tests.lib.networks import take_network

ADDRESS = (f"{take_network()}.1", 18_098)
# Bytes after which the server stops, so that the test ends if nothing bounds them.
MOST_SENT_BYTES = 48_000_000
# An answer may have 8 MB; what the sockets hold comes on top.
ALLOWED_BYTES = 16_000_000
DEADLINE_S = 1.0
# The exchange may be late by so much; a neighbour of it may wait so long for its turn.
LATE_S, TURN_S = 0.3, 0.25
BLOCK = 65_536

HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "no_answer": (b"", b"\xa5" * BLOCK),
    "status_line": (b"HTTP/1.1 200 ", b"O" * BLOCK),
    "header_line": (HEAD + b"a: ", b"b" * BLOCK),
    "header_lines": (HEAD, b"a: b\r\n" * (BLOCK // 6)),
    "informational_heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * (BLOCK // 25)),
    "body_without_length": (HEAD + b"\r\n", b"x" * BLOCK),
    "body_of_known_length": (
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        b"x" * BLOCK,
    ),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"8000\r\n" + b"x" * 32_768 + b"\r\n",
    ),
    "chunk_extension": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;",
        b"x" * BLOCK,
    ),
}
READERS = {
    "all": lambda exchange, deadline: exchange.read_all(deadline),
    "line": lambda exchange, deadline: exchange.read_line(b"\n\n", deadline),
}


class EndlessServer:
    """Sends the same bytes again and again until it is closed."""

    def __init__(self, start, block, *, pause_s=0.0):
        self.sent = 0
        self._start, self._block, self._pause_s = start, block, pause_s
        self._server = StreamServer(ADDRESS, self._serve)

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *error):
        self._server.stop(timeout=0)

    def _serve(self, connection, _):
        try:
            connection.recv(BLOCK)
            connection.sendall(self._start)
            while self.sent < MOST_SENT_BYTES:
                connection.sendall(self._block)
                self.sent += len(self._block)
                gevent.sleep(self._pause_s)
            gevent.sleep(DEADLINE_S)
        except OSError:
            return
        finally:
            connection.close()


def read_answer(read):
    """Read an answer, which has to fail; return how long that took."""
    began_at = time.monotonic()
    deadline = began_at + DEADLINE_S
    address = f"{ADDRESS[0]}:{ADDRESS[1]}"
    with (
        Exchange(address=address, clock=time.monotonic) as exchange,
        pytest.raises(ExchangeError),
    ):
        exchange.connect(deadline)
        exchange.send("POST", "/v1/calls", deadline=deadline)
        while read(exchange, deadline):
            pass
    return time.monotonic() - began_at


@pytest.mark.alone
@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("answer", ANSWERS)
def test_an_answer_without_end_is_given_up(answer, reader):
    longest_s = 0.0

    def measure_turns():
        nonlocal longest_s
        while True:
            before = time.monotonic()
            gevent.sleep(0.01)
            longest_s = max(longest_s, time.monotonic() - before)

    neighbour = gevent.spawn(measure_turns)
    try:
        with EndlessServer(*ANSWERS[answer]) as server:
            took_s = read_answer(READERS[reader])
    finally:
        neighbour.kill()
    assert server.sent < ALLOWED_BYTES
    assert took_s < DEADLINE_S + LATE_S
    assert longest_s < TURN_S


@pytest.mark.alone
@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize(
    "start", [HEAD, HEAD + b"\r\n"], ids=["in_the_head", "in_the_body"]
)
def test_an_answer_that_trickles_is_given_up_at_the_deadline(start, reader):
    # Each byte comes long before a time limit of single reads.
    with EndlessServer(start, b"x", pause_s=0.05):
        took_s = read_answer(READERS[reader])
    assert took_s < DEADLINE_S + LATE_S
