"""Claims on idempotency keys, so that a request runs at most once.

Claims are stored in shards, each an object of the platform. A claim is granted
only after a conditional write that contains it is known to have succeeded, so two
hosts can never hold the same key. This does not depend on leases or clocks.
"""

from collections.abc import Iterable
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import (
    CallTag,
    ClaimDecided,
    ClaimOutcome,
    ObjectCallFailed,
    ObjectConflict,
    ObjectRead,
    ObjectWritten,
    ReadObject,
    WriteObject,
)

CLAIMS_KIND = "claims"
# Limit on the waiting claims of a shard, and on its unwritten settlements.
MAX_WAITING = 10_000
# Limit on the estimated size of a shard, and the estimate of an entry's size
# without its answer.
MAX_SHARD_BYTES = 900_000
RECORD_BYTES = 160
# Entries are kept for this long after `retain_until`.
PRUNE_MARGIN_SECONDS = 60.0
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0


class ClaimRecord(NamedTuple):
    """Stored claim: an entry of a shard.

    Attributes
    ----------
    attempt_id : str
        Attempt that holds the key.
    retain_until : float
        Time, in seconds since the epoch, until which the entry is kept.
    status : int
        HTTP status of the recorded answer; 0 if there is none yet.
    body : str
        Body of the recorded answer.
    """

    attempt_id: str
    retain_until: float
    status: int = 0
    body: str = ""


class ClaimRequest(NamedTuple):
    """Request to claim a key.

    Attributes
    ----------
    key : str
        Digest of workspace, pool and idempotency key.
    attempt_id : str
        Unique identifier of the attempt.
    deadline : float
        Time after which the claim is decided as unavailable.
    retain_until : float
        Time until which the claim is kept.
    """

    key: str
    attempt_id: str
    deadline: float
    retain_until: float


class Settlement(NamedTuple):
    """Final state of a claim after its request has ended.

    Attributes
    ----------
    key, attempt_id : str
        The claim.
    record : ClaimRecord or None
        Record with the answer to keep, or None to release the key.
    """

    key: str
    attempt_id: str
    record: ClaimRecord | None


class _Phase(StrEnum):
    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(dict[str, ClaimRecord])


