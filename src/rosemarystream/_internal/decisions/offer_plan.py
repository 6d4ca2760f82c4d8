"""The order in which one request is offered to server groups, and retries.

An `OfferPlan` belongs to one request. It says where to go next and, after
each failure, whether another try is safe and worth it.
"""

from collections.abc import Callable
from typing import NamedTuple

from rosemarystream._internal.decisions.server_groups import GroupName
from rosemarystream._internal.exceptions import ANSWERS, ErrorKind, Execution

MAX_FAILURES = 12
MAX_SPILL_GROUPS = 3
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
_RETRYABLE_KINDS = frozenset(
    {
        ErrorKind.NO_BACKEND,
        ErrorKind.NOT_OWNER,
        ErrorKind.LEAVING,
        ErrorKind.BACKEND_REFUSED,
        ErrorKind.STREAM_BROKEN,
        ErrorKind.OUTCOME_UNKNOWN,
    }
)


class Offer(NamedTuple):
    """Where to send a request next.

    Attributes
    ----------
    group : GroupName
        Group that it is offered to.
    may_queue : bool
        Whether it may wait there.
    pause : float
        Seconds to wait before the offer is made.
    """

    group: GroupName
    may_queue: bool
    pause: float


class OfferPlan:
    """Decides the next offer of one request.

    Parameters
    ----------
    idempotent : bool
        Whether the back end may see the request twice.
    deadline : float
        Deadline of the request.
    order : callable
        Returns the groups, best first, at the present moment.
    is_waiting : callable
        Tells whether requests wait at a group already.
    spend : callable
        Takes one retry from the workspace's budget; False when it is used up.
    """

    def __init__(
        self,
        *,
        idempotent: bool,
        deadline: float,
        order: Callable[[], list[GroupName]],
        is_waiting: Callable[[GroupName], bool],
        spend: Callable[[], bool],
    ) -> None:
        self._idempotent = idempotent
        self._deadline = deadline
        self._order = order
        self._is_waiting = is_waiting
        self._spend = spend
        self._busy: set[GroupName] = set()
        self._failed: set[GroupName] = set()
        self._failures = 0
        self._rounds = 0

    def next_offer(self, now: float) -> Offer | None:
        """Return the next offer, or None when there is nowhere to go."""
        if now >= self._deadline or self._failures >= MAX_FAILURES:
            return None
        groups = self._order()
        if not groups:
            return None
        pause = 0.0
        if self._failed.issuperset(groups):
            pause = self._start_round()
        group = self._pick_idle_group(groups)
        if group is not None:
            return Offer(group=group, may_queue=False, pause=pause)
        return Offer(
            group=self._pick_queueing_group(groups), may_queue=True, pause=pause
        )

    def _start_round(self) -> float:
        # Every group failed: wait a little, longer each time, and start anew.
        self._busy.clear()
        self._failed.clear()
        self._rounds += 1
        pause = MIN_BACKOFF_SECONDS * 2 ** (self._rounds - 1)
        return min(MAX_BACKOFF_SECONDS, pause)

    def _pick_idle_group(self, groups: list[GroupName]) -> GroupName | None:
        if len(groups) == 1:
            return None
        passed_over = self._busy | self._failed
        for position, group in enumerate(groups[:MAX_SPILL_GROUPS]):
            if group in passed_over:
                continue
            # What is heard of a queue is old; the group that holds the
            # context is asked all the same.
            if position == 0 or not self._is_waiting(group):
                return group
        return None

    def _pick_queueing_group(self, groups: list[GroupName]) -> GroupName:
        usable = [group for group in groups if group not in self._failed]
        idle = (group for group in usable if not self._is_waiting(group))
        return next(idle, usable[0])

    def record_failure(self, offer: Offer, kind: ErrorKind, now: float) -> bool:
        """Take that an offer failed; return whether to make another one."""
        if kind is ErrorKind.OVERLOADED and not offer.may_queue:
            self._busy.add(offer.group)
            return True
        if kind not in _RETRYABLE_KINDS or not self._is_safe_to_retry(kind):
            return False
        self._failures += 1
        self._failed.add(offer.group)
        return self._has_not_run(kind) or self._spend()

    def _is_safe_to_retry(self, kind: ErrorKind) -> bool:
        return self._idempotent or self._has_not_run(kind)

    def _has_not_run(self, kind: ErrorKind) -> bool:
        return ANSWERS[kind].execution is Execution.NOT_RUN
