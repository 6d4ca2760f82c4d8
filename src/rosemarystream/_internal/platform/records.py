"""Decoders of the records that hosts keep in the store."""

from typing import Annotated, NamedTuple

import msgspec

from rosemarystream._internal.models.ranges import Name
from rosemarystream._internal.platform.documents import DocumentError
from rosemarystream._internal.platform.store_answers import StoredObject
from rosemarystream._internal.utils.address import is_host_ip

# Times are texts, so that all values of a record are.
_EpochMsText = Annotated[str, msgspec.Meta(pattern=r"^[0-9]{1,13}\Z")]
_UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class BlockRecord(msgspec.Struct, frozen=True):
    """Times of a blocked prompt part, in milliseconds since the epoch."""

    began_ms: _EpochMsText
    until_ms: _EpochMsText


class _Host(msgspec.Struct):
    data_centre: Name
    ip: Name


class HostRecord(NamedTuple):
    """A host that has registered itself."""

    name: str
    data_centre: str
    ip: str


_block_decoder = msgspec.json.Decoder(BlockRecord)
_host_decoder = msgspec.json.Decoder(_Host)


def decode_block_record(item: StoredObject) -> BlockRecord:
    """Decode the record of a blocked prompt part.

    Raises
    ------
    DocumentError
        If the record is malformed.
    """
    try:
        return _block_decoder.decode(item.read_spec())
    except _UNREADABLE as error:
        raise DocumentError(f"record {item.name!r} is malformed: {error}") from error


def decode_host_record(item: StoredObject) -> HostRecord:
    """Decode the record of a host.

    Raises
    ------
    DocumentError
        If the record is malformed, or the address isn't that of a host.
    """
    try:
        host = _host_decoder.decode(item.read_spec())
    except _UNREADABLE as error:
        raise DocumentError(f"record {item.name!r} is malformed: {error}") from error
    if not is_host_ip(host.ip):
        raise DocumentError(f"record {item.name!r} has an unusable address")
    return HostRecord(item.name, host.data_centre, host.ip)
