"""Decoding of MessagePack from other hosts."""

from typing import TypeVar

import msgspec

Message = TypeVar("Message")


def decode_message(decoder: msgspec.msgpack.Decoder[Message], data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    msgspec.DecodeError
        If it is malformed, nests too deeply, or has a field out of its range.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError("the message nests too deeply") from error
