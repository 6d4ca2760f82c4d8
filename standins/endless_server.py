"""Stand-in for a server whose answers never end: ``ADDRESS SHAPE NAME``.

Runs as a process of its own (``python -m standins.endless_server``), so that the
processor time it uses is not taken from the host under test.
"""

import socket
import sys
import threading
from collections.abc import Callable

READ_BYTES = 65_536
PIECE_BYTES = 65_536
ENDLESS_LENGTH = 10**15
OWN = "X-Rosemarystream-Attempt-Id: {request_id}\r\n"
OTHER = "X-Rosemarystream-Attempt-Id: another-request\r\n"
SEAL = "X-Rosemarystream-Response-Seal: seal\r\n"
NOT_RUN = "X-Rosemarystream-Not-Executed: 1\r\n"
LENGTH = f"Content-Length: {ENDLESS_LENGTH}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENTS = "Content-Type: text/event-stream\r\n"
FILLER = b"x" * PIECE_BYTES

# Head of the answer and the bytes that are repeated after it, by shape.
SHAPES: dict[str, tuple[str, bytes]] = {
    "failure": ("HTTP/1.1 500 Failed\r\n" + OWN + SEAL + LENGTH, FILLER),
    "refusal": ("HTTP/1.1 503 Busy\r\n" + OWN + NOT_RUN + LENGTH, FILLER),
    "late": ("HTTP/1.1 200 OK\r\n" + OTHER + SEAL + LENGTH, FILLER),
    "event": ("HTTP/1.1 200 OK\r\n" + OWN + SEAL + EVENTS, FILLER),
    "success": ("HTTP/1.1 200 OK\r\n" + OWN + SEAL, FILLER),
    "early_hints": (
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n",
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" * 1000,
    ),
    "head": ("HTTP/1.1 200 OK\r\nX-Filler: ", FILLER),
    "chunk_extension": ("HTTP/1.1 200 OK\r\n" + OWN + SEAL + CHUNKED, b"1;" + FILLER),
    "tiny_chunks": (
        "HTTP/1.1 503 Busy\r\n" + OWN + NOT_RUN + CHUNKED,
        b"1\r\nx\r\n" * 10_000,
    ),
    "repeated_events": (
        "HTTP/1.1 200 OK\r\n" + OWN + SEAL + EVENTS,
        b"id: 1\ndata: x\n\n" * 1000,
    ),
    "comments": ("HTTP/1.1 200 OK\r\n" + OWN + SEAL + EVENTS, b": wait\n" * 1000),
}


def main() -> None:
    """Listen, and answer each request without an end."""
    ip, _, port = sys.argv[1].rpartition(":")
    shape = sys.argv[2]
    with socket.create_server((ip, int(port)), backlog=128) as listener:
        while True:
            connection, _ = listener.accept()
            _start_thread(_serve, connection, shape)


def _start_thread(target: Callable[..., None], *arguments: object) -> None:
    threading.Thread(target=target, args=arguments, daemon=True).start()


def _serve(connection: socket.socket, shape: str) -> None:
    head, filler = SHAPES[shape]
    with connection:
        try:
            request_id = _read_request_id(connection)
            is_open = shape == "head"
            end = "" if is_open else "\r\n"
            text = head.replace("{request_id}", request_id) + end
            connection.sendall(text.encode())
            while True:
                connection.sendall(filler)
        except OSError:
            # The host has closed the connection, as it should.
            return


def _read_request_id(connection: socket.socket) -> str:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(READ_BYTES)
        if not piece:
            raise ConnectionAbortedError("closed without a request")
        data += piece
    for line in data.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "x-rosemarystream-attempt-id":
            return value.strip()
    return ""


if __name__ == "__main__":
    main()
