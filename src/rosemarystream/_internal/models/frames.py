"""Frames of an answer that one entry host streams to another.

A frame is a line of JSON: an array of the kind and the fields of one of the named
tuples in `FRAME_TYPES`. The kind is the name of the class.
"""

from typing import Any, NamedTuple

import msgspec

from rosemarystream._internal.models.request import (
    CallResult,
    StreamEnd,
    StreamFailure,
    Token,
)

SEPARATOR = b"\n"


class Ping(NamedTuple):
    """Keep-alive of a request that is still waiting."""

    request_id: str


class Granted(NamedTuple):
    """Notice that the request is now sent to a server."""

    request_id: str
    server: str


class _Frame(NamedTuple):
    kind: str
    body: msgspec.Raw


FRAME_TYPES: dict[str, type] = {
    frame_type.__name__: frame_type
    for frame_type in (Ping, Granted, Token, StreamEnd, StreamFailure, CallResult)
}

_ENCODER = msgspec.json.Encoder()
_FRAME_DECODER = msgspec.json.Decoder(_Frame)
_BODY_DECODERS = {
    name: msgspec.json.Decoder(frame_type) for name, frame_type in FRAME_TYPES.items()
}


def encode_frame(frame: Any) -> bytes:
    """Encode a frame as a line."""
    return _ENCODER.encode((type(frame).__name__, frame)) + SEPARATOR


def decode_frame(line: bytes) -> Any:
    """Decode a line into a frame.

    Raises
    ------
    msgspec.DecodeError
        If the line is malformed or of an unknown kind.
    """
    frame = _FRAME_DECODER.decode(line)
    decoder = _BODY_DECODERS.get(frame.kind)
    if decoder is None:
        raise msgspec.DecodeError(f"unknown frame kind {frame.kind!r}")
    return decoder.decode(frame.body)
