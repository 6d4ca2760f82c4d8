"""Encodes the opaque context hint that callers return with their next turn."""

import base64
import binascii

import msgspec

from rosemarystream._internal.models.request import ContextHint

MAX_HINT_CHARACTERS = 256

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ContextHint)


def encode_hint(hint: ContextHint) -> str:
    """Return a hint as the text of a header."""
    return base64.urlsafe_b64encode(_ENCODER.encode(hint)).decode()


def decode_hint(text: str | None) -> ContextHint | None:
    """Return the hint in a header, or None if it is missing or malformed.

    A hint only influences the choice of a server, so a malformed or forged one
    is not an error.
    """
    if text is None or len(text) > MAX_HINT_CHARACTERS:
        return None
    try:
        return _DECODER.decode(base64.urlsafe_b64decode(text))
    except (binascii.Error, msgspec.DecodeError, ValueError):
        return None
