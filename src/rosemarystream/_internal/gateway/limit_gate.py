"""Permissions to send requests to backend servers that limit them.

A host asks the first collector of its data centre for a permission right before it
sends a request. The questions and answers travel in gossip messages.
"""

from collections.abc import Callable
from itertools import count

from gevent import Timeout
from gevent.event import AsyncResult

from rosemarystream._internal.decisions.limit_quotas import (
    Decision,
    LimitQuotas,
    compute_share,
)
from rosemarystream._internal.decisions.live_hosts import Peer
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.server_limits import ServerLimits
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.gossip import (
    HostAddress,
    QuotaAnswer,
    QuotaQuestion,
)

# Time to wait for the answer of another host; a permission that comes later is lost.
ANSWER_TIMEOUT_S = 0.06
# Time for which a server counts as used up if there was no answer.
UNANSWERED_WAIT_S = 0.2
# Longest time for which a server counts as used up without another question.
MAX_WAIT_S = 1.0
_MS_PER_S = 1000
_NO_ANSWER = Decision(is_permitted=False, wait_s=UNANSWERED_WAIT_S)


class LimitGate:
    """Asks for permissions, and gives them while this host is the first collector.

    Parameters
    ----------
    first_number : int
        Number of the first question; higher than any of an earlier process, so that a
        late answer to one of those is not taken for another.
    send_question : callable
        Sends a question to another host.
    """

    def __init__(
        self,
        *,
        this_host: HostAddress,
        first_number: int,
        clock: Callable[[], float],
        peer_table: PeerTable,
        limits: ServerLimits,
        send_question: Callable[[Peer, QuotaQuestion], None],
    ) -> None:
        self._this_host = this_host
        self._clock = clock
        self._peer_table = peer_table
        self._limits = limits
        self._send_question = send_question
        self._quotas = LimitQuotas()
        self._numbers = count(first_number)
        self._waiting: dict[int, AsyncResult] = {}

    def admit(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to a server now.

        If not, the server counts as used up until there may be room again.
        """
        server = endpoint.number
        if not self._limits.is_limited(server):
            return True
        if not self._limits.is_open(server, self._clock()):
            return False
        is_nearby = endpoint.data_centre == self._this_host.data_centre
        decision = self._ask(server, is_nearby=is_nearby)
        if not decision.is_permitted:
            wait_s = min(decision.wait_s, MAX_WAIT_S)
            self._limits.close(server, self._clock() + wait_s)
        return decision.is_permitted

    def _ask(self, server: int, *, is_nearby: bool) -> Decision:
        names = self._peer_table.list_collectors(
            self._this_host.data_centre, self._clock()
        )
        grantor = self._peer_table.find(names[0])
        if grantor is None:
            return self._take(server, is_nearby=is_nearby)
        question = QuotaQuestion(next(self._numbers), server, is_nearby)
        expires_at = self._clock() + ANSWER_TIMEOUT_S
        self._waiting[question.number] = AsyncResult()
        try:
            self._send_question(grantor, question)
            decision = self._waiting[question.number].get(timeout=ANSWER_TIMEOUT_S)
        except Timeout:
            return _NO_ANSWER
        finally:
            del self._waiting[question.number]
        # A host that was paused meanwhile must not use what it was given before.
        return decision if self._clock() <= expires_at else _NO_ANSWER

    def _take(self, server: int, *, is_nearby: bool) -> Decision:
        now = self._clock()
        own = self._this_host.data_centre
        others = self._peer_table.list_data_centres()
        if is_nearby:
            # One that isn't heard is cut off, and doesn't reach the server either.
            others = self._peer_table.list_live_data_centres(now)
        share = compute_share(server, own, {own, *others})
        return self._quotas.take(
            server, self._limits.find(server), share=share, now=now
        )

    def answer(self, question: QuotaQuestion) -> QuotaAnswer:
        """Answer another host's question."""
        decision = Decision(is_permitted=True)
        # The limit may have ended, which the other host doesn't know yet.
        if self._limits.is_limited(question.server):
            decision = self._take(question.server, is_nearby=question.is_nearby)
        wait_ms = round(decision.wait_s * _MS_PER_S, 1)
        return QuotaAnswer(question.number, decision.is_permitted, wait_ms)

    def accept_answer(self, answer: QuotaAnswer) -> None:
        """Hand an answer to the request that waits for it."""
        waiting = self._waiting.get(answer.number)
        if waiting is not None:
            wait_s = answer.wait_ms / _MS_PER_S
            waiting.set(Decision(answer.is_permitted, wait_s))
