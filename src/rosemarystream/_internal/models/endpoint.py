"""Backend servers as registered in the platform's store."""

from enum import StrEnum
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import hash_name_32
from rosemarystream._internal.models.position import Position
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
    revision, era : int
        Revision and era of the platform's store at which the entry was written.
    sequence : int
        Number that the server has given its entry, rising within an incarnation.
    """

    name: Name
    service: Name
    address: Name
    data_centre: Name
    slots: Slots
    state: ServerState
    incarnation: EpochMs
    revision: Count
    era: Count = 0
    sequence: Count = 0

    @property
    def position(self) -> Position:
        """Position of the store at which the entry was written."""
        return Position(self.era, self.revision)

    @property
    def number(self) -> int:
        """Hash of the name that identifies the server in messages between hosts."""
        return hash_name_32(self.name)


# Fields that hosts of earlier builds know, which take neither more nor fewer.
EARLIER_FIELDS = 8


class ServerEntry(NamedTuple):
    """The entry of a backend server in the store.

    Apart from `Endpoint`, which hosts send each other.

    Attributes
    ----------
    cold_left_s : float
        How much longer the server was cold when the entry was written, in seconds.
    """

    endpoint: Endpoint
    cold_left_s: float
