"""Events and commands that the kernel delivers between services."""

from enum import StrEnum
from typing import Any, NamedTuple

from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.models.configuration import Manifest
from rosemarystream._internal.models.messages import RecallSets
from rosemarystream._internal.models.order import EngineOrder
from rosemarystream._internal.models.server import HostChanges, ServerReport


class SendMessage(NamedTuple):
    """Send a message to a peer's control address, without delivery guarantee."""

    address: str
    message: Any


class ResetConnection(NamedTuple):
    """Close the connection to a peer's control address; it stopped responding."""

    address: str


class ContinueReplication(NamedTuple):
    """Ask a peer for documents of its manifest that this host still lacks."""

    address: str


class ManifestLearned(NamedTuple):
    """A manifest was received from the platform or a peer."""

    manifest: Manifest


class DocumentLearned(NamedTuple):
    """The content of a configuration document was received."""

    digest: str
    content: bytes


class FetchDocuments(NamedTuple):
    """Fetch missing configuration documents."""

    digests: tuple[str, ...]


class HostListLearned(NamedTuple):
    """Changes of the platform's host list were received."""

    hosts: HostChanges


class RecallSetsLearned(NamedTuple):
    """Recalls were received from the platform, a peer or an operator."""

    sets: RecallSets


class ConfigurationChanged(NamedTuple):
    """A newer configuration took effect in this process."""

    generation: int


class ServingChanged(NamedTuple):
    """Servers may have started or stopped accepting new work.

    `server` names the only affected one; it is empty if any may be affected.
    """

    server: str


class HostListChanged(NamedTuple):
    """A newer host list took effect in this process."""

    version: int


class OwnersChanged(NamedTuple):
    """The set of hosts of a data centre that may own server groups changed."""

    data_centre: str


class ServerReported(NamedTuple):
    """A backend server answered a poll.

    `asked_at` is the time just before the poll was sent.
    """

    server: str
    report: ServerReport
    asked_at: float


class ServerUnresponsive(NamedTuple):
    """A backend server did not answer a poll."""

    server: str


class WorkGranted(NamedTuple):
    """A request may now be sent to the given server."""

    request_id: str
    server: str


class WorkRefused(NamedTuple):
    """A request was refused; no part of it was executed."""

    request_id: str
    kind: ErrorKind
    message: str
    retry_after: float


class CallTag(NamedTuple):
    """Correlates a platform call with its result, which carries the same tag."""

    service: str
    name: str
    number: int


class ReadObject(NamedTuple):
    """Read an object of the platform."""

    tag: CallTag
    kind: str
    name: str


class WriteObject(NamedTuple):
    """Write an object of the platform if its version is the expected one."""

    tag: CallTag
    kind: str
    name: str
    value: bytes
    expected: int


class ObjectRead(NamedTuple):
    """An object was read; version 0 and an empty value if it does not exist.

    `era` is that of the store, 0 if it states none.
    """

    tag: CallTag
    version: int
    value: bytes
    era: int = 0


class ObjectWritten(NamedTuple):
    """A conditional write took effect in an era of the store."""

    tag: CallTag
    version: int
    era: int = 0


class ObjectConflict(NamedTuple):
    """A conditional write failed because the version differs; nothing was written."""

    tag: CallTag


class ObjectCallFailed(NamedTuple):
    """A platform call was not answered; a write may have taken effect."""

    tag: CallTag


class ClaimOutcome(StrEnum):
    """Outcome of a claim on an idempotency key."""

    GRANTED = "granted"
    HELD = "held"
    UNAVAILABLE = "unavailable"


class ClaimDecided(NamedTuple):
    """The outcome of a claim is known.

    `status` and `body` are the recorded answer of the request that holds the
    key; `status` is 0 if no answer is recorded.
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
    """An engine rejected an order because of its fencing number."""

    server: str
