"""Options by which the operating system detects dead TCP connections."""

from gevent import socket

# A server whose TCP acknowledges nothing for this time counts as unreachable.
UNACKNOWLEDGED_MS = 900
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2


def set_socket_options(tcp_socket: socket.socket) -> None:
    """Set the options of a connection to a server."""
    tcp = socket.IPPROTO_TCP
    tcp_socket.setsockopt(tcp, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    tcp_socket.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)
    tcp_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
