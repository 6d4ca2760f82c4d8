"""Stand-in for a plain service that counts its runs by the payload's id."""

import time
from collections import Counter, deque
from typing import Any

import falcon
import gevent

from standins.common import read_json, serve_app


class Ledger:
    """State of one plain service."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.name = options["name"]
        self.work_ms = options.get("work_ms", 5)
        self.lag = options.get("load_lag_ms", 200) / 1000
        self.incarnation = options.get("incarnation", 1)
        self.leaving = False
        self.refuse = False
        self.running = 0
        self.peak = 0
        self.runs: Counter[str] = Counter()
        self._loads: deque[tuple[float, int]] = deque([(0.0, 0)])

    def record_change(self, change: int) -> None:
        """Record the start (1) or the end (-1) of a call."""
        self.running += change
        self.peak = max(self.peak, self.running)
        self._loads.append((time.monotonic(), self.running))

    def get_reported_load(self) -> int:
        """Return the load as it was `lag` seconds ago."""
        horizon = time.monotonic() - self.lag
        while len(self._loads) > 1 and self._loads[1][0] <= horizon:
            self._loads.popleft()
        return self._loads[0][1]


class CallsResource:
    """``POST /v1/calls``."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def on_post(self, req, resp):
        """Run one call."""
        ledger = self._ledger
        resp.set_header("X-Request-Id", req.get_header("X-Request-Id") or "")
        body = read_json(req)
        if "id" not in body:
            # gevent.pywsgi passes on a truncated request as if it were complete.
            raise falcon.HTTPBadRequest(description="incomplete request")
        if ledger.refuse:
            resp.status = 503
            resp.set_header("X-Not-Run", "1")
            resp.media = {}
            return
        ledger.record_change(1)
        ledger.runs[body["id"]] += 1
        try:
            gevent.sleep(body.get("work_ms", ledger.work_ms) / 1000)
        finally:
            ledger.record_change(-1)
        resp.media = {"id": body["id"], "by": ledger.name}


class StateResource:
    """``GET /v1/state``."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def on_get(self, req, resp):
        """Report the state; the load is that of `lag` seconds ago."""
        resp.media = {
            "incarnation": self._ledger.incarnation,
            "running": self._ledger.get_reported_load(),
            "models": [],
            "adapters": [],
            "leaving": self._ledger.leaving,
        }


class ControlResource:
    """``/control``: lets tests read counters and set attributes."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def on_get(self, req, resp):
        """Return the counters."""
        resp.media = {"runs": dict(self._ledger.runs), "peak": self._ledger.peak}

    def on_post(self, req, resp):
        """Set attributes of the service by name."""
        for name, value in read_json(req).items():
            setattr(self._ledger, name, value)
        resp.media = {}


def run(port: int, options: dict[str, Any]) -> None:
    """Serve a plain service on a port."""
    ledger = Ledger(options)
    app = falcon.App()
    app.add_route("/v1/calls", CallsResource(ledger))
    app.add_route("/v1/state", StateResource(ledger))
    app.add_route("/control", ControlResource(ledger))
    serve_app(app, port)