class ClaimShard:
    """Claim protocol of one shard on this host, with at most one call in flight.

    Parameters
    ----------
    name : str
        Name of the shard's object.
    batch_seconds : float
        Time for which claims are collected before they are written together,
        in seconds.
    """

    def __init__(self, *, name: str, batch_seconds: float) -> None:
        self.name = name
        self._batch_seconds = batch_seconds
        self._phase = _Phase.IDLE
        self._number = 0
        self._version: int | None = None
        self._records: dict[str, ClaimRecord] = {}
        self._waiting: dict[str, ClaimRequest] = {}
        self._settlements: list[Settlement] = []
        self._written: dict[str, ClaimRecord] = {}
        self._unconfirmed: list[Settlement] = []
        self._write_at: float | None = None
        self._backoff = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no call is in flight and nothing waits to be written."""
        return self._phase is _Phase.IDLE and not self._has_work()

    @property
    def write_at(self) -> float | None:
        """Time of the next read or write; None while idle or during a call."""
        return self._write_at if self._phase is _Phase.IDLE else None

    @property
    def waiting_deadline(self) -> float | None:
        """Earliest deadline of a waiting claim, or None."""
        return min((r.deadline for r in self._waiting.values()), default=None)

    def _has_work(self) -> bool:
        return bool(self._waiting or self._settlements)

    def request(self, request: ClaimRequest, now: float) -> list[Any]:
        """Add a claim, which is decided with the next read or write."""
        if len(self._waiting) >= MAX_WAITING:
            return [_make_decision(request.attempt_id, ClaimOutcome.UNAVAILABLE)]
        self._waiting[request.attempt_id] = request
        held = self._records.get(request.key)
        if held is not None and not held.status and self._phase is _Phase.IDLE:
            # The holder may have recorded its answer since the last read, so
            # read the shard again.
            self._version = None
        self._schedule(now)
        return []

    def settle(self, settlement: Settlement, now: float) -> None:
        """Record the final state of a claim, to be written with the next batch."""
        self._settlements.append(settlement)
        del self._settlements[:-MAX_WAITING]
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        if self._write_at is None:
            self._write_at = now + max(self._batch_seconds, self._backoff)

    def expire(self, now: float) -> list[Any]:
        """Expire claims past their deadline and start the read or write that is due."""
        actions = self._expire_claims(now)
        due = self._write_at is not None and now >= self._write_at
        if due and self._phase is _Phase.IDLE:
            self._write_at = None
            actions.extend(self._start_call(now))
        return actions

    def _expire_claims(self, now: float) -> list[Any]:
        expired = [r for r in self._waiting.values() if r.deadline <= now]
        actions = []
        for request in expired:
            # A write whose outcome is unknown may have stored the claim, so
            # release the key.
            del self._waiting[request.attempt_id]
            self.settle(Settlement(request.key, request.attempt_id, None), now)
            actions.append(_make_decision(request.attempt_id, ClaimOutcome.UNAVAILABLE))
        return actions

    def _start_call(self, now: float) -> list[Any]:
        if not self._has_work():
            return []
        if self._version is None:
            return [self._read()]
        return self._write(now)

    def _read(self) -> ReadObject:
        self._phase = _Phase.READING
        return ReadObject(tag=self._next_tag(), kind=CLAIMS_KIND, name=self.name)

    def _next_tag(self) -> CallTag:
        self._number += 1
        return CallTag(service=CLAIMS_KIND, name=self.name, number=self._number)

    def _write(self, now: float) -> list[Any]:
        actions = self._decide_recorded()
        wanted = self._merge_changes(now)
        if wanted == self._records:
            return actions
        assert self._version is not None
        self._written = wanted
        self._phase = _Phase.WRITING
        write = WriteObject(
            tag=self._next_tag(),
            kind=CLAIMS_KIND,
            name=self.name,
            value=_ENCODER.encode(wanted),
            expected=self._version,
        )
        return [*actions, write]

    def _decide_recorded(self) -> list[Any]:
        """Decide every waiting claim whose key has an entry in the store."""
        actions = []
        for request in list(self._waiting.values()):
            record = self._records.get(request.key)
            if record is None:
                continue
            del self._waiting[request.attempt_id]
            if record.attempt_id == request.attempt_id:
                actions.append(_make_decision(request.attempt_id, ClaimOutcome.GRANTED))
            else:
                actions.append(
                    ClaimDecided(
                        attempt_id=request.attempt_id,
                        outcome=ClaimOutcome.HELD,
                        status=record.status,
                        body=record.body,
                    )
                )
        return actions

    def _merge_changes(self, now: float) -> dict[str, ClaimRecord]:
        horizon = now - PRUNE_MARGIN_SECONDS
        records = {
            key: record
            for key, record in self._records.items()
            if record.retain_until > horizon
        }
        for settlement in self._settlements:
            held = records.get(settlement.key)
            if held is None or held.attempt_id != settlement.attempt_id:
                continue
            if settlement.record is None:
                del records[settlement.key]
            else:
                records[settlement.key] = settlement.record
        self._unconfirmed, self._settlements = self._settlements, []
        for request in self._waiting.values():
            # If two attempts claim one key, only the first is written; the other
            # is decided by its entry once the write has succeeded.
            record = ClaimRecord(request.attempt_id, request.retain_until)
            records.setdefault(request.key, record)
        return _limit_size(records, keep=self._records)

    def handle_read(self, event: ObjectRead, now: float) -> list[Any]:
        """Handle a read: decide claims on held keys and write the rest."""
        self._phase = _Phase.IDLE
        self._backoff = 0.0
        self._version = event.version
        self._records = _DECODER.decode(event.value) if event.value else {}
        return self._decide_recorded() + self._start_call(now)

    def handle_written(self, event: ObjectWritten, now: float) -> list[Any]:
        """Handle a successful write: grant the claims that it contained."""
        self._phase = _Phase.IDLE
        self._unconfirmed = []
        self._backoff = 0.0
        self._version = event.version
        self._records = self._written
        actions = self._decide_recorded()
        if self._has_work():
            self._schedule(now)
        return actions

    def _end_failed_write(self) -> None:
        self._phase = _Phase.IDLE
        self._settlements = self._unconfirmed + self._settlements
        self._unconfirmed = []

    def handle_conflict(self, now: float) -> list[Any]:
        """Handle a lost race with another host's write: read, then write again."""
        self._end_failed_write()
        self._version = None
        return self._start_call(now)

    def handle_failure(self, now: float) -> list[Any]:
        """Handle a call of unknown outcome: back off, then read before writing."""
        self._end_failed_write()
        self._version = None
        self._backoff = min(
            MAX_BACKOFF_SECONDS, max(MIN_BACKOFF_SECONDS, 2 * self._backoff)
        )
        self._write_at = None
        if self._has_work():
            self._schedule(now)
        return []

    def is_current(self, tag: CallTag) -> bool:
        """Return whether a result belongs to the call in flight."""
        return self._phase is not _Phase.IDLE and tag.number == self._number

    def dump(self) -> dict[str, Any]:
        """Return the state of the protocol and its number of claims."""
        return {
            "phase": self._phase,
            "waiting": len(self._waiting),
            "records": len(self._records),
            "version": self._version,
        }


