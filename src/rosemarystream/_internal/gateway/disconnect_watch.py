"""Detection of a caller's disconnect while its request is served."""

import gevent
from gevent import socket

from rosemarystream._internal.gateway.answer_writer import CallerDisconnectedError

READ_BYTES = 65_536
# Bytes of pipelined requests that are buffered while one is being served.
MAX_PIPELINED_BYTES = 262_144


class DisconnectWatch:
    """Detects a caller's disconnect while its request is served.

    Attributes
    ----------
    data : bytes
        Pipelined bytes that were read meanwhile.
    """

    def __init__(
        self, *, opened: socket.socket, greenlet: gevent.greenlet.Greenlet
    ) -> None:
        self.data = b""
        self._socket = opened
        self._greenlet = greenlet
        # Event mask 1 (readable), and a callback, as in gevent's own socket waits.
        self._watcher = gevent.get_hub().loop.io(opened.fileno(), 1)
        self._watcher.start(self._on_readable)

    def _on_readable(self) -> None:
        try:
            data = self._socket._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.stop()
            gevent.kill(self._greenlet, CallerDisconnectedError("closed"))
            return
        self.data += data
        if len(self.data) > MAX_PIPELINED_BYTES:
            self.stop()

    def stop(self) -> None:
        """Stop the detection."""
        self._watcher.stop()
        self._watcher.close()
