"""Calls that may run at most once.

The idempotency key of the call is claimed before anything is sent to a server.
"""

import hashlib
from collections.abc import Callable
from typing import Any

from gevent import Timeout
from gevent.event import AsyncResult

from rosemarystream._internal.callers.exchange import EntryExchange
from rosemarystream._internal.decisions.claims import (
    ClaimRecord,
    ClaimRequest,
    Claims,
    Settlement,
)
from rosemarystream._internal.exceptions import (
    ANSWERS,
    ErrorKind,
    Execution,
    RequestError,
)
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import ClaimDecided, ClaimOutcome
from rosemarystream._internal.models.request import CallResult, StreamFailure, Work

KEY_DIGEST_BYTES = 16
MAX_KEY_CHARACTERS = 200
DECISION_MARGIN_SECONDS = 0.5


class ClaimTimes:
    """Durations of claims.

    Parameters
    ----------
    wait : float
        Longest wait for the decision on a claim, in seconds.
    retain : float
        Seconds that a claim and its recorded answer are kept.
    """

    def __init__(self, *, wait: float, retain: float) -> None:
        self.wait = wait
        self.retain = retain


class ClaimedCalls(Service):
    """Runs calls that are not idempotent, under a claim on their key.

    Parameters
    ----------
    kernel : Kernel
        Receives the actions that requesting a claim returns.
    claims : Claims
        Decides who holds a key and records answers.
    exchange : EntryExchange
        Runs the call once its key is claimed.
    times : ClaimTimes
        Durations of claims.
    answer_bytes : int
        Size of the largest answer that is recorded and replayed to repeats.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "claimed_calls"
    handles = (ClaimDecided,)

    def __init__(
        self,
        *,
        kernel: Kernel,
        claims: Claims,
        exchange: EntryExchange,
        times: ClaimTimes,
        answer_bytes: int,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._claims = claims
        self._exchange = exchange
        self._times = times
        self._answer_bytes = answer_bytes
        self._clock = clock
        self._waiters: dict[str, AsyncResult] = {}

    def handle(self, event: ClaimDecided, now: float) -> tuple[()]:
        """Wake the greenlet of the call whose claim was decided."""
        waiter = self._waiters.get(event.attempt_id)
        if waiter is not None:
            waiter.set(event)
        return ()

    def call(self, work: Work, key: str | None) -> CallResult | StreamFailure:
        """Claim the key, run the call and record its answer.

        A repeat gets the recorded answer, if there is one.

        Raises
        ------
        RequestError
            If the key is missing or too long; nothing has run.
        """
        digest = digest_key(work, key)
        decision = self._claim(work, digest)
        if decision.outcome is ClaimOutcome.UNAVAILABLE:
            return _make_failure(
                work, ErrorKind.CLAIM_UNAVAILABLE, "the key is not claimed"
            )
        if decision.outcome is ClaimOutcome.HELD:
            return _replay_answer(work, decision)
        result = self._exchange.call(work)
        self._settle(work, digest, result)
        return result

    def _claim(self, work: Work, digest: str) -> ClaimDecided:
        now = self._clock()
        request = ClaimRequest(
            key=digest,
            attempt_id=work.request_id,
            deadline=min(work.deadline, now + self._times.wait),
            retain_until=now + self._times.retain,
        )
        waiter = self._waiters[work.request_id] = AsyncResult()
        try:
            for action in self._claims.request(request, now):
                self._kernel.post(action, now)
            self._kernel.notify()
            wait = request.deadline - now + DECISION_MARGIN_SECONDS
            return waiter.get(timeout=wait)
        except Timeout:
            # A grant that arrives later finds no waiter, so the call is never sent.
            return ClaimDecided(work.request_id, ClaimOutcome.UNAVAILABLE, 0, "")
        finally:
            del self._waiters[work.request_id]

    def _settle(
        self, work: Work, digest: str, result: CallResult | StreamFailure
    ) -> None:
        record = None
        if isinstance(result, CallResult):
            record = self._make_record(work, result)
        elif ANSWERS[ErrorKind(result.kind)].execution is not Execution.NOT_RUN:
            return
        self._claims.settle(
            Settlement(key=digest, attempt_id=work.request_id, record=record),
            self._clock(),
        )
        self._kernel.notify()

    def _make_record(self, work: Work, result: CallResult) -> ClaimRecord:
        fits = len(result.body) <= self._answer_bytes
        return ClaimRecord(
            attempt_id=work.request_id,
            retain_until=self._clock() + self._times.retain,
            status=result.status if fits else 0,
            body=result.body.decode(errors="replace") if fits else "",
        )

    def dump(self) -> dict[str, Any]:
        """Return the number of calls that wait for the decision on a claim."""
        return {"undecided": len(self._waiters)}


def digest_key(work: Work, key: str | None) -> str:
    """Return the digest under which the claim shards store a key.

    The workspace and the pool are part of it, so that equal keys of two
    workspaces or pools are different claims.

    Raises
    ------
    RequestError
        If the key is missing or too long.
    """
    if not key or len(key) > MAX_KEY_CHARACTERS:
        raise RequestError(
            "a call that is not idempotent needs an Idempotency-Key header of "
            f"at most {MAX_KEY_CHARACTERS} characters"
        )
    text = "\x00".join((work.workspace, work.pool, key))
    return hashlib.blake2b(text.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


def _make_failure(work: Work, kind: ErrorKind, message: str) -> StreamFailure:
    return StreamFailure(
        request_id=work.request_id, kind=kind, message=message, retry_after=1.0
    )


def _replay_answer(work: Work, decision: ClaimDecided) -> CallResult | StreamFailure:
    if decision.status:
        return CallResult(work.request_id, decision.status, decision.body.encode())
    message = "another request holds this key and its answer is not known here"
    return _make_failure(work, ErrorKind.ALREADY_CLAIMED, message)
