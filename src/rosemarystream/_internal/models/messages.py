"""Messages between entry hosts, and their MessagePack encoding.

Every message is an `Envelope` whose body is one of the named tuples below.
"""

from typing import Any, NamedTuple

import msgspec

from rosemarystream._internal.models.configuration import Manifest, Recall
from rosemarystream._internal.models.server import EntryHost, HostChanges


class GroupLoad(NamedTuple):
    """What the owner of a server group says of it.

    Attributes
    ----------
    group : str
        Name of the group.
    servers : int
        Serving servers in it.
    running_floor : int
        Least number of requests in progress since the last heartbeat.
    running : int
        Requests in progress now.
    queued : int
        Requests that wait.
    """

    group: str
    servers: int
    running_floor: int
    running: int
    queued: int


class Heartbeat(NamedTuple):
    """Periodic sign of life with the digests of what the host holds.

    Attributes
    ----------
    host : EntryHost
        The sender.
    sequence : int
        Number of the heartbeat since the sender started.
    valid_ms : int
        Milliseconds for which the receiver may trust the sender.
    leaving : bool
        Whether the sender gives its groups away.
    heard : tuple of int
        Short hashes of the hosts of its data centre that the sender hears,
        itself included.
    generation : int
        Generation of the configuration in force at the sender.
    recalls_digest : int
        Digest of the sender's recall sets.
    hosts_version : int
        Version of the host list that the sender holds.
    loads : tuple of GroupLoad
        Groups that the sender owns.
    """

    host: EntryHost
    sequence: int
    valid_ms: int
    leaving: bool
    heard: tuple[int, ...]
    generation: int
    recalls_digest: int
    hosts_version: int
    loads: tuple[GroupLoad, ...]


class StateRequest(NamedTuple):
    """Asks a peer for what the sender lacks.

    Attributes
    ----------
    address : str
        Control address that takes the answer.
    generation : int
        Generation that the sender holds; an older peer answers nothing.
    hosts_version : int
        Version of the host list that the sender holds.
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
    """Recalls that were given and the ids of those that were lifted."""

    added: tuple[Recall, ...]
    lifted: tuple[str, ...]


class StateAnswer(NamedTuple):
    """What a peer holds that is newer than the asker's.

    Attributes
    ----------
    address : str
        Control address of the peer.
    manifest : Manifest or None
        A newer configuration, or None.
    documents : dict of str to bytes
        Content of configuration documents by digest.
    hosts : HostChanges or None
        What has changed on the host list since the asker's version, or None.
    recalls : RecallSets or None
        The sender's recall sets where they differ.
    """

    address: str
    manifest: Manifest | None
    documents: dict[str, bytes]
    hosts: HostChanges | None
    recalls: RecallSets | None


class Envelope(NamedTuple):
    """Frame of every message between hosts."""

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
        If the bytes are no message of a known kind.
    """
    envelope = _ENVELOPE_DECODER.decode(data)
    decoder = _BODY_DECODERS.get(envelope.kind)
    if decoder is None:
        raise msgspec.DecodeError(f"unknown message kind {envelope.kind!r}")
    return envelope, decoder.decode(envelope.body)
