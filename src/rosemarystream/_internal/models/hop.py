"""A request forwarded from the entry host to the owner of a server group."""

from typing import NamedTuple

import msgspec

from rosemarystream._internal.models.request import Work


class Hop(NamedTuple):
    """One forwarded request.

    Attributes
    ----------
    work : Work
        The request; its deadline is replaced on arrival.
    group : str
        Server group that the request is offered to.
    may_queue : bool
        Whether it may wait in the queue; otherwise a busy group refuses it at once.
    remaining_ms : int
        Time left until the deadline, in milliseconds. It is sent in place of the
        deadline because the clocks of hosts differ.
    """

    work: Work
    group: str
    may_queue: bool
    remaining_ms: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Hop)


def encode_hop(hop: Hop) -> bytes:
    """Encode a forwarded request for the wire."""
    return _ENCODER.encode(hop)


def decode_hop(data: bytes, now: float) -> Hop:
    """Decode a forwarded request and compute its deadline by the local clock.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a forwarded request.
    """
    hop = _DECODER.decode(data)
    deadline = now + hop.remaining_ms / 1000
    return hop._replace(work=hop.work._replace(deadline=deadline))
