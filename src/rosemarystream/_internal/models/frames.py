"""Frames of an answer on its way between two entry hosts.

A frame is one JSON line: the kind and the fields of one of the named tuples
in `FRAME_TYPES`.
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
    """Says that the request is still alive while it waits."""

    request_id: str


class Granted(NamedTuple):
    """Says that the request is sent to a server now."""

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
    """Return the line for a frame."""
    return _ENCODER.encode((type(frame).__name__, frame)) + SEPARATOR


def decode_frame(line: bytes) -> Any:
    """Return the frame of a line.

    Raises
    ------
    msgspec.DecodeError
        If the line is no frame of a known kind.
    """
    frame = _FRAME_DECODER.decode(line)
    decoder = _BODY_DECODERS.get(frame.kind)
    if decoder is None:
        raise msgspec.DecodeError(f"unknown frame kind {frame.kind!r}")
    return decoder.decode(frame.body)
