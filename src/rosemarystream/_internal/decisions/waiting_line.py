"""Requests for a plain service that wait in a host while its servers are full.

Handles a burst of some seconds, a workspace that sends several times its usual rate,
callers that return at once, and a server that is gone. A request looks several times
whether it may be sent while it can still meet its objective, then waits for what
others leave, and is refused early enough that its caller can return in time.
"""

from enum import StrEnum
from typing import NamedTuple

from rosemarystream._internal.decisions.admission_share import (
    OPEN_FILL,
    AdmissionShare,
    ServiceLoad,
)

# Part of the time until its objective in which a request looks for a place; the rest
# is left for the server, which queues requests as well.
HOLD_SHARE = 0.2
# Looks in that time.
LOOKS = 6
# Time between two looks of a request that can't meet its objective, in seconds.
LATE_STEP_S = 0.04
# Shortest time between two looks, in seconds; it bounds the processor time of waiting.
MIN_STEP_S = 0.004
# Requests of one service that wait in a host.
MAX_WAITING = 64
# How much earlier a request of the most urgent rank has its turn, and how much later
# one for each request of its workspace that waits already, in seconds. As both are
# bounded, nothing waits behind later requests for ever.
RANK_LEAD_S = 0.01
WORKSPACE_DELAY_S = 0.005
MAX_WORKSPACE_DELAY_S = 0.02


class Action(StrEnum):
    """What a request may do."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class Decision(NamedTuple):
    """What a request may do; `wait_s` is the time until the next look, in seconds."""

    action: Action
    wait_s: float = 0.0


class Ticket:
    """A request that waits.

    Attributes
    ----------
    joined_at, objective_at, deadline : float
        Times at which it came, by which the answer is due, and by which it is useless.
    turn_at : float
        Place in the order of the requests that wait; set when it joins.
    is_granted : bool
        Whether it may be sent.
    """

    def __init__(
        self,
        *,
        is_urgent: bool,
        workspace: str | None,
        joined_at: float,
        objective_at: float,
        deadline: float,
    ) -> None:
        self.is_urgent = is_urgent
        self.workspace = workspace
        self.joined_at = joined_at
        self.objective_at = objective_at
        self.deadline = deadline
        self.turn_at = joined_at
        self.is_granted = False

    @property
    def hold_s(self) -> float:
        """Time for which it can wait and still meet its objective, in seconds."""
        return HOLD_SHARE * (self.objective_at - self.joined_at)

    def is_late(self, now: float) -> bool:
        """Return whether it can't meet its objective any more."""
        return now > self.joined_at + self.hold_s


class WaitingLine:
    """The requests of one host that wait for one service."""

    def __init__(self) -> None:
        self.share = AdmissionShare()
        self._waiting: list[Ticket] = []
        # Sum of the shares of the looks so far; a request is sent for each 1.0.
        self._credit = 0.5

    def __len__(self) -> int:
        return len(self._waiting)

    def is_open(self, load: ServiceLoad, now: float) -> bool:
        """Return whether a request is sent at once, as places are known to be free."""
        self.share.observe(load, now)
        if self._waiting or not self.share.is_open:
            return False
        return load.fill < self.share.target_fill

    @property
    def is_full(self) -> bool:
        """Whether no more requests may wait."""
        return len(self._waiting) >= MAX_WAITING

    def join(self, ticket: Ticket) -> None:
        """Add a request."""
        same = sum(other.workspace == ticket.workspace for other in self._waiting)
        ticket.turn_at = ticket.joined_at + min(
            MAX_WORKSPACE_DELAY_S, WORKSPACE_DELAY_S * same
        )
        if ticket.is_urgent:
            ticket.turn_at -= RANK_LEAD_S
        self._waiting.append(ticket)

    def leave(self, ticket: Ticket) -> None:
        """Remove a request that is sent, refused, or whose caller has left."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def decide(self, ticket: Ticket, load: ServiceLoad, now: float) -> Decision:
        """Return what a request that waits may do now."""
        self.share.observe(load, now)
        is_late = ticket.is_late(now)
        if now + self.share.response_s > ticket.deadline:
            return Decision(Action.REFUSE)
        if not ticket.is_granted and not self.share.is_overfilled(load):
            share = self.share.find(is_urgent=ticket.is_urgent, is_late=is_late)
            self._grant(share, now)
        if ticket.is_granted:
            return Decision(Action.SEND)
        step_s = LATE_STEP_S if is_late else ticket.hold_s / LOOKS
        if now + step_s > self._find_end(ticket):
            # The mean load lags behind; none is refused while places are known free.
            has_place = load.fill < OPEN_FILL
            return Decision(Action.SEND if has_place else Action.REFUSE)
        return Decision(Action.WAIT, max(MIN_STEP_S, step_s))

    def _grant(self, share: float, now: float) -> None:
        """Count a look, and let the first in order go if one is due."""
        self._credit += share
        if self._credit < 1.0:
            return
        self._credit -= 1.0
        waiting = [ticket for ticket in self._waiting if not ticket.is_granted]
        first = min(waiting, key=lambda t: (t.is_late(now), t.turn_at))
        first.is_granted = True

    def _find_end(self, ticket: Ticket) -> float:
        """Return until when a request may wait, so that it's served by its deadline.

        The smaller the share, the earlier: its caller may then return with enough time
        left, as a returning request looks for a place in time again.
        """
        most_s = ticket.deadline - ticket.joined_at
        end = ticket.joined_at + max(ticket.hold_s, self.share.value * most_s)
        return min(end, ticket.deadline - self.share.response_s)
