"""Permissions to send requests to backend servers that limit them, or are cold.

A host asks the first collector of its data centre for a permission right before it
sends a request. The questions and answers travel in gossip messages. A cold server
crashes when it gets too much, so its permissions are given only by a host that has been
the first collector for a while, and lapse soon.
"""

from collections.abc import Callable
from itertools import count
from math import inf

from gevent import Timeout
from gevent.event import AsyncResult

from rosemarystream._internal.decisions.limit_quotas import (
    MAX_DELAY_S,
    SUCCESSOR_SHARE,
    Decision,
    LimitQuotas,
    compute_cold_rate,
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
# Time for which a host is the first collector before it gives permissions for cold
# servers: the one before may do so until it is missed, as may a host that has just
# started and hears no other yet.
SETTLING_S = 1.5
# Time for which it gives only a part of the rate: hosts may disagree for seconds about
# which of them is the first, and the one before gives all of it.
SUCCESSOR_S = 10.0
# Time without a round after which a host may have been replaced as first collector.
MAX_ROUND_GAP_S = 1.0
# Time after a pause of this host in which what it knows of cold servers is out of
# date: some rounds and a pull from another host.
CATCHING_UP_S = 0.5
# Time until the next question to a host that gives no permissions for cold servers.
UNSETTLED_WAIT_S = 0.2
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
        self._cold_quotas = LimitQuotas()
        self._first_since: float | None = None
        self._observed_at = -inf
        self._resumed_at = -inf
        # Whether that was a pause; at its start a host knows what the store has.
        self._has_paused = False
        # Part of the data centre for which this host may give permissions.
        self._presence = 0.0
        # The host that last left a question unanswered, and until when it isn't asked.
        self._silent = ("", -inf)
        self._numbers = count(first_number)
        self._waiting: dict[int, AsyncResult] = {}

    def admit(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to a server now.

        If not, the server counts as used up until there may be room again.
        """
        server = endpoint.number
        now = self._clock()
        is_cold = self._limits.cold.is_cold(server, now)
        is_unsure = self._limits.cold.can_be_cold(server) and self._was_paused(now)
        if not (is_cold or is_unsure or self._limits.is_limited(server)):
            return True
        if not self._limits.is_open(server, now):
            return False
        is_nearby = endpoint.data_centre == self._this_host.data_centre
        decision = self._ask(server, is_nearby=is_nearby, is_cold=is_cold)
        if not decision.is_permitted:
            wait_s = min(decision.wait_s, MAX_WAIT_S)
            self._limits.close(server, self._clock() + wait_s)
        return decision.is_permitted

    def find_send_deadline(self, endpoint: Endpoint, asked_at: float) -> float:
        """Return the time by which an admitted request has to be sent.

        Parameters
        ----------
        asked_at : float
            Time before it was admitted.
        """
        cold, server = self._limits.cold, endpoint.number
        if not cold.can_be_cold(server):
            return inf
        # The host that gave the permission may know that the server is cold.
        was_asked = self._was_paused(asked_at) or self._limits.is_limited(server)
        if was_asked or cold.is_cold(server, asked_at):
            return asked_at + MAX_DELAY_S
        # A host that was paused meanwhile doesn't know whether it has become cold.
        return asked_at + MAX_ROUND_GAP_S

    def observe_role(self) -> None:
        """Observe whether this host is the first collector; called in each round."""
        now = self._clock()
        own = self._this_host
        is_first = self._peer_table.list_collectors(own.data_centre, now)[0] == own.name
        if not self._is_running(now):
            self._first_since = None
            self._resumed_at = now
            self._has_paused = self._observed_at > -inf
        if not is_first:
            self._first_since = None
        elif self._first_since is None:
            self._first_since = now
            self._cold_quotas = LimitQuotas()
        self._observed_at = now
        if is_first and not self._limits.cold.is_empty:
            self._presence = self._peer_table.measure_presence(now)

    def _was_paused(self, now: float) -> bool:
        """Return whether this host may have missed that servers became cold."""
        return not self._is_running(now) or now - self._resumed_at < CATCHING_UP_S

    def _is_running(self, now: float) -> bool:
        """Return whether the rounds of this host go on as they should."""
        return now - self._observed_at <= MAX_ROUND_GAP_S

    def _find_part(self, now: float) -> float:
        """Return the part of its data centre's rate for cold servers that it may give.

        0 if this host is not the first collector, or was not long enough.
        """
        if self._first_since is None or not self._is_running(now):
            return 0.0
        first_s = now - self._first_since
        if first_s < SETTLING_S:
            return 0.0
        return self._presence * (SUCCESSOR_SHARE if first_s < SUCCESSOR_S else 1.0)

    def _ask(self, server: int, *, is_nearby: bool, is_cold: bool) -> Decision:
        now = self._clock()
        names = self._peer_table.list_collectors(self._this_host.data_centre, now)
        grantor = self._peer_table.find(names[0])
        if grantor is None:
            if is_cold:
                return self._take_cold(server)
            if not self._limits.is_limited(server):
                # Out of date: nobody else can be asked before the others are heard.
                is_start = not self._has_paused and self._is_running(now)
                return Decision(is_start, UNSETTLED_WAIT_S)
            return self._take(server, is_nearby=is_nearby)
        if is_cold and self._silent[0] == grantor.name and now < self._silent[1]:
            return _NO_ANSWER
        question = QuotaQuestion(next(self._numbers), server, is_nearby, is_cold)
        expires_at = now + ANSWER_TIMEOUT_S
        self._waiting[question.number] = AsyncResult()
        try:
            self._send_question(grantor, question)
            answer = self._waiting[question.number].get(timeout=ANSWER_TIMEOUT_S)
        except Timeout:
            self._silent = (grantor.name, self._clock() + UNANSWERED_WAIT_S)
            return _NO_ANSWER
        finally:
            del self._waiting[question.number]
        # A host that was paused meanwhile must not use what it was given before.
        if self._clock() > expires_at:
            return _NO_ANSWER
        # A host of an earlier build permits whatever states no limit.
        is_permitted = answer.is_permitted and (answer.is_of_cold or not is_cold)
        wait_s = answer.wait_ms / _MS_PER_S if not answer.is_permitted else MAX_WAIT_S
        return Decision(is_permitted, wait_s)

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

    def _take_cold(self, server: int) -> Decision:
        now = self._clock()
        part = self._find_part(now)
        if not part:
            return Decision(is_permitted=False, wait_s=UNSETTLED_WAIT_S)
        cold = self._limits.cold
        own = self._this_host.data_centre
        # All hosts know the same servers, though they may not hear the same hosts.
        data_centres = {own, *self._peer_table.list_data_centres(), *cold.data_centres}
        rate = compute_cold_rate(
            server,
            own,
            data_centres,
            home=cold.find_data_centre(server),
            per_s=cold.find_rate(server),
            bound=cold.bound,
        )
        if self._limits.is_limited(server):
            rate = min(rate, self._limits.find(server) / len(data_centres))
        return self._cold_quotas.take_cold(server, rate * part, now)

    def answer(self, question: QuotaQuestion) -> QuotaAnswer:
        """Answer another host's question."""
        server = question.server
        decision = Decision(is_permitted=True)
        is_cold = question.is_cold or self._limits.cold.is_cold(server, self._clock())
        if is_cold:
            decision = self._take_cold(server)
        # The limit may have ended, which the other host doesn't know yet.
        elif self._limits.is_limited(server):
            decision = self._take(server, is_nearby=question.is_nearby)
        wait_ms = round(decision.wait_s * _MS_PER_S, 1)
        return QuotaAnswer(question.number, decision.is_permitted, wait_ms, is_cold)

    def accept_answer(self, answer: QuotaAnswer) -> None:
        """Hand an answer to the request that waits for it."""
        waiting = self._waiting.get(answer.number)
        if waiting is not None:
            waiting.set(answer)
