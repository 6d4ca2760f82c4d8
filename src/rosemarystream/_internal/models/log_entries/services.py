"""Log entries of services whose servers are full."""

from logbook import NOTICE

from rosemarystream._internal.models.log_entries.base import LogEntry


class ServiceFull(LogEntry, frozen=True, kw_only=True):
    """Requests for a plain service begin to wait in this host: its servers are full.

    Attributes
    ----------
    requests, slots : int
        Requests that its servers hold as far as this host knows, and their slots.
    """

    message = "service full"
    level = NOTICE
    service: str
    requests: int
    slots: int


class ServiceNotFull(LogEntry, frozen=True, kw_only=True):
    """A plain service has free places again; requests no longer wait for it.

    Attributes
    ----------
    waited, refused : int
        Requests that waited in this host, and how many were refused unsent.
    """

    message = "service no longer full"
    level = NOTICE
    service: str
    waited: int
    refused: int
