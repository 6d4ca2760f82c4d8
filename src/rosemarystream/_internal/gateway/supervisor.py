"""Keeps the loops of an entry host running, and reports errors that end greenlets.

A loop is a greenlet that runs as long as the process, a task one that ends by itself.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

import gevent
from logbook import Logger

from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.gateway.unexpected_errors import format_trace
from rosemarystream._internal.models.log_entries.base import LogEntry
from rosemarystream._internal.models.log_entries.process import LoopFailed, TaskFailed

log = Logger(__name__)

# Pauses before a failed loop starts again: the first one, the limit, and the growth.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
PAUSE_GROWTH = 2.0
# Time after a start at which a loop counts as sound; its next pause is the first one.
SOUND_AFTER_S = 3.0
# Time after which a failing loop that serving needs makes the host not ready.
FAILING_BOUND_S = 5.0
# Name under which errors in the reports themselves are counted.
REPORTS = "failure_reports"
_MS_PER_S = 1000


class LoopEndedError(Exception):
    """A loop returned, though it runs as long as the process."""


class FailingLoop(TypedDict):
    """A loop that has failed and doesn't count as sound yet.

    Attributes
    ----------
    failing_s : float
        Time since the first of the failures.
    error : str
        Type of the last error.
    """

    failing_s: float
    failures: int
    error: str


class _Failures(NamedTuple):
    """Failures of a loop since it was sound; times are of the monotonic clock."""

    began_at: float
    count: int
    error: str
    pause_s: float
    sound_at: float


class Supervisor:
    """Starts loops and tasks, restarts loops that fail, and reports the errors.

    Parameters
    ----------
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    metrics : GatewayMetrics
        Metrics of the host; failures are counted there.
    """

    def __init__(
        self, *, clock: Callable[[], float], metrics: GatewayMetrics | None = None
    ) -> None:
        self.metrics = metrics or GatewayMetrics()
        self._clock = clock
        self._failures: dict[str, _Failures] = {}
        self._needed: set[str] = set()

    def start_loop(
        self, loop: str, run: Callable[[], None], *, is_needed: bool = False
    ) -> gevent.Greenlet:
        """Start a loop; it ends only when the returned greenlet is killed.

        Parameters
        ----------
        loop : str
            Name of the loop in logs and metrics.
        run : callable
            Runs the loop from its beginning; called again after an error.
        is_needed : bool
            Whether the host can't serve without this loop.
        """
        if is_needed:
            self._needed.add(loop)
        return gevent.spawn(self._run_loop, loop, run)

    def start_task(
        self, task: str, run: Callable[..., Any], *arguments: Any, delay_s: float = 0.0
    ) -> gevent.Greenlet:
        """Start a task, after a delay; the value of the greenlet is its result."""
        return gevent.spawn_later(delay_s, self.run_task, task, run, *arguments)

    def run_task(self, task: str, run: Callable[..., Any], *arguments: Any) -> Any:
        """Return the result of a call, or None if an unexpected error ended it."""
        try:
            return run(*arguments)
        except (Exception, gevent.Timeout) as error:
            self.metrics.task_failures.labels(task).inc()
            entry = TaskFailed(
                task=task, error=type(error).__name__, trace=format_trace(error)
            )
            self._write(entry)
            return None

    def run_step(self, loop: str, run: Callable[..., Any], *arguments: Any) -> Any:
        """Return the result of one step of a loop, or None after an unexpected error.

        What the step handled is dropped and counted, and the loop goes on at once.
        """
        try:
            return run(*arguments)
        except (Exception, gevent.Timeout) as error:
            self._report(loop, error, 0.0)
            return None

    def list_failing(self) -> dict[str, FailingLoop]:
        """Return the loops that have failed and don't count as sound yet."""
        now = self._clock()
        return {
            loop: FailingLoop(
                failing_s=round(now - failures.began_at, 1),
                failures=failures.count,
                error=failures.error,
            )
            for loop, failures in self._failures.items()
            if now < failures.sound_at
        }

    def is_sound(self) -> bool:
        """Return whether no needed loop has been failing for longer than its bound."""
        return not any(
            loop in self._needed and failing["failing_s"] > FAILING_BOUND_S
            for loop, failing in self.list_failing().items()
        )

    def _run_loop(self, loop: str, run: Callable[[], None]) -> None:
        while True:
            try:
                run()
                raise LoopEndedError(loop)
            except (Exception, gevent.Timeout) as error:
                pause_s = self._record_failure(loop, error)
                self._report(loop, error, pause_s)
            gevent.sleep(pause_s)

    def _record_failure(self, loop: str, error: BaseException) -> float:
        """Record the failure of a loop; return the pause until its next start."""
        now = self._clock()
        last = self._failures.get(loop)
        began_at, count, pause_s = now, 1, FIRST_PAUSE_S
        if last is not None and now < last.sound_at:
            began_at, count = last.began_at, last.count + 1
            pause_s = min(LONGEST_PAUSE_S, last.pause_s * PAUSE_GROWTH)
        self._failures[loop] = _Failures(
            began_at=began_at,
            count=count,
            error=type(error).__name__,
            pause_s=pause_s,
            sound_at=now + pause_s + SOUND_AFTER_S,
        )
        return pause_s

    def _report(self, loop: str, error: BaseException, pause_s: float) -> None:
        """Count and log a failure; the text of the error may quote a caller."""
        self.metrics.loop_failures.labels(loop).inc()
        entry = LoopFailed(
            loop=loop,
            error=type(error).__name__,
            trace=format_trace(error),
            pause_ms=round(pause_s * _MS_PER_S, 1),
        )
        self._write(entry)

    def _write(self, entry: LogEntry) -> None:
        try:
            write_log_entry(log, entry)
        except Exception:
            # The logs may be what fails.
            self.metrics.loop_failures.labels(REPORTS).inc()
