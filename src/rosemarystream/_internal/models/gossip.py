"""Messages between entry hosts; MessagePack, fields by position."""

from enum import IntEnum

import msgspec

from rosemarystream._internal.models.endpoint import Endpoint


class HostAddress(msgspec.Struct, array_like=True, frozen=True):
    """Where a host can be reached.

    Attributes
    ----------
    age_ms : int
        Time since it was heard, in milliseconds; -1 if it never was.
    """

    name: str
    data_centre: str
    ip: str
    age_ms: int = 0


class LoadScope(IntEnum):
    """Whose load a gossip message reports."""

    NONE = 0
    HOST = 1
    DATA_CENTRE = 2
    OTHERS = 3


class GossipMessage(msgspec.Struct, array_like=True, frozen=True):
    """A regular message of one host to another.

    Attributes
    ----------
    sequence : int
        Grows with each beat of a sender, also over its restarts.
    version : int
        Version of the configuration that the sender has.
    revision : int
        Revision of the store up to which it knows the servers.
    store_lost_ms : int
        Time since the sender lost the store, in milliseconds; 0 if it has it
        or doesn't ask it.
    counts : dict of int to int
        Requests in progress by the server's number.
    prefill : dict of int to int
        Prompt tokens that servers have yet to read, by the server's number.
    ejected : list of int
        Servers that the sender can't reach.
    cache_updates : list of tuple of int
        Prompt parts and servers that have begun to hold them, by number.
    known_hosts : list of HostAddress
        Live hosts; sent now and then.
    """

    sender: HostAddress
    sequence: int
    version: int
    revision: int
    store_lost_ms: int
    scope: LoadScope
    counts: dict[int, int] = {}
    prefill: dict[int, int] = {}
    ejected: list[int] = []
    cache_updates: list[tuple[int, int]] = []
    known_hosts: list[HostAddress] = []
    wants_answer: bool = False


class PullRequest(msgspec.Struct, array_like=True, frozen=True):
    """A host asks another for what it lacks.

    Attributes
    ----------
    version : int or None
        Configuration that the host has, if it asks for a newer one.
    revision : int or None
        Revision up to which it knows the servers, if it asks for later changes.
    """

    version: int | None
    revision: int | None


class PullAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Newer state of a host.

    Attributes
    ----------
    document : bytes
        The configuration as the store holds it, compressed; empty if it isn't
        newer.
    """

    document: bytes
    endpoints: list[Endpoint]
    removed: dict[str, int]
    revision: int
