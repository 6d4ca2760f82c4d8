"""Leases for control duties, stored as objects of the platform.

Hosts compare no clocks. To any other host a lease has expired once it has seen the
object unchanged for the lease's span on its own clock. The holder counts the span
from just before it sent the renewal, so its own deadline is the earlier one.

A store that comes back from an older copy begins a new era, and has forgotten who took
or renewed the lease since. A lease of an era that is over is void, and nobody writes
one for as long as a holder that hasn't heard of the new era may go on.
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
# Fraction of the span that other hosts wait in addition before they take a lease,
# and fraction of the span between renewals.
MARGIN_FRACTION = 0.2
RENEW_FRACTION = 1 / 3
# Fencing numbers of an era, more than it has versions.
FENCES_PER_ERA = 2**40


class LeaseRecord(NamedTuple):
    """Stored content of a lease object.

    Attributes
    ----------
    holder : str
        Name and incarnation of the holder.
    fence : int
        Fencing number; increases with every change of holder.
    renewal : int
        Number of the write, so that every renewal changes the object.
    """

    holder: str
    fence: int
    renewal: int


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(LeaseRecord)
_NO_LEASE = LeaseRecord(holder="", fence=0, renewal=0)


class Lease(Service):
    """Acquires and renews one lease for this host.

    Parameters
    ----------
    lease_name : str
        Name of the lease object.
    holder : str
        Name and incarnation of this host.
    span : float
        Time after the last renewal when the lease expires, in seconds.
    is_candidate : callable
        Returns whether this host should try to hold the lease.
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
        self._last_record = _NO_LEASE
        self._last_version: int | None = None
        self._changed_at = 0.0
        self._sent_at = 0.0
        self._sent = _NO_LEASE
        self._deadline = 0.0
        self._held_since = 0.0
        self._held_fence = 0
        self._era = 0
        self._free_at = 0.0

    @property
    def fence(self) -> int:
        """Fencing number under which this host holds the lease, or last held it.

        Another host's write of an earlier era may replace the record meanwhile.
        """
        return self._held_fence

    def holds(self, now: float) -> bool:
        """Return whether this host may act under the lease now."""
        return now < self._deadline

    @property
    def held_since(self) -> float:
        """Time since which this host has held the lease without a gap."""
        return self._held_since

    def expire(self, now: float) -> Iterable[Any]:
        """Read the lease, renew it, or take it over when it has expired."""
        if now < self._due or self._has_call:
            return ()
        self._due = now + self._span * RENEW_FRACTION
        if not self._is_candidate():
            return ()
        if self._may_write(now):
            return [self._write(now)]
        return [self._read()]

    def next_deadline(self) -> float | None:
        """Time of the next read or renewal; None during a call."""
        return None if self._has_call else self._due

    def _may_write(self, now: float) -> bool:
        if self._last_version is None or now < self._free_at:
            return False
        if self._last_record.holder in ("", self._holder):
            return True
        return now >= self._changed_at + self._lapse

    @property
    def _lapse(self) -> float:
        """Time after which no other host acts under what it last wrote, in seconds."""
        return self._span * (1 + MARGIN_FRACTION)

    def _write(self, now: float) -> WriteObject:
        expected = self._last_version or 0
        self._sent = LeaseRecord(
            holder=self._holder,
            fence=self._choose_fence(expected),
            renewal=self._last_record.renewal + 1,
        )
        self._sent_at = now
        return WriteObject(
            tag=self._next_tag(),
            kind=LEASES_KIND,
            name=self.lease_name,
            value=_ENCODER.encode(self._sent),
            expected=expected,
        )

    def _choose_fence(self, replaced: int) -> int:
        """Return the fencing number of a write that replaces a version of the object.

        The number of a new holder is above all that the store may have forgotten: those
        of earlier eras, and those of this one that a host overwrote with a write of an
        earlier era, for a version that has been given out again.
        """
        last, first = self._last_record, self._era * FENCES_PER_ERA
        if last.holder == self._holder and last.fence > first:
            return last.fence
        return max(last.fence, first + replaced) + 1

    def _read(self) -> ReadObject:
        return ReadObject(tag=self._next_tag(), kind=LEASES_KIND, name=self.lease_name)

    def _next_tag(self) -> CallTag:
        self._number += 1
        self._has_call = True
        return CallTag(LEASES_KIND, self.lease_name, self._number)

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Handle the result of a read or write, ignoring outdated results."""
        tag = event.tag
        if tag.service != LEASES_KIND or tag.number != self._number:
            return ()
        self._has_call = False
        if isinstance(event, ObjectRead | ObjectWritten) and event.era > self._era:
            self._begin_era(event.era, now)
        elif isinstance(event, ObjectRead):
            self._handle_read(event, now)
        elif isinstance(event, ObjectWritten):
            self._handle_written(event, now)
        else:
            # Another host wrote first, or the outcome is unknown: read the object.
            self._last_version = None
            self._due = now if isinstance(event, ObjectConflict) else self._due
        return ()

    def _begin_era(self, era: int, now: float) -> None:
        """Void what was read and written before, also by the call of this answer.

        A host that starts can't tell how old an era is: it takes the first one that it
        hears of for a new one.
        """
        self._era = era
        self._free_at = now + self._lapse
        self._sent = _NO_LEASE
        self.abandon()

    def _handle_read(self, event: ObjectRead, now: float) -> None:
        record = _DECODER.decode(event.value) if event.value else _NO_LEASE
        if event.version != self._last_version or record != self._last_record:
            if record != self._last_record:
                self._changed_at = now
            self._last_record = record
            self._last_version = event.version
        if record == self._sent and record.holder == self._holder:
            # A write without an answer has succeeded after all; the span counts
            # from the time it was sent.
            self._extend()
        if self._may_write(now):
            self._due = now

    def _handle_written(self, event: ObjectWritten, now: float) -> None:
        self._last_record = self._sent
        self._last_version = event.version
        self._changed_at = now
        self._extend()

    def _extend(self) -> None:
        if self._sent_at >= self._deadline:
            self._held_since = self._sent_at
        self._deadline = self._sent_at + self._span
        self._held_fence = self._sent.fence

    def abandon(self) -> None:
        """Stop acting under the lease, without writing it; it expires on its own."""
        self._deadline = 0.0
        self._last_version = None

    def dump(self) -> dict[str, Any]:
        """Return era, holder and fencing number as last seen, and the own deadline."""
        return {
            "era": self._era,
            "holder": self._last_record.holder,
            "fence": self._last_record.fence,
            "deadline": self._deadline,
        }
