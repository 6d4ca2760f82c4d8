"""What an attempt to stop a run shows of the server that runs it."""

from types import SimpleNamespace

import pytest

from rosemarystream._internal.decisions.stream_backups import FirstServer
from rosemarystream._internal.exceptions import ConnectError
from rosemarystream._internal.gateway.run_moves import MOVE_TIMEOUT_S, RunMover
from rosemarystream._internal.platform.run_moves import decode_handle
from rosemarystream._internal.utils.http_connection import (
    AnswerTimeoutError,
    ConnectionBrokenError,
    ServerUnreachableError,
)

CALL = SimpleNamespace(request_id="r1")
FIRST = SimpleNamespace(name="e1", address="10.0.0.1:1")
BACKUP = SimpleNamespace(name="e2", address="10.0.0.2:1")


class Connection:
    """A connection on which one answer comes, or an error."""

    def __init__(self, answer):
        self.answer = answer
        self.is_closed = False

    def send(self, *arguments):
        self.sent = arguments

    def read_head(self, deadline):
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer[:2]

    def read_body(self, deadline, *, max_bytes):
        return self.answer[2]

    def close(self):
        self.is_closed = True


def find_state(answer, *, may_move=True):
    """Return what is known after an answer, or after an error of connecting."""
    connection = Connection(answer)

    def connect(endpoint, deadline):
        if isinstance(answer, OSError):
            raise ConnectError("no connection") from answer
        return connection

    mover = RunMover(pool=SimpleNamespace(open=connect), clock=lambda: 0.0)
    found = mover.stop_run(
        CALL, FIRST, BACKUP, may_move=may_move, deadline=MOVE_TIMEOUT_S
    )
    assert connection.is_closed or isinstance(answer, OSError)
    return found.state


def test_only_a_refused_connection_shows_that_a_server_is_gone():
    assert find_state(ConnectionRefusedError()) is FirstServer.GONE
    for error in (TimeoutError(), OSError(113, "no route"), ConnectionResetError()):
        assert find_state(error) is FirstServer.UNKNOWN


@pytest.mark.parametrize(
    "kind", [AnswerTimeoutError, ConnectionBrokenError, ServerUnreachableError]
)
def test_a_server_that_gives_no_answer_may_be_at_work(kind):
    assert find_state(kind("broken")) is FirstServer.UNKNOWN


def test_an_answer_to_another_request_says_nothing():
    name = b"x-rosemarystream-attempt-id"
    assert find_state((404, [(name, b"r1")], b"")) is FirstServer.ABSENT
    assert find_state((404, [], b"")) is FirstServer.ABSENT
    assert find_state((404, [(name, b"r2")], b"")) is FirstServer.UNKNOWN


def test_a_server_that_may_not_know_the_call_is_not_asked():
    """Its 404 would be one of an unknown path."""
    answer = (404, [], b"")
    assert find_state(answer, may_move=False) is FirstServer.UNKNOWN


@pytest.mark.parametrize(
    ("body", "handle"),
    [
        (b'{"handle": "h-1", "create-rev": 4}', "h-1"),
        (b'{"handle": ""}', ""),
        (b'{"handle": 7}', ""),
        (b'{"handle": "a\\r\\nb: c"}', ""),
        (b'{"handle": "a b"}', ""),
        (b"{}", ""),
        (b"", ""),
        (b"\xff", ""),
        (b"[" * 100_000, ""),
    ],
)
def test_an_odd_handle_is_none(body, handle):
    assert decode_handle(body) == handle
