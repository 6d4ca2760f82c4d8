"""Change of a request from an unresponsive server to another one.

The server before may only be slow. So it is left only when the other one has begun to
answer, and the other one is given up only when the caller gets something of the one
before.
"""

from collections.abc import Callable

from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.decisions.timeouts import compute_attempt_deadline
from rosemarystream._internal.gateway.attempt import Attempt
from rosemarystream._internal.gateway.attempt_errors import (
    NotRunError,
    OutcomeUnknownError,
)
from rosemarystream._internal.gateway.attempt_outcomes import AttemptOutcomes
from rosemarystream._internal.gateway.attempt_sequence import AttemptSequence
from rosemarystream._internal.gateway.counted_attempt import CountedAttempt
from rosemarystream._internal.models.route import Route

# A server from which bytes came within this time sends some that make no progress.
RECENTLY_S = 0.1


class ServerResumedError(BaseException):
    """The server before sends again, so that has to be read first.

    Not an `Exception`, so that no handler of failed attempts catches it.
    """


class Failover:
    """Asks another server while the one before is unresponsive.

    Parameters
    ----------
    deadline : float
        Time by which the request ends.
    begin : callable
        Begins an attempt at the server of a placement.
    send : callable
        Sends the request in an attempt that was begun.
    """

    def __init__(
        self,
        *,
        route: Route,
        deadline: float,
        attempts: AttemptSequence,
        outcomes: AttemptOutcomes,
        begin: Callable[[Placement], CountedAttempt],
        send: Callable[[CountedAttempt], None],
        clock: Callable[[], float],
    ) -> None:
        self._route = route
        self._deadline = deadline
        self._attempts = attempts
        self._outcomes = outcomes
        self._begin = begin
        self._send = send
        self._clock = clock
        self._other: CountedAttempt | None = None

    @property
    def has_other(self) -> bool:
        """Whether another server has the request beside the one before."""
        return self._other is not None

    def take_other(self) -> CountedAttempt | None:
        """Return the attempt at the other server, if any; its user closes it."""
        other, self._other = self._other, None
        return other

    def give_up_other(self) -> None:
        """End the attempt at the other server, if any, as it isn't needed."""
        other = self.take_other()
        if other is not None:
            reason = "the server before has gone on"
            self._outcomes.record_not_needed(other.attempt, reason)
            other.close()

    def close(self) -> None:
        """End the attempt at the other server, if any, as the request ends."""
        other = self.take_other()
        if other is not None:
            other.close()

    def leave(self, unresponsive: Attempt) -> bool:
        """Ask another server; return whether the one before is left.

        It is if the other one begins to answer, or the time is over. If the one before
        sends something first, the other one keeps the request: what was sent may be a
        refusal, or the end of the connection.
        """
        if self._clock() >= self._deadline:
            return True
        delay_s = self._compute_watch_delay(unresponsive)
        try:
            with unresponsive.watch(ServerResumedError(), delay_s=delay_s):
                if self._other is None:
                    self._ask_another()
                if self._other is not None:
                    self._read_head(self._other)
        except ServerResumedError:
            return False
        return self._other is not None

    def _compute_watch_delay(self, unresponsive: Attempt) -> float:
        """Return how long bytes of the server before don't count, in seconds.

        If it sends bytes all the time, none of them shows that it has gone on.
        """
        now = self._clock()
        received_at = unresponsive.received_at
        if received_at is None or received_at + RECENTLY_S < now:
            return 0.0
        deadline = compute_attempt_deadline(
            self._route, now=now, deadline=self._deadline, more_attempts=True
        )
        return deadline - now

    def _ask_another(self) -> None:
        placement = self._attempts.choose_early()
        if placement is None:
            return
        is_sent = False
        try:
            other = self._begin(placement)
            try:
                self._send_to(other)
            finally:
                is_sent = other.attempt.is_sent
                if not self.has_other:
                    other.close()
        finally:
            self._attempts.end_early(is_sent=is_sent)

    def _send_to(self, other: CountedAttempt) -> None:
        try:
            self._send(other)
            self._other = other
        except NotRunError as error:
            self._outcomes.record_not_run(other.attempt, error)
        except OutcomeUnknownError as error:
            self._outcomes.record_unknown(other.attempt, error)
        except ServerResumedError:
            # Nothing speaks against this server, should the one before fail.
            self._attempts.allow_again(other.endpoint)
            raise

    def _read_head(self, other: CountedAttempt) -> None:
        """Read the head of the other answer; the attempt ends unless it succeeds."""
        try:
            head = other.attempt.read_head(self._deadline)
            if not head.is_success:
                raise OutcomeUnknownError(f"failed with {head.status}")
            other.head = head
            return
        except NotRunError as error:
            self._outcomes.record_not_run(other.attempt, error)
        except OutcomeUnknownError as error:
            self._outcomes.record_unknown(other.attempt, error)
        self.close()
