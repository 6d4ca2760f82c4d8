"""Backend servers as they have registered themselves."""

from enum import StrEnum
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import hash_name_32


class ServerState(StrEnum):
    """Whether a server takes new requests."""

    READY = "ready"
    DRAINING = "draining"


class Endpoint(NamedTuple):
    """One registered backend server.

    Attributes
    ----------
    incarnation : int
        Start of its process, in milliseconds since the epoch.
    slots : int
        Requests it works on at once.
    revision : int
        Revision of the platform's store at which this was written.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: ServerState
    incarnation: int
    revision: int

    @property
    def number(self) -> int:
        """Number that stands for this server between hosts."""
        return hash_name_32(self.name)
