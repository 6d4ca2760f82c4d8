"""Stand-in for a store that comes back from a copy, as in a drill of the platform.

While it is away it answers 503, also to calls that wait.
"""

import copy
from collections.abc import Iterable
from typing import Any, NamedTuple

from standins.object_store import ObjectStore


class _Copy(NamedTuple):
    revision: int
    objects: dict
    history: list


class DrillStore(ObjectStore):
    """The object store, with the header `Store-Era` and copies of itself."""

    def __init__(self, *, address):
        super().__init__(address=address)
        self.era = 1
        self._is_away = False
        self._copies: list[_Copy] = []
        # What the operator and the servers have written last, by kind and name.
        self._written: dict[tuple[str, str], Any] = {}

    def write_as_owner(self, kind, name, spec):
        """Write for the operator or a server; None if the store is away."""
        self._written[kind, name] = spec
        return None if self._is_away else self.write(kind, name, spec)

    def remove_as_owner(self, kind, name):
        """Remove for the operator or a server."""
        self._written.pop((kind, name), None)
        self.remove(kind, name)

    def take_copy(self):
        """Keep a copy of all objects."""
        objects = copy.deepcopy(self._objects)
        self._copies.append(_Copy(self.revision, objects, [*self._history]))

    def go_away(self):
        """Answer nothing from now on."""
        self._is_away = True
        self._notify_watches()

    def come_back(self):
        """Come back from the last copy; owners write again what is missing."""
        kept = self._copies.pop()
        self.revision = kept.revision
        self._objects = kept.objects
        self._history = kept.history
        self.era += 1
        self._is_away = False
        for (kind, name), spec in self._written.items():
            self.write(kind, name, spec)
        for kind in ("servers", "config", "evacuations"):
            for name in [*self._objects.get(kind, {})]:
                if (kind, name) not in self._written:
                    self.remove(kind, name)
        self._notify_watches()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        def start(status, headers):
            headers.append(("Store-Era", str(self.era)))
            return start_response(status, headers)

        if self._is_away:
            return self._refuse(start)
        return super()._serve(environ, start)

    def _refuse(self, start) -> Iterable[bytes]:
        start("503 Service Unavailable", [("Content-Length", "0")])
        return [b""]

    def _watch(self, kind, revision, query):
        era = self.era
        if revision > self.revision:
            return "410 Gone", {}
        status, body = super()._watch(kind, revision, query)
        if self._is_away or era != self.era:
            return "503 Service Unavailable", {}
        return status, body
