"""Backend servers as registered in the platform's store."""

from enum import StrEnum
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import hash_name_32
from rosemarystream._internal.models.ranges import Count, EpochMs, Name, Slots


class ServerState(StrEnum):
    """Whether a server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class Endpoint(NamedTuple):
    """A registered backend server.

    Attributes
    ----------
    incarnation : int
        Start time of its process, in milliseconds since the epoch.
    slots : int
        Number of requests it processes concurrently.
    revision : int
        Revision of the platform's store at which the entry was written.
    """

    name: Name
    service: Name
    address: Name
    data_centre: Name
    slots: Slots
    state: ServerState
    incarnation: EpochMs
    revision: Count

    @property
    def number(self) -> int:
        """Hash of the name that identifies the server in messages between hosts."""
        return hash_name_32(self.name)


class ServerEntry(NamedTuple):
    """The entry of a backend server in the store.

    Apart from `Endpoint`, which hosts send each other with a fixed number of fields.

    Attributes
    ----------
    cold_left_s : float
        How much longer the server was cold when the entry was written, in seconds.
    """

    endpoint: Endpoint
    cold_left_s: float
