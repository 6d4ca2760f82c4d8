"""Runs callers' requests: offers to group owners, retries and resumption."""

from collections.abc import Callable, Iterator
from typing import Any

import gevent
import msgspec
from logbook import Logger

from rosemarystream._internal.backends.engine import EngineTimeouts
from rosemarystream._internal.backends.runner import WorkRunner, make_failure_frame
from rosemarystream._internal.decisions.group_loads import GroupLoads
from rosemarystream._internal.decisions.membership import Membership
from rosemarystream._internal.decisions.offer_plan import Offer, OfferPlan
from rosemarystream._internal.decisions.routing import Routing
from rosemarystream._internal.decisions.server_groups import GroupName
from rosemarystream._internal.decisions.workspace_retry_budget import (
    WorkspaceRetryBudget,
)
from rosemarystream._internal.exceptions import ErrorKind, RosemarystreamError
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.metrics import Metrics
from rosemarystream._internal.models.hop import Hop
from rosemarystream._internal.models.request import (
    CallResult,
    StreamEnd,
    StreamFailure,
    Token,
    TurnBody,
    Work,
)
from rosemarystream._internal.models.server import EntryHost
from rosemarystream._internal.peers.hop import forward_work

log = Logger(__name__)

_TURN_DECODER = msgspec.json.Decoder(TurnBody)
_TURN_ENCODER = msgspec.json.Encoder()


class EntryExchange(Service):
    """Offers requests of callers to the owners of server groups.

    No other layer retries, so the retries of several layers never multiply.

    Parameters
    ----------
    membership : Membership
        Finds the entry host that owns a group.
    routing : Routing
        Orders the groups for a request and names their owners.
    loads : GroupLoads
        Gives the queue of each group.
    runner : WorkRunner
        Runs requests of the groups that this host owns.
    budget : WorkspaceRetryBudget
        Limits the retries of each workspace.
    timeouts : EngineTimeouts
        Timeouts of the streams of engines.
    metrics : Metrics
        Counts the failed offers.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "exchange"

    def __init__(
        self,
        *,
        membership: Membership,
        routing: Routing,
        loads: GroupLoads,
        runner: WorkRunner,
        budget: WorkspaceRetryBudget,
        timeouts: EngineTimeouts,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._routing = routing
        self._loads = loads
        self._runner = runner
        self._budget = budget
        self._timeouts = timeouts
        self._metrics = metrics
        self._clock = clock
        self.open_requests = 0

    def stream_turn(self, work: Work) -> Iterator[Token | StreamEnd | StreamFailure]:
        """Run a chat turn and yield its tokens, then its end marker or failure.

        A stream that breaks off is resumed on another engine, after the tokens
        that the caller already has.
        """
        turn = _TURN_DECODER.decode(work.body)
        generated = list(turn.generated)
        for frame in self._run(work, turn, generated):
            if isinstance(frame, Token):
                generated.append(frame.text)
            yield frame._replace(request_id=work.request_id)

    def call(self, work: Work) -> CallResult | StreamFailure:
        """Run a call of a plain service and return its answer or its failure."""
        result: Any = None
        for frame in self._run(work, None, []):
            result = frame
        return result._replace(request_id=work.request_id)

    def _run(
        self, work: Work, turn: TurnBody | None, generated: list[str]
    ) -> Iterator[Any]:
        self.open_requests += 1
        self._budget.earn(work.workspace)
        plan = self._make_offer_plan(work)
        failure = _make_no_backend_failure(work)
        try:
            # The plan limits the number of offers; the range only numbers them.
            for attempt in range(1, 1_000):
                offer = plan.next_offer(self._clock())
                if offer is None:
                    break
                gevent.sleep(offer.pause)
                attempt_work = _number_attempt(work, attempt, turn, generated)
                result = yield from self._offer(attempt_work, offer)
                if result is None:
                    return
                failure = result
                kind = ErrorKind(failure.kind)
                self._metrics.count(f"offers.failed.{kind}")
                if not plan.record_failure(offer, kind, self._clock()):
                    break
            yield failure
        finally:
            self.open_requests -= 1

    def _make_offer_plan(self, work: Work) -> OfferPlan:
        return OfferPlan(
            idempotent=work.idempotent,
            deadline=work.deadline,
            order=lambda: self._routing.order_groups(work, self._clock()),
            is_waiting=self._is_waiting,
            try_spend=lambda: self._budget.try_spend(work.workspace),
        )

    def _is_waiting(self, group: GroupName) -> bool:
        return self._loads.pressure(group, self._clock()).queued > 0

    def _offer(self, work: Work, offer: Offer) -> Iterator[Any]:
        """Offer a request to a group's owner and yield the frames of the answer.

        Returns the failure of the offer, or None if it succeeded.
        """
        name = self._routing.pick_owner(offer.group, self._clock())
        owner = None if name is None else self._membership.find_host(name)
        if owner is None:
            return _make_no_backend_failure(work)
        try:
            for frame in self._send(work, offer, owner):
                if isinstance(frame, StreamFailure):
                    self._record_refusal(frame, offer, owner)
                    return frame
                if isinstance(frame, Token | StreamEnd | CallResult):
                    yield frame
            return None
        except RosemarystreamError as error:
            log.notice("offer failed: {}", error, extra={"owner": owner.name})
            now = self._clock()
            self._routing.exclusions.record_unreachable(owner.name, now)
            return make_failure_frame(work.request_id, error)

    def _record_refusal(
        self, failure: StreamFailure, offer: Offer, owner: EntryHost
    ) -> None:
        if failure.kind == ErrorKind.NOT_OWNER:
            self._routing.exclusions.record_not_owner(
                str(offer.group), owner.name, self._clock()
            )

    def _send(self, work: Work, offer: Offer, owner: EntryHost) -> Iterator[Any]:
        if owner == self._membership.me:
            return self._runner.run(work, offer.group, may_queue=offer.may_queue)
        hop = Hop(
            work=work,
            group=str(offer.group),
            may_queue=offer.may_queue,
            remaining_ms=int((work.deadline - self._clock()) * 1000),
        )
        return forward_work(
            hop, address=owner.hop_address, timeouts=self._timeouts, clock=self._clock
        )

    def dump(self) -> dict[str, Any]:
        """Return the number of open requests and of retry budgets."""
        return {"open_requests": self.open_requests, "budgets": len(self._budget)}


def _number_attempt(
    work: Work, attempt: int, turn: TurnBody | None, generated: list[str]
) -> Work:
    # Each attempt has its own identifier, so that a late frame of an earlier
    # attempt is never mistaken for a frame of this one.
    numbered = work._replace(request_id=f"{work.request_id}.{attempt}")
    if turn is None or attempt == 1:
        return numbered
    body = _TURN_ENCODER.encode(turn._replace(generated=tuple(generated)))
    return numbered._replace(body=body)


def _make_no_backend_failure(work: Work) -> StreamFailure:
    return StreamFailure(
        request_id=work.request_id,
        kind=ErrorKind.NO_BACKEND,
        message=f"no server of pool {work.pool} can be reached",
        retry_after=1.0,
    )
