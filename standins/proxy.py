"""TCP proxy that injects faults between two processes.

``POST /control`` on its control port sets the fault: ``{"mode": "pass" |
"cut" | "freeze" | "delay" | "refuse", "delay_ms", "after_up_bytes",
"after_down_bytes"}``. ``cut`` closes every connection and ``freeze`` stops relaying
on it, also on open connections with ``"open": true``; with a byte count they apply
once that many bytes have passed on a new connection. ``"only": "POST"`` exempts
connections that begin with other bytes.
"""

import contextlib
from typing import Any

import falcon
import gevent
from gevent import socket
from gevent.server import StreamServer

from standins.common import read_json, serve_app

BLOCK_BYTES = 16_384


class Fault:
    """Fault that applies to connections opened while it is set."""

    def __init__(self, body: dict[str, Any]) -> None:
        self.mode = body.get("mode", "pass")
        self.only = body.get("only", "").encode()
        self.delay = body.get("delay_ms", 0) / 1000
        self.limits = {
            "up": body.get("after_up_bytes"),
            "down": body.get("after_down_bytes"),
        }

    def triggers(self, direction: str, passed: int) -> bool:
        """Return whether the fault applies after a number of passed bytes."""
        if self.mode not in ("cut", "freeze"):
            return False
        if self.limits["up"] is None and self.limits["down"] is None:
            return True
        limit = self.limits[direction]
        return limit is not None and passed >= limit

    def remaining_bytes(self, direction: str, passed: int) -> int | None:
        """Return how many more bytes may pass, or None for no limit."""
        limit = self.limits[direction]
        if self.mode not in ("cut", "freeze") or limit is None:
            return None
        return limit - passed


class Link:
    """A proxied connection."""

    def __init__(self, down: socket.socket, up: socket.socket, fault: Fault) -> None:
        self.fault = fault
        self._down = down
        self._up = up
        self._frozen = False

    def run(self) -> None:
        """Relay both directions until one ends."""
        relays = [
            gevent.spawn(self._relay, self._down, self._up, "up"),
            gevent.spawn(self._relay, self._up, self._down, "down"),
        ]
        gevent.joinall(relays, count=1)
        if not self._frozen:
            gevent.joinall(relays, timeout=0.2)
        self.close()
        gevent.killall(relays)

    def _relay(self, source, target, direction: str) -> None:
        passed = 0
        while True:
            try:
                data = source.recv(BLOCK_BYTES)
            except OSError:
                return
            if direction == "up" and not passed:
                self._exempt_connection(data)
            if self._apply_fault(direction, passed):
                return
            if not data:
                self._shut_down_writes(target)
                return
            remaining_bytes = self.fault.remaining_bytes(direction, passed)
            if self.fault.delay:
                gevent.sleep(self.fault.delay)
            try:
                target.sendall(
                    data if remaining_bytes is None else data[:remaining_bytes]
                )
            except OSError:
                return
            passed += len(data)
            if self._apply_fault(direction, passed):
                return

    def _exempt_connection(self, data: bytes) -> None:
        if not data.startswith(self.fault.only):
            self.fault = Fault({})

    def _apply_fault(self, direction: str, passed: int) -> bool:
        if not self.fault.triggers(direction, passed):
            return False
        if self.fault.mode == "cut":
            self.close()
            return True
        self._frozen = True
        while True:
            gevent.sleep(3600)

    def _shut_down_writes(self, target) -> None:
        try:
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Close both ends."""
        for end in (self._down, self._up):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class Proxy:
    """Proxy that listens on one port and connects to one target."""

    def __init__(self, port: int, target: str) -> None:
        host, _, target_port = target.rpartition(":")
        self._target = host, int(target_port)
        self.fault = Fault({})
        self.links: list[Link] = []
        self._server = StreamServer(("127.0.0.1", port), self._handle)
        self._server.start()

    def _handle(self, down: socket.socket, address: Any) -> None:
        if self.fault.mode == "refuse":
            down.close()
            return
        try:
            up = socket.create_connection(self._target, timeout=2)
        except OSError:
            down.close()
            return
        up.settimeout(None)
        link = Link(down, up, self.fault)
        self.links.append(link)
        try:
            link.run()
        finally:
            self.links.remove(link)


class ControlResource:
    """``/control``: lets tests set the fault."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy

    def on_post(self, req, resp):
        """Set the fault for new connections, with ``open`` for open ones too."""
        body = read_json(req)
        self._proxy.fault = Fault(body)
        if body.get("open"):
            for link in list(self._proxy.links):
                link.fault = self._proxy.fault
                if body["mode"] == "cut":
                    link.close()
        resp.media = {"open": len(self._proxy.links)}


def run(port: int, control_port: int, target: str) -> None:
    """Serve a proxy and its control port."""
    proxy = Proxy(port, target)
    app = falcon.App()
    app.add_route("/control", ControlResource(proxy))
    serve_app(app, control_port)
