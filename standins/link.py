"""Loopback proxy in front of one server that delays, stalls or resets connections."""

import struct
from enum import StrEnum

import gevent
from gevent import socket
from gevent.server import StreamServer

BLOCK_BYTES = 16_384
DELAY_S = 0.15
# Socket option with which a close resets the connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Mode(StrEnum):
    """What the link does with the bytes it relays; STALL holds them back."""

    PASS = "pass"
    DELAY = "delay"
    STALL = "silent"
    STALL_ANSWERS = "silent_answers"


def reset_connection(connection: socket.socket) -> None:
    """Close a connection with a reset, if it is still open."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        connection.close()
    except OSError:
        # The other end was faster.
        return


class Link:
    """Forward connections to a target.

    Parameters
    ----------
    address, target : tuple of (str, int)
        Where it listens, and where it connects to.
    """

    def __init__(self, *, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.address = f"{address[0]}:{address[1]}"
        self.mode = Mode.PASS
        self._target = target
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._server = StreamServer(address, self._serve)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop(timeout=0)
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in [*self._pairs]:
            for end in pair:
                reset_connection(end)

    def _serve(self, downstream: socket.socket, _: object) -> None:
        try:
            upstream = socket.create_connection(self._target, timeout=1)
        except OSError:
            downstream.close()
            return
        pair = (downstream, upstream)
        self._pairs.add(pair)
        relays = [
            gevent.spawn(self._relay, downstream, upstream, False),
            gevent.spawn(self._relay, upstream, downstream, True),
        ]
        gevent.joinall(relays, count=1)
        self._pairs.discard(pair)
        gevent.sleep(0.02)
        # A connection that one end resets must not end as if it were complete.
        is_reset = any(relay.ready() and relay.value for relay in relays)
        gevent.killall(relays)
        for end in pair:
            if is_reset:
                reset_connection(end)
            end.close()

    def _relay(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> bool:
        """Relay until the source ends; return whether a connection was reset."""
        try:
            source.settimeout(None)
            while data := source.recv(BLOCK_BYTES):
                if self.mode is Mode.DELAY:
                    gevent.sleep(DELAY_S)
                while self.mode is Mode.STALL or (
                    is_answer and self.mode is Mode.STALL_ANSWERS
                ):
                    gevent.sleep(0.05)
                sink.sendall(data)
        except OSError:
            return True
        return False
