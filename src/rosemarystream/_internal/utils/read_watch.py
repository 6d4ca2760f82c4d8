"""Interruption of a greenlet once a socket has something to read."""

from types import TracebackType

import gevent
from gevent import socket

# Event mask "readable", as in gevent's own socket waits.
_READABLE = 1


class ReadWatch:
    """Raises an error in the current greenlet once a socket has something to read.

    Nothing is raised after the end of the ``with`` block.

    Parameters
    ----------
    opened : socket
        The socket; nothing else may read from it meanwhile.
    error : BaseException
        What is raised, wherever the greenlet waits.
    delay_s : float
        Time for which the socket isn't watched yet, in seconds.
    """

    def __init__(
        self, *, opened: socket.socket, error: BaseException, delay_s: float
    ) -> None:
        loop = gevent.get_hub().loop
        self._error = error
        self._greenlet = gevent.getcurrent()
        self._readable = loop.io(opened.fileno(), _READABLE)
        self._timer = loop.timer(delay_s)

    def __enter__(self) -> None:
        self._timer.start(self._readable.start, self._interrupt)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for watcher in (self._timer, self._readable):
            watcher.stop()
            watcher.close()

    def _interrupt(self) -> None:
        self._readable.stop()
        # At once, as the block may have ended by the next turn of the loop.
        self._greenlet.throw(self._error)
