"""Detection of a caller's disconnect while its request is served.

A caller that closes its sending side may have left, or may still wait for its answer
(half-close). Only the latter accepts what is sent: the connection of the former is
reset by any byte. ``docs/design/half-closed-callers.md`` weighs the ways.
"""

from collections.abc import Callable

import gevent
from gevent import socket

from rosemarystream._internal.decisions.caller_budget import READ_BYTES
from rosemarystream._internal.gateway.answer_writer import (
    AnswerWriter,
    CallerDisconnectedError,
)
from rosemarystream._internal.gateway.caller_resources import CallerHoldings

# Interval at which a connection whose caller has closed its sending side is checked,
# and number of these checks; most callers that leave are noticed by then.
CHECK_INTERVAL_S = 0.02
FREQUENT_CHECKS = 16
# Intervals between two later checks.
INTERVALS_PER_LATE_CHECK = 5
# Interval of the checks of a connection that isn't read.
UNREAD_CHECK_INTERVAL_S = 0.25
# State of a TCP connection whose far side has closed or reset it, as in `TCP_INFO`.
CLOSE_WAIT, CLOSED = 8, 7
# Event of a socket that gevent's loop watches.
READABLE = 1


class DisconnectWatch:
    """Detects a caller's disconnect while its request is served.

    Parameters
    ----------
    greenlet : gevent.Greenlet
        Serves the request; `CallerDisconnectedError` is raised in it.
    answer : AnswerWriter
        The answer, of which single bytes are sent ahead.
    holdings : CallerHoldings
        Bounds how much is read ahead, and counts it.
    held : int
        Bytes of later requests that have been read already.

    Attributes
    ----------
    data : bytearray
        Pipelined bytes that were read meanwhile.
    """

    def __init__(
        self,
        *,
        opened: socket.socket,
        greenlet: gevent.greenlet.Greenlet,
        answer: AnswerWriter,
        holdings: CallerHoldings,
        held: int,
    ) -> None:
        self.data = bytearray()
        self._holdings = holdings
        self._held = held
        self._socket = opened
        self._greenlet = greenlet
        self._answer = answer
        # Check intervals since the caller closed its sending side, and their number at
        # which the next byte is sent.
        self._intervals = 0
        self._next_byte = 1
        self._intervals_per_check = 1
        loop = gevent.get_hub().loop
        self._timer = loop.timer(0.0, CHECK_INTERVAL_S)
        # With a callback, as in gevent's own socket waits.
        self._watcher = loop.io(opened.fileno(), READABLE)
        if holdings.find_read_ahead(held) > 0:
            self._watcher.start(self._on_readable)
        else:
            self._stop_reading()

    def _on_readable(self) -> None:
        try:
            data = self._socket._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end_request(str(error))
            return
        if not data:
            self._answer.is_half_closed = True
            self._watcher.stop()
            self._timer.start(self._check)
            return
        self.data += data
        held = self._held + len(self.data)
        self._holdings.hold_read_ahead(held)
        if self._holdings.find_read_ahead(held) <= 0:
            self._stop_reading()

    def _stop_reading(self) -> None:
        """Leave what arrives to the kernel, whose buffer then stops the caller."""
        self._watcher.stop()
        self._restart_timer(UNREAD_CHECK_INTERVAL_S, self._check_unread)

    def _check_unread(self) -> None:
        """Detect a disconnect behind bytes that are not read."""
        state = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        if state == CLOSED:
            self._end_request("reset")
        elif state == CLOSE_WAIT:
            self._restart_timer(CHECK_INTERVAL_S, self._check)
            self._answer.is_half_closed = True

    def _check(self) -> None:
        """End the request if its caller has closed both sides."""
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._end_request(f"reset ({code})")
            return
        self._intervals += self._intervals_per_check
        if self._intervals == FREQUENT_CHECKS:
            self._check_less_often()
        # Few bytes can be sent ahead, so the time between two of them doubles.
        if self._intervals >= self._next_byte:
            self._next_byte *= 2
            self._send_ahead()

    def _check_less_often(self) -> None:
        self._intervals_per_check = INTERVALS_PER_LATE_CHECK
        self._restart_timer(INTERVALS_PER_LATE_CHECK * CHECK_INTERVAL_S, self._check)

    def _restart_timer(self, interval_s: float, check: Callable[[], None]) -> None:
        self._timer.stop()
        self._timer.close()
        self._timer = gevent.get_hub().loop.timer(interval_s, interval_s)
        self._timer.start(check)

    def _send_ahead(self) -> None:
        try:
            self._answer.send_ahead()
        except CallerDisconnectedError as error:
            self._end_request(str(error))

    def _end_request(self, reason: str) -> None:
        self.stop()
        gevent.kill(self._greenlet, CallerDisconnectedError(reason))

    def stop(self) -> None:
        """Stop the detection."""
        for watcher in (self._watcher, self._timer):
            watcher.stop()
            watcher.close()
