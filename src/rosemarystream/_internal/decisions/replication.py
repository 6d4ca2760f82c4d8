"""Replication of configuration, server list and recalls between hosts.

Heartbeats contain versions and digests; a host that is behind requests the newer
state from the sender. So only a few hosts of each data centre watch the platform,
and the number of watches grows with the data centres instead of the hosts.
"""

from collections.abc import Iterable
from typing import Any

from rosemarystream._internal.decisions.configuration import Configuration
from rosemarystream._internal.decisions.recalls import Recalls
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import (
    ContinueReplication,
    DocumentLearned,
    HostListLearned,
    ManifestLearned,
    RecallSetsLearned,
    SendMessage,
)
from rosemarystream._internal.models.messages import (
    Heartbeat,
    StateAnswer,
    StateRequest,
)

REQUEST_INTERVAL_SECONDS = 0.2
MAX_ANSWER_BYTES = 512 * 1024


class Replication(Service):
    """Requests newer state from peers and answers their requests.

    Parameters
    ----------
    address : str
        Control address of this host.
    configuration : Configuration
        Holds the manifest, its documents and the server list.
    recalls : Recalls
        Holds the recall sets.
    """

    name = "replication"
    handles = (Heartbeat, StateRequest, StateAnswer, ContinueReplication)

    def __init__(
        self, *, address: str, configuration: Configuration, recalls: Recalls
    ) -> None:
        self._address = address
        self._configuration = configuration
        self._recalls = recalls
        self._requested_at: dict[str, float] = {}

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Handle a heartbeat, a request, an answer or a continuation."""
        if isinstance(event, Heartbeat):
            return self._compare(event, now)
        if isinstance(event, StateRequest):
            return self._answer(event)
        if isinstance(event, ContinueReplication):
            return self._request_remaining(event.address)
        return self._unpack_answer(event)

    def _request_remaining(self, address: str) -> list[Any]:
        if not self._configuration.missing_documents():
            return []
        return [self._request_state(address)]

    def _compare(self, heartbeat: Heartbeat, now: float) -> list[Any]:
        configuration = self._configuration
        is_behind = (
            heartbeat.generation > configuration.generation
            or heartbeat.hosts_version > configuration.hosts_version
            or heartbeat.recalls_digest != self._recalls.digest
        )
        requested_at = self._requested_at.get(heartbeat.host.name, 0.0)
        if not is_behind or now < requested_at + REQUEST_INTERVAL_SECONDS:
            return []
        self._requested_at[heartbeat.host.name] = now
        return [self._request_state(heartbeat.host.peer_address)]

    def _request_state(self, address: str) -> SendMessage:
        request = StateRequest(
            address=self._address,
            generation=self._configuration.known_generation,
            hosts_version=self._configuration.hosts_version,
            recalls_digest=self._recalls.digest,
            documents=self._configuration.missing_documents(),
        )
        return SendMessage(address=address, message=request)

    def _answer(self, request: StateRequest) -> list[Any]:
        configuration = self._configuration
        manifest = configuration.manifest
        answer = StateAnswer(
            address=self._address,
            manifest=manifest if manifest.generation > request.generation else None,
            documents=self._collect_documents(request.documents),
            hosts=configuration.host_list.changes_since(request.hosts_version),
            recalls=(
                self._recalls.sets
                if self._recalls.digest != request.recalls_digest
                else None
            ),
        )
        return [SendMessage(address=request.address, message=answer)]

    def _collect_documents(self, digests: tuple[str, ...]) -> dict[str, bytes]:
        documents: dict[str, bytes] = {}
        size = 0
        for digest in digests:
            content = self._configuration.find_document(digest)
            if content is None:
                continue
            size += len(content)
            if documents and size > MAX_ANSWER_BYTES:
                break
            documents[digest] = content
        return documents

    def _unpack_answer(self, answer: StateAnswer) -> list[Any]:
        events: list[Any] = []
        if answer.recalls is not None:
            events.append(RecallSetsLearned(sets=answer.recalls))
        if answer.hosts is not None:
            events.append(HostListLearned(hosts=answer.hosts))
        if answer.manifest is not None:
            events.append(ManifestLearned(manifest=answer.manifest))
        for digest, content in answer.documents.items():
            events.append(DocumentLearned(digest=digest, content=content))
        if answer.manifest is not None or answer.documents:
            events.append(ContinueReplication(address=answer.address))
        return events

    def dump(self) -> dict[str, Any]:
        """Return the number of peers that state was requested from."""
        return {"asked": len(self._requested_at)}
