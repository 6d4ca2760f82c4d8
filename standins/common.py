"""Helpers shared by the stand-ins: serve an application, read JSON."""

import signal
from typing import Any

import falcon
import gevent
import msgspec
from gevent.pywsgi import WSGIServer


def read_json(req: falcon.Request) -> Any:
    """Return the JSON body of a request; an empty body gives an empty dict."""
    data = req.bounded_stream.read()
    return msgspec.json.decode(data) if data else {}


def serve_app(app: falcon.App, port: int) -> None:
    """Serve an application on a loopback port until SIGTERM arrives."""
    server = WSGIServer(("127.0.0.1", port), app, log=None, error_log=None)
    server.start()
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    stopped.wait()
    server.stop(timeout=0.1)
