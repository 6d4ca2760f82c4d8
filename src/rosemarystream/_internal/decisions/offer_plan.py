"""Offers of one request to server groups, and its retries.

An `OfferPlan` belongs to one request. It picks the group for the next offer and
decides after a failure whether a retry is safe and allowed.
"""

from collections.abc import Callable
from typing import NamedTuple

from rosemarystream._internal.decisions.server_groups import GroupName
from rosemarystream._internal.exceptions import ANSWERS, ErrorKind, Execution

# Failed offers after which a request is given up.
MAX_FAILURES = 12
# Preferred groups that are tried without queueing before the request waits at one.
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
    """Next group to send a request to.

    Attributes
    ----------
    group : GroupName
        Group that the request is offered to.
    may_queue : bool
        Whether it may be queued there.
    pause : float
        Time to wait before the offer, in seconds.
    """

    group: GroupName
    may_queue: bool
    pause: float


class OfferPlan:
    """Chooses the offers of one request, one after another.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run twice on backend servers.
    deadline : float
        Deadline of the request.
    order : callable
        Returns the groups in the present order of preference.
    is_waiting : callable
        Returns whether requests are reported to wait at a group.
    try_spend : callable
        Takes one retry from the workspace's budget; returns False if it is empty.
    """

    def __init__(
        self,
        *,
        idempotent: bool,
        deadline: float,
        order: Callable[[], list[GroupName]],
        is_waiting: Callable[[GroupName], bool],
        try_spend: Callable[[], bool],
    ) -> None:
        self._idempotent = idempotent
        self._deadline = deadline
        self._order = order
        self._is_waiting = is_waiting
        self._try_spend = try_spend
        self._busy: set[GroupName] = set()
        self._failed: set[GroupName] = set()
        self._failures = 0
        self._rounds = 0

    def next_offer(self, now: float) -> Offer | None:
        """Return the next offer, or None if the request has to be given up."""
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
        # Every group has failed: try them all again after a pause, with
        # exponential backoff.
        self._busy.clear()
        self._failed.clear()
        self._rounds += 1
        pause = MIN_BACKOFF_SECONDS * 2 ** (self._rounds - 1)
        return min(MAX_BACKOFF_SECONDS, pause)

    def _pick_idle_group(self, groups: list[GroupName]) -> GroupName | None:
        if len(groups) == 1:
            return None
        excluded = self._busy | self._failed
        for position, group in enumerate(groups[:MAX_SPILL_GROUPS]):
            if group in excluded:
                continue
            # A report of a queue may be outdated, so the first group, which
            # caches the context, is tried even if requests waited there.
            if position == 0 or not self._is_waiting(group):
                return group
        return None

    def _pick_queueing_group(self, groups: list[GroupName]) -> GroupName:
        usable = [group for group in groups if group not in self._failed]
        idle = (group for group in usable if not self._is_waiting(group))
        return next(idle, usable[0])

    def record_failure(self, offer: Offer, kind: ErrorKind, now: float) -> bool:
        """Record that an offer failed; return whether to make another one."""
        if kind is ErrorKind.OVERLOADED and not offer.may_queue:
            self._busy.add(offer.group)
            return True
        if kind not in _RETRYABLE_KINDS or not self._is_safe_to_retry(kind):
            return False
        self._failures += 1
        self._failed.add(offer.group)
        return self._has_not_run(kind) or self._try_spend()

    def _is_safe_to_retry(self, kind: ErrorKind) -> bool:
        return self._idempotent or self._has_not_run(kind)

    def _has_not_run(self, kind: ErrorKind) -> bool:
        return ANSWERS[kind].execution is Execution.NOT_RUN
