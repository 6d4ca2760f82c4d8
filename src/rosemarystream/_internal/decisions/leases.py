"""Leases for control duties, kept in objects of the platform.

Expiry is judged by the observer: a lease has lapsed when its object has not
changed for its whole span as seen on the observer's own clock. The holder
computes its own deadline from before it sent the renewal.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import (
    CallTag,
    ObjectCallFailed,
    ObjectConflict,
    ObjectRead,
    ObjectWritten,
    ReadObject,
    WriteObject,
)

LEASES_KIND = "leases"
MARGIN_FRACTION = 0.2
RENEW_FRACTION = 1 / 3


class LeaseRecord(NamedTuple):
    """Content of a lease object.

    Attributes
    ----------
    holder : str
        Name and incarnation of the holder.
    fence : int
        Fencing number; grows with every change of holder.
    renewal : int
        Number of the renewal, so that every write changes the object.
    """

    holder: str
    fence: int
    renewal: int


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(LeaseRecord)
_NO_LEASE = LeaseRecord(holder="", fence=0, renewal=0)


class Lease(Service):
    """One host's part in one lease.

    Parameters
    ----------
    lease_name : str
        Name of the lease object.
    holder : str
        Name and incarnation of this host.
    span : float
        Seconds after the last renewal when the lease lapses.
    is_candidate : callable
        Tells whether this host should look after the lease.
    """

    handles = (ObjectRead, ObjectWritten, ObjectConflict, ObjectCallFailed)
    name = "lease"

    def __init__(
        self,
        *,
        lease_name: str,
        holder: str,
        span: float,
        is_candidate: Callable[[], bool],
    ) -> None:
        self.lease_name = lease_name
        self._is_candidate = is_candidate
        self._holder = holder
        self._span = span
        self._number = 0
        self._has_call = False
        self._due = 0.0
        self._seen = _NO_LEASE
        self._seen_version: int | None = None
        self._seen_at = 0.0
        self._sent_at = 0.0
        self._sent = _NO_LEASE
        self._deadline = 0.0
        self._held_since = 0.0

    @property
    def fence(self) -> int:
        """Fencing number of the lease as last seen."""
        return self._seen.fence

    def holds(self, now: float) -> bool:
        """Tell whether this host may act under the lease right now."""
        return now < self._deadline

    @property
    def held_since(self) -> float:
        """Time at which this host began to hold the lease."""
        return self._held_since

    def expire(self, now: float) -> Iterable[Any]:
        """Look at the lease, renew it, or take it when it has lapsed."""
        if now < self._due or self._has_call:
            return ()
        self._due = now + self._span * RENEW_FRACTION
        if not self._is_candidate():
            return ()
        if self._may_write(now):
            return [self._write(now)]
        return [self._read()]

    def next_deadline(self) -> float | None:
        """Time of the next look or renewal."""
        return None if self._has_call else self._due

    def _may_write(self, now: float) -> bool:
        if self._seen_version is None:
            return False
        if self._seen.holder in ("", self._holder):
            return True
        lapse = self._span * (1 + MARGIN_FRACTION)
        return now >= self._seen_at + lapse

    def _write(self, now: float) -> WriteObject:
        is_mine = self._seen.holder == self._holder
        self._sent = LeaseRecord(
            holder=self._holder,
            fence=self._seen.fence if is_mine else self._seen.fence + 1,
            renewal=self._seen.renewal + 1,
        )
        self._sent_at = now
        return WriteObject(
            tag=self._next_tag(),
            kind=LEASES_KIND,
            name=self.lease_name,
            value=_ENCODER.encode(self._sent),
            expected=self._seen_version or 0,
        )

    def _read(self) -> ReadObject:
        return ReadObject(tag=self._next_tag(), kind=LEASES_KIND, name=self.lease_name)

    def _next_tag(self) -> CallTag:
        self._number += 1
        self._has_call = True
        return CallTag(LEASES_KIND, self.lease_name, self._number)

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Take the result of a call to the platform."""
        tag = event.tag
        if tag.service != LEASES_KIND or tag.number != self._number:
            return ()
        self._has_call = False
        if isinstance(event, ObjectRead):
            self._handle_read(event, now)
        elif isinstance(event, ObjectWritten):
            self._handle_written(event, now)
        else:
            # Somebody else wrote, or the outcome is unknown: read it back.
            self._seen_version = None
            self._due = now if isinstance(event, ObjectConflict) else self._due
        return ()

    def _handle_read(self, event: ObjectRead, now: float) -> None:
        record = _DECODER.decode(event.value) if event.value else _NO_LEASE
        if event.version != self._seen_version or record != self._seen:
            if record != self._seen:
                self._seen_at = now
            self._seen = record
            self._seen_version = event.version
        if record == self._sent and record.holder == self._holder:
            # An unanswered write took effect; it counts from when it was sent.
            self._extend()
        if self._may_write(now):
            self._due = now

    def _handle_written(self, event: ObjectWritten, now: float) -> None:
        self._seen = self._sent
        self._seen_version = event.version
        self._seen_at = now
        self._extend()

    def _extend(self) -> None:
        if self._sent_at >= self._deadline:
            self._held_since = self._sent_at
        self._deadline = self._sent_at + self._span

    def abandon(self) -> None:
        """Act no more under the lease; it lapses by itself."""
        self._deadline = 0.0
        self._seen_version = None

    def dump(self) -> dict[str, Any]:
        """Return who holds the lease as last seen."""
        return {
            "holder": self._seen.holder,
            "fence": self._seen.fence,
            "deadline": self._deadline,
        }
