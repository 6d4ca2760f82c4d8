"""Pulls of newer state from other hosts, over TCP.

The configuration and the servers are pulled separately, so that a long
configuration on a slow link doesn't delay the change that a server leaves.
"""

import zlib
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer
from logbook import Logger

from rosemarystream._internal.decisions.cold_servers import ColdServers
from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.pull_plan import PullPlan, StateKind
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.era_codec import decode_evacuations
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.state_answers import (
    StateAnswers,
    read_cold_rows,
    read_delta,
)
from rosemarystream._internal.gateway.store_watches import accept_document
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.gossip import (
    CrashUpdates,
    PullAnswer,
    PullRequest,
)
from rosemarystream._internal.models.log_entries.hosts import (
    PullFailed,
    PullUnanswered,
    UpdatesPulled,
)
from rosemarystream._internal.models.log_entries.servers import ServerEntryInvalid
from rosemarystream._internal.models.log_entries.store import ConfigurationInvalid
from rosemarystream._internal.platform.documents import DocumentError, check_endpoint
from rosemarystream._internal.platform.store import CONFIGURATION, CONFIGURATION_NAME
from rosemarystream._internal.utils.frames import receive_frame, send_frame
from rosemarystream._internal.utils.wire import decode_message

log = Logger(__name__)

# Time for a whole pull, and the longest silence within one.
PULL_TIMEOUT_S = 4.0
SILENCE_TIMEOUT_S = 1.0
# Hosts that a host asks for the map of cached prompt parts after its start.
CONTEXT_PULLS = 3
MAX_DOCUMENT_BYTES = 4_000_000
# Kind of the entries of servers that other hosts pass on, in the state dump.
PASSED_ON = "servers-passed-on"

_request_decoder = msgspec.msgpack.Decoder(PullRequest)
_answer_decoder = msgspec.msgpack.Decoder(PullAnswer)
_endpoint_decoder = msgspec.msgpack.Decoder(Endpoint)
_encode = msgspec.msgpack.encode


class RefusedDocumentError(Exception):
    """The configuration that a host has passed on can't be used."""