def _make_decision(attempt_id: str, outcome: ClaimOutcome) -> ClaimDecided:
    return ClaimDecided(attempt_id=attempt_id, outcome=outcome, status=0, body="")


def _limit_size(
    records: dict[str, ClaimRecord], *, keep: dict[str, ClaimRecord]
) -> dict[str, ClaimRecord]:
    """Return records that fit into the shard.

    Drops all recorded answers first, and if that is not enough, the new claims.
    """
    size = sum(RECORD_BYTES + len(record.body) for record in records.values())
    if size <= MAX_SHARD_BYTES:
        return records
    bare = {key: record._replace(status=0, body="") for key, record in records.items()}
    if len(bare) * RECORD_BYTES <= MAX_SHARD_BYTES:
        return bare
    return {key: record for key, record in bare.items() if key in keep}


class Claims(Service):
    """Grants claims on keys; runs the protocol of every shard in use.

    Parameters
    ----------
    shards : int
        Number of shards; must be the same on all hosts.
    batch_seconds : float
        Time for which claims are collected before they are written together,
        in seconds.
    """

    name = "claims"
    handles = (ObjectRead, ObjectWritten, ObjectConflict, ObjectCallFailed)

    def __init__(self, *, shards: int, batch_seconds: float) -> None:
        self._shards = shards
        self._batch_seconds = batch_seconds
        self._open: dict[str, ClaimShard] = {}

    def find_shard(self, key: str) -> ClaimShard:
        """Return the shard that stores a key."""
        name = f"{int(key[:8], 16) % self._shards:04d}"
        if name not in self._open:
            self._open[name] = ClaimShard(name=name, batch_seconds=self._batch_seconds)
        return self._open[name]

    def request(self, request: ClaimRequest, now: float) -> list[Any]:
        """Add a claim; its decision is returned or posted as `ClaimDecided`."""
        return self.find_shard(request.key).request(request, now)

    def settle(self, settlement: Settlement, now: float) -> None:
        """Record the final state of a claim."""
        self.find_shard(settlement.key).settle(settlement, now)

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Handle the result of a read or write, ignoring outdated results."""
        if event.tag.service != CLAIMS_KIND:
            return ()
        shard = self._open.get(event.tag.name)
        if shard is None or not shard.is_current(event.tag):
            return ()
        if isinstance(event, ObjectRead):
            return shard.handle_read(event, now)
        if isinstance(event, ObjectWritten):
            return shard.handle_written(event, now)
        if isinstance(event, ObjectConflict):
            return shard.handle_conflict(now)
        return shard.handle_failure(now)

    def expire(self, now: float) -> Iterable[Any]:
        """Expire claims past their deadline and start the calls that are due."""
        return [a for shard in self._open.values() for a in shard.expire(now)]

    def next_deadline(self) -> float | None:
        """Time of the earliest due call or claim deadline, or None."""
        deadlines = [
            deadline
            for shard in self._open.values()
            for deadline in (shard.write_at, shard.waiting_deadline)
            if deadline is not None
        ]
        return min(deadlines, default=None)

    def dump(self) -> dict[str, Any]:
        """Return the state of the shards that are not idle."""
        return {
            name: shard.dump()
            for name, shard in self._open.items()
            if not shard.is_idle
        }
