"""Decoding of gossip messages."""

import msgspec

from rosemarystream._internal.models.gossip import GossipMessage
from rosemarystream._internal.utils.address import is_host_ip
from rosemarystream._internal.utils.wire import decode_message

_decoder = msgspec.msgpack.Decoder(GossipMessage)


def decode_gossip(data: bytes) -> GossipMessage:
    """Decode a message.

    Raises
    ------
    msgspec.DecodeError
        If it is none, or a field is out of its range.
    """
    message = decode_message(_decoder, data)
    if not is_host_ip(message.sender.ip):
        raise msgspec.ValidationError("the sender's address is no IPv4 address")
    return message
