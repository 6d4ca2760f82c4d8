"""Recalls of servers, models and adapters, replicated as grow-only sets.

Hosts merge their sets by union, so the order of messages does not matter.
"""

from collections.abc import Iterable
from typing import Any

from xxhash import xxh3_64_intdigest

from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.configuration import Recall, RecallKind
from rosemarystream._internal.models.events import (
    RecallSetsLearned,
    ServerReported,
    ServingChanged,
)
from rosemarystream._internal.models.messages import RecallSets
from rosemarystream._internal.models.server import BackendServer, ServerReport


def merge_recalls(one: RecallSets, other: RecallSets) -> RecallSets:
    """Return the union of two recall sets; commutative, associative, idempotent."""
    added = {recall.recall_id: recall for recall in (*one.added, *other.added)}
    return RecallSets(
        added=tuple(added[key] for key in sorted(added)),
        lifted=tuple(sorted({*one.lifted, *other.lifted})),
    )


def digest_recalls(sets: RecallSets) -> int:
    """Return a digest of recall sets, the same for equal sets."""
    ids = ",".join(sorted(recall.recall_id for recall in sets.added))
    lifted = ",".join(sorted(sets.lifted))
    return xxh3_64_intdigest(f"{ids}|{lifted}".encode())


class Recalls(Service):
    """Tracks the recalls in force and the servers that they withdraw.

    A recall is in force from the moment that this host receives it until it
    receives that its id was lifted. Late or repeated messages have no effect.
    """

    name = "recalls"
    handles = (RecallSetsLearned, ServerReported)

    def __init__(self) -> None:
        self._sets = RecallSets(added=(), lifted=())
        self._digest = digest_recalls(self._sets)
        self._active: dict[RecallKind, dict[str, str]] = {}
        self._reports: dict[str, ServerReport] = {}

    @property
    def sets(self) -> RecallSets:
        """All recalls and lifted ids that this host knows."""
        return self._sets

    @property
    def digest(self) -> int:
        """Digest of `sets`, sent with heartbeats."""
        return self._digest

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Merge recall sets, or record what a server has loaded."""
        if isinstance(event, ServerReported):
            return self._record_report(event)
        return self._merge(event.sets)

    def _merge(self, sets: RecallSets) -> list[Any]:
        merged = merge_recalls(self._sets, sets)
        if merged == self._sets:
            return []
        self._sets = merged
        self._digest = digest_recalls(merged)
        self._active = {kind: {} for kind in RecallKind}
        for recall in self.list_active():
            self._active[recall.kind][recall.target] = recall.recall_id
        return [ServingChanged(server="")]

    def _record_report(self, event: ServerReported) -> list[Any]:
        before = self._reports.get(event.server)
        self._reports[event.server] = event.report
        if before is None:
            return [ServingChanged(server=event.server)]
        loaded = event.report.models, event.report.adapters, event.report.leaving
        if loaded == (before.models, before.adapters, before.leaving):
            return []
        return [ServingChanged(server=event.server)]

    def forget_servers(self, kept: set[str]) -> None:
        """Delete the reports of all servers but `kept`."""
        self._reports = {n: r for n, r in self._reports.items() if n in kept}

    def list_active(self) -> list[Recall]:
        """Return the recalls in force: those that are not lifted."""
        lifted = set(self._sets.lifted)
        return [r for r in self._sets.added if r.recall_id not in lifted]

    def find_recall(self, server: BackendServer) -> str | None:
        """Return the id of a recall in force for a server, or None.

        The recall may be of the server, or of a model or adapter that it reports
        as loaded.
        """
        by_name = self._active.get(RecallKind.SERVER, {}).get(server.name)
        if by_name is not None:
            return by_name
        report = self._reports.get(server.name)
        if report is None:
            return None
        return self._find_match(RecallKind.MODEL, report.models) or self._find_match(
            RecallKind.ADAPTER, report.adapters
        )

    def _find_match(self, kind: RecallKind, loaded: tuple[str, ...]) -> str | None:
        targets = self._active.get(kind, {})
        return next((targets[name] for name in loaded if name in targets), None)

    def is_model_recalled(self, model: str, version: str) -> bool:
        """Return whether a model version is recalled."""
        return f"{model}@{version}" in self._active.get(RecallKind.MODEL, {})

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether the platform or the server itself states that it leaves."""
        report = self._reports.get(server.name)
        return server.leaving or (report is not None and report.leaving)

    def dump(self) -> dict[str, Any]:
        """Return the recalls in force and the number of lifted ids."""
        return {
            "active": [recall._asdict() for recall in self.list_active()],
            "lifted": len(self._sets.lifted),
        }
