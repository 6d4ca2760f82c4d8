"""The planned stop of a host, from its signal to the end of its last request.

For a while the host serves as before, as callers still choose it. Then it closes idle
connections and refuses requests that may last longer than itself. At the end it
answers what is still in progress with an error.
"""

from collections.abc import Callable
from typing import NamedTuple

import gevent
from logbook import Logger

from rosemarystream._internal.gateway.listener import Listener
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.models.log_entries.process import Leaving, Stopped

log = Logger(__name__)

# Time after the signal from which idle connections are closed.
IDLE_CLOSE_S = 2.5
# Time before the end of a shutdown at which requests in progress are aborted.
END_MARGIN_S = 0.4
# Time before that in which the last answers that are due are read.
LAST_ANSWER_S = 0.15
# Time in which answers to aborted requests are written.
LAST_WRITE_S = 0.1
POLL_S = 0.05
LAST_POLL_S = 0.01
_MS_PER_S = 1000


class ShutdownPlan(NamedTuple):
    """Deadlines of a planned stop, by the host's clock, in seconds.

    Attributes
    ----------
    idle_close_at : float
        From then on idle connections are closed, and long requests refused.
    last_due_at : float
        Latest deadline of the requests that are taken from then on.
    ends_at : float
        When requests that are still in progress are aborted.
    """

    idle_close_at: float
    last_due_at: float
    ends_at: float

    def closes_idle(self, now: float) -> bool:
        """Return whether idle connections are closed, and long requests refused."""
        return now >= self.idle_close_at

    def is_over(self, now: float, *, unfinished: int) -> bool:
        """Return whether no more connections are taken.

        Parameters
        ----------
        unfinished : int
            Requests that are in progress, or have arrived in part.
        """
        return now >= self.ends_at or (self.closes_idle(now) and not unfinished)


def make_shutdown_plan(*, began_at: float, shutdown_s: float) -> ShutdownPlan:
    """Return the plan of a stop that began at a time and may take `shutdown_s`."""
    ends_at = began_at + shutdown_s - END_MARGIN_S
    return ShutdownPlan(
        idle_close_at=began_at + IDLE_CLOSE_S,
        last_due_at=ends_at - LAST_ANSWER_S,
        ends_at=ends_at,
    )


class Shutdown:
    """Carries out the planned stop of a listener.

    Parameters
    ----------
    refuse_due_after : callable
        Called with the latest deadline of the requests that are still taken.
    """

    def __init__(
        self,
        *,
        plan: ShutdownPlan,
        listener: Listener,
        refuse_due_after: Callable[[float], None],
        clock: Callable[[], float],
    ) -> None:
        self._plan = plan
        self._listener = listener
        self._refuse_due_after = refuse_due_after
        self._clock = clock

    def run(self) -> None:
        """Serve to the end; returns once nothing is in progress any more."""
        listener = self._listener
        left_ms = round((self._plan.ends_at - self._clock()) * _MS_PER_S, 1)
        write_log_entry(log, Leaving(busy=listener.count_busy(), end_in_ms=left_ms))
        listener.leaving = True
        self._finish_requests()
        listener.stop_accepting()
        self._finish_connections()
        write_log_entry(log, Stopped(busy=listener.count_busy()))
        listener.end_requests()
        self._write_last_answers()

    def _finish_requests(self) -> None:
        """Serve until nothing is in progress, at most until the end."""
        unfinished = self._listener.count_unfinished()
        while not self._plan.is_over(self._clock(), unfinished=unfinished):
            gevent.sleep(POLL_S)
            if self._plan.closes_idle(self._clock()):
                self._refuse_due_after(self._plan.last_due_at)
                self._listener.close_idle()
            unfinished = self._listener.count_unfinished()

    def _finish_connections(self) -> None:
        """Serve what has arrived on connections that are open, as long as that."""
        while self._listener.has_connections() and self._clock() < self._plan.ends_at:
            gevent.sleep(LAST_POLL_S)
            self._listener.close_idle()

    def _write_last_answers(self) -> None:
        written_by = self._clock() + LAST_WRITE_S
        while self._listener.has_connections() and self._clock() < written_by:
            gevent.sleep(LAST_POLL_S)
