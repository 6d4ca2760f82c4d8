"""The opaque context hint that callers carry from turn to turn."""

import base64
import binascii

import msgspec

from rosemarystream._internal.models.request import ContextHint

MAX_HINT_CHARACTERS = 256

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ContextHint)


def encode_hint(hint: ContextHint) -> str:
    """Return the text of a hint for a header."""
    return base64.urlsafe_b64encode(_ENCODER.encode(hint)).decode()


def decode_hint(text: str | None) -> ContextHint | None:
    """Return the hint of a header; None when there is none that can be read.

    A hint is only advice, so a broken or forged one is no error.
    """
    if text is None or len(text) > MAX_HINT_CHARACTERS:
        return None
    try:
        return _DECODER.decode(base64.urlsafe_b64decode(text))
    except (binascii.Error, msgspec.DecodeError, ValueError):
        return None
