"""Creates the HTTP servers of a host process."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from logbook import Logger

from rosemarystream._internal.utils.address import split_address

log = Logger(__name__)

HEAD_TIMEOUT_SECONDS = 10.0


class _RequestHandler(WSGIHandler):
    """Closes connections whose request head takes too long to arrive."""

    def read_request(self, raw_requestline: str) -> Any:
        with gevent.Timeout(
            HEAD_TIMEOUT_SECONDS, ConnectionAbortedError("request head too slow")
        ):
            return super().read_request(raw_requestline)

    def log_error(self, msg: str, *args: Any) -> None:
        log.debug("http: {}", msg % args if args else msg)


class _ErrorLog:
    """File-like object that logs what the server library reports of connections."""

    def write(self, text: str) -> None:
        """Log a text of the server library."""
        if text.strip():
            log.notice("http server: {}", text.strip())

    def flush(self) -> None:
        """Do nothing: writes are not buffered."""


def make_http_server(
    address: str, app: Callable[..., Any], *, max_connections: int | None = None
) -> WSGIServer:
    """Return an HTTP server for a WSGI application, not started yet.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    app : callable
        WSGI application.
    max_connections : int, optional
        Most connections served at a time; no limit if left out.
    """
    return WSGIServer(
        split_address(address),
        app,
        spawn=max_connections or "default",
        handler_class=_RequestHandler,
        log=None,
        error_log=_ErrorLog(),
    )
