"""Reading of callers' requests beside pauses of the process."""

import time

from rosemarystream._internal.gateway.caller_resources import (
    OPERATOR_LIMITS,
    CallerResources,
)
from rosemarystream._internal.gateway.request_reader import RequestReader


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
