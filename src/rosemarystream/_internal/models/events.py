"""Events and actions that the kernel routes between the services."""

from enum import StrEnum
from typing import Any, NamedTuple

from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.models.configuration import Manifest
from rosemarystream._internal.models.messages import RecallSets
from rosemarystream._internal.models.order import EngineOrder
from rosemarystream._internal.models.server import HostChanges, ServerReport


class SendMessage(NamedTuple):
    """Send a message to a peer's control address; losing it is allowed."""

    address: str
    message: Any


class ResetConnection(NamedTuple):
    """Give up the connection to a peer's control address; it fell silent."""

    address: str


class ContinueReplication(NamedTuple):
    """Ask a peer for the documents that its manifest still lacks here."""

    address: str


class ManifestLearned(NamedTuple):
    """A manifest read from the platform or from a peer."""

    manifest: Manifest


class DocumentLearned(NamedTuple):
    """Content of a configuration document."""

    digest: str
    content: bytes


class FetchDocuments(NamedTuple):
    """Fetch configuration documents that are missing."""

    digests: tuple[str, ...]


class HostListLearned(NamedTuple):
    """Changes of the platform's host list."""

    hosts: HostChanges


class RecallSetsLearned(NamedTuple):
    """Recalls read from the platform, a peer or an operator."""

    sets: RecallSets


class ConfigurationChanged(NamedTuple):
    """A newer configuration is in force in this process."""

    generation: int


class ServingChanged(NamedTuple):
    """Servers may have begun or ceased to take new work.

    `server` names the only one concerned; it is empty when any may be.
    """

    server: str


class HostListChanged(NamedTuple):
    """A newer host list is in force in this process."""

    version: int


class OwnersChanged(NamedTuple):
    """The hosts of a data centre that may own server groups have changed."""

    data_centre: str


class ServerReported(NamedTuple):
    """A poll of a backend server was answered.

    `asked_at` is the time just before the poll was sent.
    """

    server: str
    report: ServerReport
    asked_at: float


class ServerUnresponsive(NamedTuple):
    """A poll of a backend server was not answered."""

    server: str


class WorkGranted(NamedTuple):
    """A request may be sent to a server now."""

    request_id: str
    server: str


class WorkRefused(NamedTuple):
    """A request was refused; nothing of it was run."""

    request_id: str
    kind: ErrorKind
    message: str
    retry_after: float


class CallTag(NamedTuple):
    """Identifies one call to the platform; its result carries the same tag."""

    service: str
    name: str
    number: int


class ReadObject(NamedTuple):
    """Read an object of the platform."""

    tag: CallTag
    kind: str
    name: str


class WriteObject(NamedTuple):
    """Write an object of the platform if it has the expected version."""

    tag: CallTag
    kind: str
    name: str
    value: bytes
    expected: int


class ObjectRead(NamedTuple):
    """An object was read; version 0 and no value if there is none."""

    tag: CallTag
    version: int
    value: bytes


class ObjectWritten(NamedTuple):
    """A conditional write took effect."""

    tag: CallTag
    version: int


class ObjectConflict(NamedTuple):
    """A conditional write named another version; nothing was written."""

    tag: CallTag


class ObjectCallFailed(NamedTuple):
    """A call had no answer; a write may have taken effect."""

    tag: CallTag


class ClaimOutcome(StrEnum):
    """What became of a claim on an idempotency key."""

    GRANTED = "granted"
    HELD = "held"
    UNAVAILABLE = "unavailable"


class ClaimDecided(NamedTuple):
    """A claim was decided.

    `status` and `body` are the recorded answer of the request that holds the
    key; `status` is 0 when there is none.
    """

    attempt_id: str
    outcome: ClaimOutcome
    status: int
    body: str


class SendOrder(NamedTuple):
    """Send an order to an engine; see `EngineOrder`."""

    server: str
    order: EngineOrder


class OrderRefused(NamedTuple):
    """An engine refused an order because of its fencing number."""

    server: str
