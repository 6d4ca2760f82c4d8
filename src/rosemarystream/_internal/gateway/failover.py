"""Change of a request from an unresponsive server to another one.

The server before may only be slow. So it is left only when the other one has begun to
answer, and the other one is given up as soon as the server before sends something.
"""

from collections.abc import Callable

from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.decisions.timeouts import compute_attempt_deadline
from rosemarystream._internal.gateway.attempt import (
    Attempt,
    NotRunError,
    OutcomeUnknownError,
)
from rosemarystream._internal.gateway.attempt_outcomes import AttemptOutcomes
from rosemarystream._internal.gateway.attempt_sequence import AttemptSequence
from rosemarystream._internal.gateway.counted_attempt import CountedAttempt
from rosemarystream._internal.models.route import Route
from rosemarystream._internal.platform.headers import AnswerHead

# A server from which bytes came within this time sends some that make no progress.
RECENTLY_S = 0.1


class ServerResumedError(BaseException):
    """The server before sends again, so the other one need not answer.

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
        self._successor: CountedAttempt | None = None

    @property
    def has_successor(self) -> bool:
        """Whether another server has begun to answer."""
        return self._successor is not None

    def take_successor(self) -> CountedAttempt | None:
        """Return the attempt that has begun to answer, if any, to be closed by now."""
        successor, self._successor = self._successor, None
        return successor

    def close(self) -> None:
        """Close the attempt that has begun to answer, if nobody has taken it."""
        successor = self.take_successor()
        if successor is not None:
            successor.close()

    def leave(self, unresponsive: Attempt) -> bool:
        """Ask another server; return whether the one before is left.

        It is if the other one begins to answer, or the time is over.
        """
        if self._clock() >= self._deadline:
            return True
        delay_s = self._compute_watch_delay(unresponsive)
        try:
            with unresponsive.watch(
                ServerResumedError("the server before has gone on"), delay_s=delay_s
            ):
                self._ask_another()
        except ServerResumedError:
            return False
        return self.has_successor

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
            successor = self._begin(placement)
            try:
                self._read_answer(successor)
            finally:
                is_sent = successor.attempt.is_sent
                if not self.has_successor:
                    successor.close()
        finally:
            self._attempts.end_early(is_sent=is_sent)

    def _read_answer(self, successor: CountedAttempt) -> None:
        attempt = successor.attempt
        try:
            self._send(successor)
            successor.head = self._read_head(attempt)
            self._successor = successor
        except NotRunError as error:
            self._outcomes.record_not_run(attempt, error)
        except OutcomeUnknownError as error:
            self._outcomes.record_unknown(attempt, error)
        except ServerResumedError as error:
            if attempt.is_sent:
                self._outcomes.record_not_needed(attempt, str(error))
            raise

    def _read_head(self, attempt: Attempt) -> AnswerHead:
        head = attempt.read_head(self._deadline)
        if head.is_success:
            return head
        raise OutcomeUnknownError(f"failed with {head.status}")
