"""Stand-in for the platform's object store, by its published protocol.

Objects have a kind and a name; every change increments one revision counter. A
test sets `fault` to make the store fail in the ways that the protocol names.
"""

import json
from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from msgspec import Raw
from msgspec.json import encode

PAGE_SIZE = 50
MAX_CALLS = 1000
MAX_WAIT_S = 30.0
# An object as a dict, or as the text that is sent for it.
_Item = dict[str, Any] | Raw


class StoreFault(StrEnum):
    """Fault that the store injects into all calls."""

    NONE = "none"
    BUSY = "busy"
    UNRESPONSIVE = "silent"


class StoreCopy(NamedTuple):
    """What a store has at a moment."""

    revision: int
    objects: dict[str, dict[str, _Item]]
    history: list[tuple[int, str, _Item, bool]]
    oldest: int


class ObjectStore:
    """The object store, kept in memory.

    Parameters
    ----------
    address : tuple of (str, int)
        Address on which it listens.

    Attributes
    ----------
    stated_era : int or None
        The era that all answers state; None if they state none.
    refused, unanswered : set of str
        Addresses of the store at which calls get 503, or no answer; calls that wait
        there already get none either. All callers on loopback have one IP address, so
        a test tells them apart by the address that each of them calls.
    """

    def __init__(self, *, address: tuple[str, int]) -> None:
        self.address = f"{address[0]}:{address[1]}"
        self.revision = 1
        self.fault = StoreFault.NONE
        self.stated_era: int | None = None
        self.refused: set[str] = set()
        self.unanswered: set[str] = set()
        self.calls: list[str] = []
        self._objects: dict[str, dict[str, _Item]] = {}
        self._history: list[tuple[int, str, _Item, bool]] = []
        self._oldest = 0
        self._changed = Event()
        self._servers = [self._make_server(address)]

    def _make_server(self, address: tuple[str, int]) -> WSGIServer:
        return WSGIServer(
            address, self._serve, spawn=Pool(MAX_CALLS), log=None, error_log=None
        )

    def add_address(self, address: tuple[str, int]) -> str:
        """Listen on one more address and return it as ``ip:port``."""
        server = self._make_server(address)
        server.start()
        self._servers.append(server)
        return f"{address[0]}:{address[1]}"

    def start(self) -> None:
        """Start listening."""
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Stop listening and abort open calls."""
        for server in self._servers:
            server.stop(timeout=0)

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as its owner would and return the revision.

        Content of type `Raw` is sent as it is.
        """
        self.revision += 1
        known = self._objects.setdefault(kind, {}).get(name)
        is_known = isinstance(known, dict)
        created = known["metadata"]["create-rev"] if is_known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create-rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind][name] = item
        self._record_change(kind, item, False)
        return self.revision

    def write_text(self, kind: str, name: str, text: bytes) -> int:
        """Write an object whose whole text, with its metadata, is sent as it is."""
        self.revision += 1
        item = Raw(text)
        self._objects.setdefault(kind, {})[name] = item
        self._record_change(kind, item, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._record_change(kind, item, True)

    def drop_history(self) -> None:
        """Drop the change history; watches from earlier revisions get 410."""
        self._history.clear()
        self._oldest = self.revision + 1
        self.revision += 1
        self._notify_watches()

    def save_copy(self) -> StoreCopy:
        """Return a copy of all that the store has."""
        objects = {kind: {**group} for kind, group in self._objects.items()}
        return StoreCopy(self.revision, objects, [*self._history], self._oldest)

    def load_copy(self, copy: StoreCopy) -> None:
        """Go back to a copy; what was written since is lost, and the era rises.

        Calls that wait go on to wait, as for changes after their revisions.
        """
        self.revision, objects, history, self._oldest = copy
        self._objects = {kind: {**group} for kind, group in objects.items()}
        self._history = [*history]
        self.stated_era = (self.stated_era or 0) + 1

    def _record_change(self, kind: str, item: _Item, deleted: bool) -> None:
        self._history.append((self.revision, kind, item, deleted))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = Event()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        path = environ["PATH_INFO"].split("/")[3:]
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        method = environ["REQUEST_METHOD"]
        self.calls.append(f"{method} {environ['PATH_INFO']}?{environ['QUERY_STRING']}")
        if self.fault is StoreFault.UNRESPONSIVE:
            gevent.sleep(MAX_WAIT_S)
        called = environ["HTTP_HOST"]
        if self.fault is StoreFault.BUSY or called in self.refused:
            status, body = "503 Service Unavailable", {"error": "busy"}
        elif method == "GET":
            status, body = self._read(path, query)
        else:
            text = environ["wsgi.input"].read() or b"{}"
            status, body = self._change(method, path, json.loads(text))
        if called in self.unanswered:
            gevent.sleep(MAX_WAIT_S)
        data = encode(body)
        headers = [("Content-Type", "application/json")]
        headers.append(("Content-Length", str(len(data))))
        if self.stated_era is not None:
            headers.append(("Store-Era", str(self.stated_era)))
        start_response(status, headers)
        return [data]

    def _read(self, path: list[str], query: dict[str, str]) -> tuple[str, Any]:
        objects = self._objects.get(path[0], {})
        if len(path) > 1:
            found = objects.get(path[1])
            return ("200 OK", found) if found else ("404 Not Found", {})
        if "watch" in query:
            return self._watch(path[0], int(query["watch"]), query)
        names = sorted(name for name in objects if name > query.get("after", ""))
        return "200 OK", {
            "items": [objects[name] for name in names[:PAGE_SIZE]],
            "more": len(names) > PAGE_SIZE,
            "current-rev": self.revision,
        }

    def _watch(
        self, kind: str, revision: int, query: dict[str, str]
    ) -> tuple[str, Any]:
        wait_s = min(MAX_WAIT_S, int(query.get("wait-ms", "0")) / 1000)
        with gevent.Timeout(wait_s, False):
            while revision >= self._oldest and not self._list_events(kind, revision):
                if revision > self.revision:
                    return "410 Gone", {}
                self._changed.wait()
        # A change may have come at the same moment as the end of the wait.
        if revision < self._oldest:
            return "410 Gone", {}
        events = self._list_events(kind, revision)
        return "200 OK", {"events": events, "current-rev": self.revision}

    def _list_events(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "deleted": deleted}
            for at, changed, item, deleted in self._history
            if changed == kind and at > revision
        ]

    def _change(
        self, method: str, path: list[str], body: dict[str, Any]
    ) -> tuple[str, Any]:
        objects = self._objects.setdefault(path[0], {})
        name = path[1] if len(path) > 1 else body["metadata"]["name"]
        if method == "POST" and name in objects:
            return "409 Conflict", objects[name]
        if method != "POST" and name not in objects:
            return "404 Not Found", {}
        if method == "DELETE":
            self.remove(path[0], name)
            return "200 OK", {}
        self.write(path[0], name, body.get("spec"))
        return "200 OK", objects[name]
