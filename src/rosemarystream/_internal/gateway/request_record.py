"""What is known of a request while it is served, for the log entry at its end."""

from collections.abc import Callable
from typing import Any

from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endings import EndingCause
from rosemarystream._internal.models.log_entries.requests import RequestEnded
from rosemarystream._internal.models.route import Route


class RequestRecord:
    """Collects what is logged of a request.

    Attributes
    ----------
    call : Call
        The caller's request.
    received_at : float
        When its first byte was read.
    rank, priority : int
        Rank by the configuration, and the level sent to the engine; 0 is first.
    tried : list of str
        Servers in the order in which they were tried.
    sends : int
        Number of attempts that a server may have seen.
    limited : list of str
        Servers that did not permit another request at that moment.
    reason : str
        Reason if the request was not simply answered.
    placement : Placement or None
        The last decision on a server.
    first_event_s : float or None
        Time until the first event of a stream, in seconds.
    ending_cause : EndingCause or None
        Why an answer that has begun is not completed.
    """

    def __init__(self, *, call: Call, received_at: float) -> None:
        self.call = call
        self.received_at = received_at
        self.route: Route | None = None
        self.service: str | None = None
        self.workspace: str | None = None
        self.rank = 0
        self.priority = 0
        self.tried: list[str] = []
        self.sends = 0
        self.limited: list[str] = []
        self.reason = ""
        self.placement: Placement | None = None
        self.first_event_s: float | None = None
        self.ending_cause: EndingCause | None = None

    def make_entry(
        self,
        *,
        outcome: str,
        duration_s: float,
        answer: AnswerWriter,
        router: Router,
    ) -> RequestEnded:
        """Return the log entry of the request, which has ended."""
        call = self.call
        first_s = self.first_event_s
        return RequestEnded(
            request=call.request_id,
            route=self.route.name if self.route else None,
            service=self.service,
            workspace=self.workspace,
            outcome=outcome,
            status=answer.status,
            half_closed=answer.is_half_closed,
            ms=_round_ms(duration_s),
            first_ms=None if first_s is None else _round_ms(first_s),
            wait_ms=None if call.wait_s is None else _round_ms(call.wait_s),
            rank=self.rank,
            priority=self.priority,
            tried=self.tried,
            sends=self.sends,
            limited=self.limited,
            version=router.replica.version,
            revision=router.replica.position.revision,
            prompt=call.format_prompt(),
            reason=self.reason,
            **_describe_placement(self.placement),
        )


def measure_ms_since(time: float | None, clock: Callable[[], float]) -> float | None:
    """Return the time in milliseconds since then; None if there is no such time."""
    return None if time is None else _round_ms(clock() - time)


def _round_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _describe_placement(placement: Placement | None) -> dict[str, Any]:
    if placement is None:
        return {}
    return {
        "server": placement.endpoint.name,
        "home": placement.home,
        "home_requests": placement.home_requests,
        "home_reading": placement.home_prefill,
        "requests": placement.requests,
        "bound": placement.bound,
        "reading": placement.prefill,
        "unread": placement.uncached_tokens,
        "source": placement.source.name if placement.source else None,
        "slowness": round(placement.slowness, 2),
        "counts_age_ms": _round_ms(placement.counts_age_s),
    }