class StatePuller:
    """Pulls newer state from other hosts, and serves their pulls.

    Parameters
    ----------
    address : tuple of (str, int)
        Where this host listens; the port is the same on all hosts.
    on_change : callable
        Called after the replica has changed.
    supervisor : Supervisor
        Runs the pulls.
    ignored : IgnoredObjects
        Records the invalid objects of other hosts.
    cold : ColdServers
        The servers that are cold.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        clock: Callable[[], float],
        replica: Replica,
        contexts: ContextMap,
        blocks: PromptBlocks,
        on_change: Callable[[], None],
        supervisor: Supervisor,
        ignored: IgnoredObjects | None = None,
        evacuations: Evacuations | None = None,
        cold: ColdServers | None = None,
    ) -> None:
        self._cold = cold or ColdServers()
        self._ignored = ignored or IgnoredObjects()
        self._evacuations = evacuations or Evacuations()
        self._port = address[1]
        self._clock = clock
        self._replica = replica
        self._contexts = contexts
        self._blocks = blocks
        self._contexts_from: set[str] = set()
        self._on_change = on_change
        self._supervisor = supervisor
        self._plan = PullPlan()
        self._answers = StateAnswers(
            clock=clock,
            replica=replica,
            contexts=contexts,
            blocks=blocks,
            evacuations=self._evacuations,
            cold=self._cold,
        )
        self._server = StreamServer(address, self._serve_safely)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def pull_servers(self, ip: str) -> None:
        """Pull changes of the servers from a host, if it is its turn."""
        position = self._replica.position
        request = PullRequest(None, position.revision, era=position.era)
        self._start_pull(StateKind.SERVERS, ip, request)

    def pull_document(self, ip: str) -> None:
        """Pull the configuration from a host, if it is its turn."""
        request = PullRequest(self._replica.version, None)
        self._start_pull(StateKind.DOCUMENT, ip, request)

    def pull_contexts(self, ip: str) -> None:
        """Pull the map of cached prompt parts from the first hosts in contact.

        One of them may have just started as well, so several are asked, each once.
        """
        if ip in self._contexts_from or len(self._contexts_from) >= CONTEXT_PULLS:
            return
        era = self._replica.position.era
        request = PullRequest(None, None, wants_contexts=True, era=era)
        if self._start_pull(StateKind.CONTEXTS, ip, request):
            self._contexts_from.add(ip)

    def _start_pull(self, kind: StateKind, ip: str, request: PullRequest) -> bool:
        """Start a pull if it is the host's turn; return whether it was started."""
        if not self._plan.begin(kind, ip, self._clock()):
            return False
        self._supervisor.start_task("pull", self._pull, kind, ip, request)
        return True

    def _pull(self, kind: StateKind, ip: str, request: PullRequest) -> None:
        is_applied = False
        try:
            self._accept(self._exchange(kind, ip, request), ip)
            is_applied = True
        except (
            OSError,
            gevent.Timeout,
            msgspec.DecodeError,
            RefusedDocumentError,
        ) as error:
            write_log_entry(log, PullFailed(state=kind, ip=ip, error=str(error)))
        finally:
            if is_applied:
                self._plan.record_success(kind, ip)
            else:
                self._plan.record_failure(kind, ip, self._clock())

    def _exchange(self, kind: StateKind, ip: str, request: PullRequest) -> PullAnswer:
        def record_progress() -> None:
            self._plan.record_progress(kind, ip, self._clock())

        with (
            gevent.Timeout(PULL_TIMEOUT_S),
            socket.create_connection((ip, self._port), SILENCE_TIMEOUT_S) as connection,
        ):
            send_frame(connection, _encode(request))
            frame = receive_frame(connection, record_progress)
        return decode_message(_answer_decoder, frame)

    def _accept(self, answer: PullAnswer, ip: str) -> None:
        """Apply an answer.

        Raises
        ------
        RefusedDocumentError
            If its configuration is invalid; the rest has been applied.
        """
        now = self._clock()
        changed = []
        if answer.document and self._accept_document(answer.document):
            changed.append(f"version {self._replica.version}")
        era = self._replica.era
        delta = read_delta(answer, self._decode_endpoints(answer.endpoints), era, now)
        if answer.era is not None:
            era.accept_report(delta.position, delta.rise, now)
        # Before the entries: a server must not count as warm in between.
        self._cold.accept_rows(read_cold_rows(answer, era), now)
        changed += self._replica.accept_delta(delta, now)
        if answer.contexts:
            self._contexts.accept_entries(answer.contexts, self._clock())
            changed.append(f"{len(answer.contexts)} cached parts")
        evidence = answer.crash_evidence or CrashUpdates()
        updates = msgspec.structs.replace(evidence, blocks=answer.blocks)
        self._blocks.accept_updates(updates, self._clock(), is_forwarded=False)
        if answer.blocks:
            changed.append(f"{len(answer.blocks)} blocked parts")
        if answer.evacuations is not None and self._evacuations.accept_rows(
            decode_evacuations(answer, era), source=ip, now=now
        ):
            changed.append(f"{len(answer.evacuations)} evacuations")
        if changed:
            write_log_entry(
                log, UpdatesPulled(updates=changed, revision=answer.revision)
            )
            self._on_change()
        if answer.document and self._is_refused():
            raise RefusedDocumentError("the configuration is invalid")

    def _is_refused(self) -> bool:
        """Return whether the configuration that came last is invalid."""
        return self._ignored.has(CONFIGURATION, CONFIGURATION_NAME)

    def _decode_endpoints(self, rows: list[msgspec.Raw]) -> list[Endpoint]:
        """Return the valid entries; each is checked as one of the store."""
        endpoints = []
        for row in rows:
            try:
                endpoint = decode_message(_endpoint_decoder, row)
                check_endpoint(endpoint)
            except (msgspec.DecodeError, DocumentError) as error:
                # What identifies the entry may be unreadable.
                if self._ignored.add(PASSED_ON, "", zlib.crc32(row), str(error)):
                    write_log_entry(log, ServerEntryInvalid(error=str(error)))
                continue
            endpoints.append(endpoint)
        return endpoints

    def _accept_document(self, compressed: bytes) -> bool:
        try:
            document = zlib.decompressobj().decompress(compressed, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            reason = f"not compressed: {error}"
            revision = zlib.crc32(compressed)
            if self._ignored.add(CONFIGURATION, CONFIGURATION_NAME, revision, reason):
                write_log_entry(log, ConfigurationInvalid(error=reason))
            return False
        # The revision isn't sent; the same document is reported once.
        revision = zlib.crc32(document)
        return accept_document(self._replica, self._ignored, revision, document)

    def _serve_safely(self, connection: socket.socket, address: Any) -> None:
        self._supervisor.run_task("pull_answer", self._serve, connection, address)

    def _serve(self, connection: socket.socket, _: object) -> None:
        try:
            with connection:
                with gevent.Timeout(SILENCE_TIMEOUT_S):
                    frame = receive_frame(connection)
                    request = decode_message(_request_decoder, frame)
                with gevent.Timeout(PULL_TIMEOUT_S):
                    send_frame(connection, _encode(self._answers.select(request)))
        except (OSError, gevent.Timeout, msgspec.DecodeError) as error:
            write_log_entry(log, PullUnanswered(error=str(error)))
