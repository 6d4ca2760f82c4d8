"""HTTP servers of the process."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from logbook import Logger

from rosemarystream._internal.utils.address import split_address

log = Logger(__name__)

HEAD_TIMEOUT_SECONDS = 10.0


class _RequestHandler(WSGIHandler):
    """Gives up connections whose request head does not arrive in time."""

    def read_request(self, raw_requestline: str) -> Any:
        with gevent.Timeout(HEAD_TIMEOUT_SECONDS, ConnectionAbortedError("slow head")):
            return super().read_request(raw_requestline)

    def log_error(self, msg: str, *args: Any) -> None:
        log.debug("http: {}", msg % args if args else msg)


class _ErrorLog:
    """Takes what the server library writes of broken connections."""

    def write(self, text: str) -> None:
        """Log one piece of text."""
        if text.strip():
            log.notice("http server: {}", text.strip())

    def flush(self) -> None:
        """Do nothing; every write is complete."""


def make_http_server(
    address: str, app: Callable[..., Any], *, max_connections: int | None = None
) -> WSGIServer:
    """Return a server for an application that is not started yet."""
    return WSGIServer(
        split_address(address),
        app,
        spawn=max_connections or "default",
        handler_class=_RequestHandler,
        log=None,
        error_log=_ErrorLog(),
    )
