"""Options by which the operating system detects connections that are dead."""

import struct

from gevent import socket

# A machine that acknowledges nothing for this time counts as unreachable.
UNACKNOWLEDGED_MS = 900
# The same for a request of more bytes than a server may take in before it reads: the
# time in which its receive window is closed counts too, although it acknowledges.
LONG_UNACKNOWLEDGED_MS = 15_000
LONG_REQUEST_BYTES = 65_536
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Values of SO_LINGER: whether it is on, and its time in seconds.
_RESET = struct.pack("ii", 1, 0)
_NO_RESET = struct.pack("ii", 0, 0)


def set_socket_options(tcp_socket: socket.socket) -> None:
    """Send without delay, and probe a peer from which nothing arrives."""
    tcp = socket.IPPROTO_TCP
    tcp_socket.setsockopt(tcp, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    tcp_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def limit_unacknowledged(tcp_socket: socket.socket, *, is_long: bool) -> None:
    """Limit the time for which the bytes of a request may remain unacknowledged."""
    timeout_ms = LONG_UNACKNOWLEDGED_MS if is_long else UNACKNOWLEDGED_MS
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset_on_close(tcp_socket: socket.socket, *, is_reset: bool) -> None:
    """Set whether closing the socket resets its connection instead of ending it."""
    value = _RESET if is_reset else _NO_RESET
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
