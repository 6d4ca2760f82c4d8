"""The turn of one request for a plain service: it may have to wait for a place."""

from collections.abc import Callable

import gevent

from rosemarystream._internal.decisions.admission_share import ServiceLoad
from rosemarystream._internal.decisions.waiting_line import Action, Ticket
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.request_errors import RequestEndedError
from rosemarystream._internal.gateway.request_record import RequestRecord
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.route import Route


class RequestTurn:
    """Lets a request wait until it may be sent.

    Parameters
    ----------
    deadline : float
        Time by which the request ends.
    """

    def __init__(
        self,
        *,
        record: RequestRecord,
        route: Route,
        service: str,
        deadline: float,
        router: Router,
        clock: Callable[[], float],
    ) -> None:
        self._record = record
        self._route = route
        self._service = service
        self._deadline = deadline
        self._router = router
        self._lines = router.lines
        self._clock = clock

    def wait(self, load: ServiceLoad | None) -> bool:
        """Wait until the request may be sent; return whether it had to wait.

        Parameters
        ----------
        load : ServiceLoad or None
            Load of the service; None if it isn't known yet.

        Raises
        ------
        RequestEndedError
            If it is refused, as its time is too short for the servers' load.
        """
        now = self._clock()
        if load is None:
            load = self._lines.measure_load(self._service, now)
        line = self._lines.find(self._service)
        if line.is_open(load, now):
            return False
        if line.is_full:
            raise self._make_refusal()
        ticket = self._make_ticket(now)
        line.join(ticket)
        try:
            decision = line.decide(ticket, load, now)
            if decision.action is Action.SEND:
                return False
            self._lines.record_waiting(self._service)
            self._router.metrics.plain_waits.inc()
            while decision.action is Action.WAIT:
                gevent.sleep(decision.wait_s)
                now = self._clock()
                load = self._lines.measure_load(self._service, now)
                decision = line.decide(ticket, load, now)
        finally:
            # Also if the caller leaves or the host stops, which raises here.
            line.leave(ticket)
            self._record.waited_s += self._clock() - ticket.joined_at
        if decision.action is Action.REFUSE:
            raise self._make_refusal()
        return True

    def _make_ticket(self, now: float) -> Ticket:
        return Ticket(
            is_urgent=self._router.is_most_urgent(self._record.rank, self._service),
            workspace=self._record.workspace,
            joined_at=now,
            objective_at=self._record.received_at + self._route.objective_s,
            deadline=self._deadline,
        )

    def _make_refusal(self) -> RequestEndedError:
        self._lines.record_refused(self._service)
        self._router.metrics.plain_refusals.inc()
        return RequestEndedError(
            ErrorKind.OVERLOADED,
            f"the servers of {self._service} have no place for it in its time",
            retry_after_s=self.compute_retry_after(),
        )

    def compute_retry_after(self) -> float:
        """Return the delay in seconds to advise to the caller if it is refused."""
        return self._lines.compute_retry_after(
            self._service,
            left_s=self._deadline - self._clock(),
            request_id=self._record.call.request_id,
        )
