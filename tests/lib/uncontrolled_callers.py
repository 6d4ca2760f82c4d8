"""Callers that pipeline requests and don't read the answers, in a process of its own.

``python -m tests.lib.uncontrolled_callers ADDRESS SHAPE CONNECTIONS BYTES SECONDS``
"""

import contextlib
import selectors
import socket
import sys
import time

HOST, KEY = "chats.example", "key-of-w1"
USUAL = (
    f"Host: {HOST}\r\nApi-Key: {KEY}\r\nX-Rosemarystream-Attempt-Id: flood\r\n"
    "X-Rosemarystream-Deadline-Ms: 10000\r\n"
)


def make_request(path: str, headers: str, body: bytes) -> bytes:
    head = f"POST {path} HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


SMALL = make_request("/look/1", USUAL, b"abc")
# One request of each shape; it is repeated up to the bytes of a connection.
SHAPES = {
    "small": SMALL,
    "bodies": make_request("/look/1", USUAL, b"b" * 90_000),
    "streams": make_request("/brief/1", USUAL, b"abc"),
    "large_answers": make_request("/bulk/1", USUAL, b"abc"),
    "bare": make_request("/look/1", f"Host: {HOST}\r\n", b"abc"),
    "unknown": make_request("/nowhere/1", USUAL, b"abc"),
    "half_heads": SMALL[:-7] + b"\r\nX-Filler: " + b"x" * 10_000,
    "idle": b"",
    "byte_readers": make_request("/bulk/1", USUAL, b"abc"),
}
CONNECT_TIMEOUT_S = 5.0
ROUND_S = 0.05


class Flood:
    """Connections that send what they can and read nothing, or single bytes."""

    def __init__(self, *, address, shape, connections, size):
        request = SHAPES[shape]
        count = size // max(1, len(request)) + 1
        self._data = memoryview((request * count)[:size])
        self._reads_bytes = shape == "byte_readers"
        self._selector = selectors.DefaultSelector()
        self._sent = {}
        for _ in range(connections):
            # A host may refuse some; the others still send.
            with contextlib.suppress(OSError):
                opened = socket.create_connection(address, CONNECT_TIMEOUT_S)
                opened.setblocking(False)
                self._sent[opened] = 0
                if size:
                    self._selector.register(opened, selectors.EVENT_WRITE)

    def run(self, seconds):
        ends_at = time.monotonic() + seconds
        while (now := time.monotonic()) < ends_at:
            for key, _ in self._selector.select(min(ROUND_S, ends_at - now)):
                self._send(key.fileobj)
            if self._reads_bytes:
                self._read_bytes()
                time.sleep(ROUND_S)
            elif not self._selector.get_map():
                time.sleep(ROUND_S)

    def _send(self, opened):
        # A caller that alternates sends one request at a time.
        most = len(SHAPES["byte_readers"]) if self._reads_bytes else 262_144
        start = self._sent[opened]
        try:
            self._sent[opened] += opened.send(self._data[start : start + most])
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(opened)
            return
        if self._sent[opened] == len(self._data):
            self._selector.unregister(opened)

    def _read_bytes(self):
        for opened in self._sent:
            with contextlib.suppress(OSError):
                opened.recv(1)


def main():
    ip, _, port = sys.argv[1].rpartition(":")
    shape, connections, size, seconds = sys.argv[2:6]
    flood = Flood(
        address=(ip, int(port)),
        shape=shape,
        connections=int(connections),
        size=int(size),
    )
    print("connected", flush=True)
    flood.run(float(seconds))


if __name__ == "__main__":
    main()
