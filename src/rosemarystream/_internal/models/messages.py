"""Messages between entry hosts, and their MessagePack encoding.

Every message is an `Envelope` whose body is one of the named tuples below.
"""

from typing import Any, NamedTuple

import msgspec

from rosemarystream._internal.models.configuration import Manifest, Recall
from rosemarystream._internal.models.server import EntryHost, HostChanges


class GroupLoad(NamedTuple):
    """Load of a server group, reported by its owner.

    Attributes
    ----------
    group : str
        Name of the group.
    servers : int
        Number of servers in service.
    running_floor : int
        Minimum of the requests in progress since the last heartbeat.
    running : int
        Requests in progress now.
    queued : int
        Requests waiting in the queue.
    """

    group: str
    servers: int
    running_floor: int
    running: int
    queued: int


class Heartbeat(NamedTuple):
    """Periodic liveness message with the versions and digests of the host's state.

    Attributes
    ----------
    host : EntryHost
        The sender.
    sequence : int
        Sequence number of the heartbeat since the sender started.
    valid_ms : int
        Validity of the heartbeat at the receiver, in milliseconds.
    leaving : bool
        Whether the sender is shutting down and hands over its groups.
    received_from : tuple of int
        Short hashes of the hosts of its data centre whose heartbeats the sender
        receives, itself included.
    generation : int
        Generation of the sender's active configuration.
    recalls_digest : int
        Digest of the sender's recall sets.
    hosts_version : int
        Version of the sender's host list.
    loads : tuple of GroupLoad
        Load of the groups that the sender owns.
    """

    host: EntryHost
    sequence: int
    valid_ms: int
    leaving: bool
    received_from: tuple[int, ...]
    generation: int
    recalls_digest: int
    hosts_version: int
    loads: tuple[GroupLoad, ...]


class StateRequest(NamedTuple):
    """Request to a peer for state that the sender lacks.

    Attributes
    ----------
    address : str
        Control address to which the answer is sent.
    generation : int
        Generation of the sender; a peer with an older one does not answer.
    hosts_version : int
        Version of the sender's host list.
    recalls_digest : int
        Digest of the sender's recall sets.
    documents : tuple of str
        Digests of configuration documents that the sender lacks.
    """

    address: str
    generation: int
    hosts_version: int
    recalls_digest: int
    documents: tuple[str, ...]


class RecallSets(NamedTuple):
    """Recalls that were issued, and the ids of those that were lifted."""

    added: tuple[Recall, ...]
    lifted: tuple[str, ...]


class StateAnswer(NamedTuple):
    """State of a peer that is newer than the requester's.

    Attributes
    ----------
    address : str
        Control address of the peer.
    manifest : Manifest or None
        Manifest of a newer configuration, or None.
    documents : dict of str to bytes
        Contents of configuration documents by digest.
    hosts : HostChanges or None
        Changes of the host list since the requester's version, or None.
    recalls : RecallSets or None
        The peer's recall sets if they differ, else None.
    """

    address: str
    manifest: Manifest | None
    documents: dict[str, bytes]
    hosts: HostChanges | None
    recalls: RecallSets | None


class Envelope(NamedTuple):
    """Envelope of every message between hosts; `kind` is the class name."""

    kind: str
    sender: str
    incarnation: int
    body: msgspec.Raw


MESSAGE_TYPES: dict[str, type] = {
    message_type.__name__: message_type
    for message_type in (Heartbeat, StateRequest, StateAnswer)
}

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_BODY_DECODERS = {
    name: msgspec.msgpack.Decoder(message_type)
    for name, message_type in MESSAGE_TYPES.items()
}


def encode_message(message: Any, *, sender: str, incarnation: int) -> bytes:
    """Encode a message for the wire."""
    envelope = Envelope(
        kind=type(message).__name__,
        sender=sender,
        incarnation=incarnation,
        body=msgspec.Raw(_ENCODER.encode(message)),
    )
    return _ENCODER.encode(envelope)


def decode_message(data: bytes) -> tuple[Envelope, Any]:
    """Decode a message from the wire.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are malformed or of an unknown kind.
    """
    envelope = _ENVELOPE_DECODER.decode(data)
    decoder = _BODY_DECODERS.get(envelope.kind)
    if decoder is None:
        raise msgspec.DecodeError(f"unknown message kind {envelope.kind!r}")
    return envelope, decoder.decode(envelope.body)
