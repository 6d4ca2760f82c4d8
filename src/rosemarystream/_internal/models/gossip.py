"""Gossip and pull messages between entry hosts.

They are encoded as MessagePack arrays, so fields travel by position.
"""

from enum import IntEnum

import msgspec

from rosemarystream._internal.models.ranges import (
    AgeMs,
    AgeOrNeverMs,
    Count,
    DelayS,
    EpochMs,
    LimitPerS,
    Name,
    Number,
    Requests,
    Sequence,
    Slowness,
    Text,
    Tokens,
    WaitMs,
)

# Age of what has never happened.
NEVER_MS = -1


class HostAddress(msgspec.Struct, array_like=True, frozen=True):
    """Name, data centre and IP address of an entry host.

    Attributes
    ----------
    age_ms : int
        Time since a message of the host arrived, in milliseconds; -1 if none did.
    """

    name: Name
    data_centre: Name
    ip: Text
    age_ms: AgeOrNeverMs = 0


class LoadScope(IntEnum):
    """Hosts whose load a gossip message reports."""

    NONE = 0
    HOST = 1
    DATA_CENTRE = 2
    OTHERS = 3


# A row of a crash in `CrashUpdates`.
CrashRow = tuple[Number, AgeMs, list[Number]]


class CrashUpdates(msgspec.Struct, array_like=True, frozen=True):
    """What a host has seen of servers that crash under requests.

    Attributes
    ----------
    crashes : list of tuple
        Number of the server's incarnation, time since the crash in milliseconds, and
        numbers of the shared prompt parts of a request that was running there, 128 at
        most; further ones follow in the next rows.
    answers : list of tuple of int
        Numbers of suspected prompt parts on which a server has answered, and the time
        since that in milliseconds.
    blocks : list of tuple of int
        Numbers of blocked prompt parts, the time since the block began and the time
        until it ends, in milliseconds.
    """

    crashes: list[CrashRow] = []
    answers: list[tuple[Number, AgeMs]] = []
    blocks: list[tuple[Number, AgeMs, AgeMs]] = []


# Data centre, store revision at which its evacuation was written or removed, whether it
# is in force, and the time since a host read that from the store.
EvacuationRow = tuple[Name, Count, bool, AgeMs]


# Revision of the store at the first answer of an era, and the time since that answer.
Rise = tuple[Count, AgeMs]


class QuotaQuestion(msgspec.Struct, array_like=True, frozen=True):
    """Question of a host whether it may send a request to a limited server.

    Attributes
    ----------
    number : int
        Identifies the question among those of the host.
    server : int
        Number of the server.
    is_nearby : bool
        Whether the server is in the data centre of the host.
    is_cold : bool
        Whether the host knows the server as cold.
    """

    number: Count
    server: Number
    is_nearby: bool
    is_cold: bool = False


class QuotaAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Answer to a `QuotaQuestion`.

    Attributes
    ----------
    number : int
        Number of the question.
    is_permitted : bool
        Whether the request may be sent.
    wait_ms : float
        Time until the next request may be sent, if this one may not.
    is_of_cold : bool
        Whether the permission is one for a cold server; hosts of earlier builds know
        of none.
    """

    number: Count
    is_permitted: bool
    wait_ms: WaitMs
    is_of_cold: bool = False


class GossipMessage(msgspec.Struct, array_like=True, frozen=True):
    """Periodic message of one host to another with its load and versions.

    Attributes
    ----------
    sequence : int
        Increases with each message of a sender, also across its restarts.
    version : int
        Version of the sender's configuration.
    revision : int
        Store revision up to which the sender knows the servers.
    store_lost_ms : int
        Time since the sender lost contact with the store, in milliseconds; 0 if
        it is in contact or does not watch the store.
    scope : LoadScope
        Hosts whose load `counts` and `prefill` report.
    counts : dict of int to int
        Requests in progress by server number.
    prefill : dict of int to int
        Pending prefill tokens (prompt tokens not prefilled yet) by server number.
    ejected : list of int
        Numbers of the servers that the sender has ejected as unreachable.
    cache_updates : list of tuple of int
        Numbers of prompt parts and of servers that now cache them.
    known_hosts : list of HostAddress
        Live hosts; sent with some of the messages only.
    live_hosts : int
        Live hosts that the sender counts: those of its data centre with the scope
        `DATA_CENTRE`, else those of the fleet; 0 from a host that isn't a collector.
    slowness : dict of int to tuple
        How much longer work takes at servers that are not as usual, as seen lately by
        the hosts of the scope, and the age of that in milliseconds, by server number.
    crash_updates : CrashUpdates or None
        Updates on servers that crash under requests.
    limits : dict of int to tuple
        Requests per second that servers take from all hosts together, infinite at the
        end of a limit, as seen lately by the hosts of the scope, and the age of that
        in milliseconds, by server number.
    quota_question, quota_answer : QuotaQuestion or None, QuotaAnswer or None
        Question for a permission, and the answer to one.
    leaving : list of tuple of int
        Numbers and incarnations of the registered servers that have stated that they
        leave, to whichever host.
    retry_after : dict of int to tuple
        Time in seconds for which servers accept no requests, as seen lately by the
        hosts of the scope, and the age of that in milliseconds, by server number.
    evacuations : list of tuple or None
        Records of the evacuated data centres, and with some of the messages of those
        that no longer are; None if the sender doesn't know them.
    cold : dict of int to tuple
        Time in milliseconds for which servers are still presumed cold, as learnt
        lately, and whether they were seen to be up, by server number.
    store_age_ms : int or None
        Time since the sender's own watches of the store confirmed that it knows all
        that is watched, in milliseconds; -1 if they haven't lately, None from a host of
        an earlier build.
    heard_store_age_ms : int
        The least `store_age_ms` that a collector has heard: of all hosts but the
        receiver, or to other data centres of its own one's hosts; -1 if none.
    era : int or None
        Era of the store in which `revision` was given out; None from a host of an
        earlier build.
    rise : tuple of int or None
        Revision of the store at the first answer of that era, and the time since that
        answer in milliseconds; None if the sender doesn't know.
    evacuation_eras : dict of str to int
        Eras of the records in `evacuations`, where they aren't `era`.
    """

    sender: HostAddress
    sequence: Sequence
    version: Count
    revision: Count
    store_lost_ms: AgeMs
    scope: LoadScope
    counts: dict[Number, Requests] = {}
    prefill: dict[Number, Tokens] = {}
    ejected: list[Number] = []
    cache_updates: list[tuple[Number, Number]] = []
    known_hosts: list[HostAddress] = []
    wants_answer: bool = False
    live_hosts: Requests = 0
    slowness: dict[Number, tuple[Slowness, AgeMs]] = {}
    crash_updates: CrashUpdates | None = None
    limits: dict[Number, tuple[LimitPerS, AgeMs]] = {}
    quota_question: QuotaQuestion | None = None
    quota_answer: QuotaAnswer | None = None
    leaving: list[tuple[Number, EpochMs]] = []
    retry_after: dict[Number, tuple[DelayS, AgeMs]] = {}
    evacuations: list[EvacuationRow] | None = None
    cold: dict[Number, tuple[AgeMs, bool]] = {}
    store_age_ms: AgeOrNeverMs | None = None
    heard_store_age_ms: AgeOrNeverMs = NEVER_MS
    era: Count | None = None
    rise: Rise | None = None
    evacuation_eras: dict[Name, Count] = {}


class PullRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request of a host to another for newer state.

    Attributes
    ----------
    version : int or None
        Version of the requester's configuration, if it asks for a newer one.
    revision : int or None
        Revision up to which it knows the servers, if it asks for later changes.
    wants_contexts : bool
        Whether it asks for the map of cached prompt parts and the blocked parts.
    era : int or None
        Era of the store in which `revision` was given out; None from a host of an
        earlier build, which knows eras of nothing.
    """

    version: Count | None
    revision: Count | None
    wants_contexts: bool = False
    era: Count | None = None


class PullAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Answer to a `PullRequest` with newer state.

    Attributes
    ----------
    document : bytes
        Compressed configuration document of the store; empty if there is no
        newer one.
    endpoints, removed : list of Raw, dict of str to int
        Changed servers, each encoded as an `Endpoint`, and the revisions at which
        others were removed, by name.
    revision : int
        Revision up to which the servers are current.
    contexts : list of tuple of int
        Entries of the map of cached prompt parts: numbers of the part and of the
        server, and the time since its last use in milliseconds.
    blocks : list of tuple of int
        Blocked prompt parts, as in `CrashUpdates`.
    lapsing : dict of str to tuple of int
        Servers that were missing after an outage of the store: the revision at which
        they were, and the time until their removal in milliseconds, by name.
    is_whole : bool
        Whether `endpoints` has all servers, as the sender doesn't know all removals
        after the stated revision.
    grace_ms : int
        Time for which servers missing from a whole list may have lapsed in an outage of
        the store, in milliseconds.
    evacuations : list of tuple or None
        As in `GossipMessage`.
    cold : list of tuple of int
        Servers that are cold: their numbers, the revisions of their entries, and the
        times in milliseconds that they are still cold by the entry and by presumption.
        Sent with servers, and with the map of cached prompt parts.
    era, rise, evacuation_eras
        As in `GossipMessage`.
    removal_eras, lapse_eras, cold_eras : dict
        Eras of the revisions in `removed`, `lapsing` and `cold`, where they aren't
        `era`.
    crash_evidence : CrashUpdates or None
        What the sender has heard of crashes under requests, without the blocks. Sent
        with the map of cached prompt parts.
    """

    document: bytes
    endpoints: list[msgspec.Raw]
    removed: dict[Name, Count]
    revision: Count
    contexts: list[tuple[Number, Number, AgeMs]] = []
    blocks: list[tuple[Number, AgeMs, AgeMs]] = []
    lapsing: dict[Name, tuple[Count, AgeMs]] = {}
    is_whole: bool = False
    grace_ms: AgeMs = 0
    evacuations: list[EvacuationRow] | None = None
    cold: list[tuple[Number, Count, AgeMs, AgeMs]] = []
    era: Count | None = None
    rise: Rise | None = None
    evacuation_eras: dict[Name, Count] = {}
    removal_eras: dict[Name, Count] = {}
    lapse_eras: dict[Name, Count] = {}
    cold_eras: dict[Number, Count] = {}
    crash_evidence: CrashUpdates | None = None
