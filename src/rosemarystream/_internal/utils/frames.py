"""Frames on a stream socket: the length in four bytes, then the data."""

import struct
from collections.abc import Callable

from gevent import socket

# An object of the store has at most about 1 MB, and the servers of a large fleet take
# less than that.
MAX_FRAME_BYTES = 4_000_000
READ_BYTES = 65_536

_LENGTH = struct.Struct("!I")


def send_frame(connection: socket.socket, data: bytes) -> None:
    """Send data as one frame."""
    connection.sendall(_LENGTH.pack(len(data)) + data)


def receive_frame(
    connection: socket.socket, on_piece: Callable[[], None] = lambda: None
) -> bytes:
    """Return the data of the next frame.

    Parameters
    ----------
    on_piece : callable
        Called whenever a part of the frame has arrived.

    Raises
    ------
    OSError
        If the connection ends within the frame, or the frame is too long.
    """
    head = _receive_exactly(connection, _LENGTH.size, on_piece)
    (length,) = _LENGTH.unpack(head)
    if length > MAX_FRAME_BYTES:
        raise ConnectionAbortedError(f"a frame of {length} bytes is too long")
    return _receive_exactly(connection, length, on_piece)


def _receive_exactly(
    connection: socket.socket, length: int, on_piece: Callable[[], None]
) -> bytes:
    data = bytearray()
    while len(data) < length:
        piece = connection.recv(min(READ_BYTES, length - len(data)))
        if not piece:
            raise ConnectionAbortedError("the connection closed within a frame")
        data += piece
        on_piece()
    return bytes(data)
