"""Stand-in for the platform: object API, watches, host list, fault injection.

Faults are set with ``POST /faults``: ``{"mode": "ok" | "outage" | "slow" |
"lose_answers", "delay_ms": 0}``. Under ``lose_answers`` writes take effect but are
answered with status 500.
"""

from collections import Counter
from typing import Any

import falcon
import gevent
import msgspec
from gevent.event import Event

from standins.common import read_json, serve_app

MAX_VALUE_BYTES = 1_000_000


class Store:
    """Versioned objects; the version is the revision of the last write."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.changes: list[tuple[int, str, str]] = []
        self.changed = Event()
        self.hosts: dict[str, Any] = {}
        self.lists: list[dict[str, Any]] = [self.hosts]
        # States no era if it is 0.
        self.era = 0
        self.mode = "ok"
        self.delay = 0.0
        self.calls: Counter[str] = Counter()

    def put(self, kind: str, name: str, value: bytes, expected: int) -> int | None:
        """Write if the version is as expected; return the new one or None."""
        current = self.objects.get((kind, name), (0, b""))[0]
        if current != expected:
            return None
        self.revision += 1
        self.objects[kind, name] = self.revision, value
        self._record_change(kind, name)
        return self.revision

    def delete(self, kind: str, name: str, expected: int) -> bool:
        """Delete if the version is as expected; return whether it was."""
        if self.objects.get((kind, name), (0, b""))[0] != expected:
            return False
        del self.objects[kind, name]
        self.revision += 1
        self._record_change(kind, name)
        return True

    def _record_change(self, kind: str, name: str) -> None:
        self.changes.append((self.revision, kind, name))
        self.changed.set()
        self.changed = Event()

    def names_since(self, kind: str, after: int) -> list[str]:
        """Return the names of objects of a kind that changed after a revision."""
        if after > self.revision:
            after = 0
        return sorted({n for r, k, n in self.changes if k == kind and r > after})


class FaultMiddleware:
    """Apply the fault in force to every ``/v1/`` call."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Count the call, and delay or refuse it."""
        if not req.path.startswith("/v1/"):
            return
        self._store.calls[f"{req.method} {req.path.split('/')[2]}"] += 1
        if self._store.mode == "slow":
            gevent.sleep(self._store.delay)
        if self._store.mode == "outage":
            raise falcon.HTTPServiceUnavailable()

    def process_response(
        self, req: falcon.Request, resp: falcon.Response, resource: Any, ok: bool
    ) -> None:
        """State the era; answer writes with status 500 under ``lose_answers``."""
        if self._store.era:
            resp.set_header("Store-Era", str(self._store.era))
        if self._store.mode == "lose_answers" and req.method in ("PUT", "DELETE"):
            resp.status = 500
            resp.text = "answer lost"


class ObjectResource:
    """``/v1/objects/{kind}/{name}``."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_get(self, req, resp, kind, name):
        """Read an object."""
        found = self._store.objects.get((kind, name))
        if found is None:
            raise falcon.HTTPNotFound()
        version, value = found
        resp.content_type = falcon.MEDIA_JSON
        resp.data = b'{"version":%d,"value":%s}' % (version, value)

    def on_put(self, req, resp, kind, name):
        """Write an object if its version is that of ``If-Match``."""
        value = req.bounded_stream.read()
        if len(value) > MAX_VALUE_BYTES:
            raise falcon.HTTPContentTooLarge()
        msgspec.json.decode(value)
        expected = int(req.get_header("If-Match") or 0)
        version = self._store.put(kind, name, value, expected)
        if version is None:
            raise falcon.HTTPConflict()
        resp.media = {"version": version}

    def on_delete(self, req, resp, kind, name):
        """Delete an object if its version is that of ``If-Match``."""
        expected = int(req.get_header("If-Match") or 0)
        if not self._store.delete(kind, name, expected):
            raise falcon.HTTPConflict()
        resp.media = {}


class WatchResource:
    """``/v1/watch/{kind}``: a long poll, counted as one call."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_get(self, req, resp, kind):
        """Wait for changes of objects of a kind."""
        store = self._store
        after = req.get_param_as_int("after", default=0)
        wait = req.get_param_as_int("wait_ms", default=0) / 1000
        with gevent.Timeout(wait or 0.001, False):
            while not store.names_since(kind, after):
                store.changed.wait()
        if store.mode == "outage":
            raise falcon.HTTPServiceUnavailable()
        names = store.names_since(kind, after)
        resp.media = {"revision": store.revision, "names": names}


class HostsResource:
    """``/v1/hosts``: the delayed list of live and leaving backend servers."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_get(self, req, resp):
        """Return what changed in the list since a version."""
        after = req.get_param_as_int("after", default=0)
        current, version = self._store.hosts, len(self._store.lists) - 1
        base = after if 0 < after <= version else 0
        before = self._store.lists[base]
        resp.media = {
            "base": base,
            "version": version,
            "servers": [r for n, r in current.items() if before.get(n) != r],
            "removed": [name for name in before if name not in current],
        }


class HostsControl:
    """``/hosts``: lets tests replace the list; takes effect after ``lag_ms``."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_post(self, req, resp):
        """Replace the list of servers."""
        body = read_json(req)
        gevent.spawn_later(body.get("lag_ms", 0) / 1000, self._set, body["servers"])
        resp.media = {}

    def _set(self, servers):
        self._store.hosts = {server["name"]: server for server in servers}
        self._store.lists.append(self._store.hosts)


class FaultsControl:
    """``/faults``: lets tests set the fault and read the call counters."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def on_post(self, req, resp):
        """Set the fault in force."""
        body = read_json(req)
        self._store.mode = body["mode"]
        self._store.delay = body.get("delay_ms", 0) / 1000
        resp.media = {}

    def on_get(self, req, resp):
        """Return the call counters."""
        resp.media = dict(self._store.calls)


def make_app(store: Store) -> falcon.App:
    """Return the platform's application."""
    app = falcon.App(middleware=[FaultMiddleware(store)])
    app.add_route("/v1/objects/{kind}/{name}", ObjectResource(store))
    app.add_route("/v1/watch/{kind}", WatchResource(store))
    app.add_route("/v1/hosts", HostsResource(store))
    app.add_route("/hosts", HostsControl(store))
    app.add_route("/faults", FaultsControl(store))
    return app


def run(port: int) -> None:
    """Serve the platform on a loopback port."""
    serve_app(make_app(Store()), port)
