"""An unexpected error while the rest of a request is sent."""

import time

import pytest
from gevent import socket

from rosemarystream._internal.utils import remainder_sender
from rosemarystream._internal.utils.http_connection import ClientConnection

# More than the buffers of two sockets hold.
BODY = bytes(30_000_000)
WAIT_S = 3.0


class OddError(Exception):
    """An error that no code expects."""


@pytest.fixture
def connection():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    ip, port = listener.getsockname()
    opened = ClientConnection(address=f"{ip}:{port}", clock=time.monotonic)
    opened.connect(time.monotonic() + WAIT_S)
    yield opened
    opened.close()
    listener.close()


def test_whoever_reads_the_answer_gets_the_error_at_once(connection, monkeypatch):
    def fail(*_):
        raise OddError

    monkeypatch.setattr(remainder_sender, "wait_write", fail)
    began_at = time.monotonic()
    connection.send(b"POST", b"/", [(b"host", b"x")], BODY)
    with pytest.raises(OddError):
        connection.read_head(began_at + WAIT_S)
    assert time.monotonic() - began_at < WAIT_S / 2
