"""Reading of callers' requests beside pauses of the process."""

import time

import h11

from rosemarystream._internal.decisions.caller_budget import HeldKind
from rosemarystream._internal.gateway.caller_resources import (
    OPERATOR_LIMITS,
    CallerResources,
)
from rosemarystream._internal.gateway.request_reader import RequestReader
from rosemarystream._internal.models.route import CallerLimits


class _PausedSocket:
    """A socket whose time-out is seen before what has arrived."""

    def __init__(self, data):
        self._data = data
        self._is_first = True
        self._sock = self

    def settimeout(self, seconds):
        pass

    def recv(self, size, flags=0):
        if flags:
            return self._data[:size]
        if self._is_first:
            self._is_first = False
            raise TimeoutError
        return self._data


def make_holdings():
    resources = CallerResources(limits=OPERATOR_LIMITS, clock=time.monotonic)
    return resources.open(None, "127.0.0.1")


def test_a_request_that_arrived_before_the_idle_time_was_seen_to_be_over_is_read():
    reader = RequestReader(
        opened=_PausedSocket(b"GET /"), holdings=make_holdings(), clock=time.monotonic
    )
    assert reader.await_first_byte(1.0)
    assert reader.buffer == b"GET /"


def test_a_connection_that_stays_idle_is_left():
    reader = RequestReader(
        opened=_PausedSocket(b""), holdings=make_holdings(), clock=time.monotonic
    )
    assert not reader.await_first_byte(1.0)


def test_what_a_request_has_used_of_the_buffer_is_not_counted_any_more():
    """Else callers that keep connections open seem to hold what they sent before."""
    holdings = make_holdings()
    body = b"x" * 20_000
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 20000\r\n\r\n"
    reader = RequestReader(
        opened=_PausedSocket(head + body), holdings=holdings, clock=time.monotonic
    )
    assert reader.await_first_byte(1.0)
    request = reader.read(h11.Connection(h11.SERVER), CallerLimits())
    assert request.body == body
    assert holdings.account.get_held(HeldKind.READ_AHEAD) == 0
