"""Messages between entry hosts; MessagePack, fields by position."""

import msgspec

from rosemarystream._internal.models.endpoint import Endpoint


class HostName(msgspec.Struct, array_like=True, frozen=True):
    """Where a host can be reached."""

    name: str
    data_centre: str
    ip: str


class Row(msgspec.Struct, array_like=True, frozen=True):
    """What one host, or the hosts of a data centre together, have in progress.

    Attributes
    ----------
    age_ms : int
        Age of the report when it was sent, in milliseconds.
    counts : dict of str to int
        Requests in progress by server.
    reading : dict of str to int
        Prompt tokens that servers have yet to read, by server.
    resting : list of str
        Servers that can't be reached from there.
    """

    name: str
    sequence: int
    age_ms: int
    counts: dict[str, int]
    reading: dict[str, int] = {}
    resting: list[str] = []


class Beat(msgspec.Struct, array_like=True, frozen=True):
    """A regular message of one host to another.

    Attributes
    ----------
    version : int
        Version of the configuration that the sender has.
    revision : int
        Revision of the store up to which it knows the servers.
    store_lost_ms : int
        Time since the sender lost the store, in milliseconds; 0 if it has it
        or doesn't ask it.
    hosts : list of Row
        Reports of hosts of the sender's data centre.
    data_centres : list of Row
        Sums of data centres.
    names : list of HostName
        Live hosts; sent now and then.
    rumours : list of tuple of str
        Prompt parts and servers that have begun to hold them.
    """

    sender: HostName
    incarnation: int
    version: int
    revision: int
    store_lost_ms: int
    hosts: list[Row]
    data_centres: list[Row]
    names: list[HostName]
    rumours: list[tuple[str, str]] = []
    wants_answer: bool = False


class DeltaRequest(msgspec.Struct, array_like=True, frozen=True):
    """A host asks another for what it lacks."""

    version: int
    revision: int


class DeltaAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Newer state of a host.

    Attributes
    ----------
    document : bytes
        The configuration as the store holds it; empty if it isn't newer.
    """

    document: bytes
    endpoints: list[Endpoint]
    removed: dict[str, int]
    revision: int
