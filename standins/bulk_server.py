"""Stand-in for a plain service whose answers have a set size: ``ADDRESS BYTES``.

Runs as a process of its own (``python -m standins.bulk_server``). With a third argument
each answer is a stream of that many events, each of ``BYTES``.
"""

import sys

from gevent import socket
from gevent.server import StreamServer

READ_BYTES = 65_536
_SEAL = "X-Rosemarystream-Response-Seal: seal\r\n"
_CHUNKED = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"


def main() -> None:
    """Answer each request until the process is ended."""
    ip, _, port = sys.argv[1].rpartition(":")
    size = int(sys.argv[2])
    events = int(sys.argv[3]) if len(sys.argv) > 3 else 0

    def serve(connection: socket.socket, _: object) -> None:
        with connection:
            try:
                while (identity := _read_request(connection)) is not None:
                    _answer(connection, identity, size, events)
            except OSError:
                # The host has closed the connection.
                return

    StreamServer((ip, int(port)), serve, backlog=1024).serve_forever()


def _answer(connection: socket.socket, identity: str, size: int, events: int) -> None:
    start = f"HTTP/1.1 200 OK\r\n{identity}\r\n{_SEAL}"
    if not events:
        head = f"{start}Content-Length: {size}\r\n\r\n".encode()
        connection.sendall(head + b"x" * size)
        return
    connection.sendall(f"{start}{_CHUNKED}\r\n".encode())
    for number in range(1, events + 1):
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * size)
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    connection.sendall(b"0\r\n\r\n")


def _read_request(connection: socket.socket) -> str | None:
    """Read a whole request; return its identifying header line."""
    data = b""
    while (end := data.find(b"\r\n\r\n")) < 0:
        piece = connection.recv(READ_BYTES)
        if not piece:
            return None
        data += piece
    lines = data[:end].decode("latin-1").split("\r\n")[1:]
    headers = dict(line.lower().split(": ", 1) for line in lines)
    missing = int(headers.get("content-length", "0")) - (len(data) - end - 4)
    while missing > 0:
        piece = connection.recv(READ_BYTES)
        if not piece:
            return None
        missing -= len(piece)
    name = "x-rosemarystream-attempt-id"
    return next(line for line in lines if line.lower().startswith(name))


if __name__ == "__main__":
    main()
