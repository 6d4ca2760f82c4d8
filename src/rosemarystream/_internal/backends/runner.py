"""Runs requests on the servers of the groups that this host owns."""

from collections.abc import Callable, Iterator
from typing import Any

from gevent.event import AsyncResult
from logbook import Logger

from rosemarystream._internal.backends.engine import EngineTimeouts, stream_turn
from rosemarystream._internal.backends.service import call_service
from rosemarystream._internal.decisions.configuration import Configuration
from rosemarystream._internal.decisions.dispatching import Dispatching
from rosemarystream._internal.decisions.routing import Routing
from rosemarystream._internal.decisions.server_groups import GroupName
from rosemarystream._internal.exceptions import ErrorKind, RosemarystreamError
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.configuration import PoolKind
from rosemarystream._internal.models.events import WorkGranted, WorkRefused
from rosemarystream._internal.models.frames import Granted, Ping
from rosemarystream._internal.models.request import StreamFailure, Work

log = Logger(__name__)

PING_INTERVAL_SECONDS = 1.0


class WorkRunner(Service):
    """Submits requests for admission and runs them once they are granted.

    Parameters
    ----------
    kernel : Kernel
        Receives the actions that dispatching returns.
    dispatching : Dispatching
        Queues requests, admits them and chooses their servers.
    routing : Routing
        Finds a server by its name.
    configuration : Configuration
        Finds pools and ranks.
    timeouts : EngineTimeouts
        Timeouts of the streams of engines.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "runner"
    handles = (WorkGranted, WorkRefused)

    def __init__(
        self,
        *,
        kernel: Kernel,
        dispatching: Dispatching,
        routing: Routing,
        configuration: Configuration,
        timeouts: EngineTimeouts,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._dispatching = dispatching
        self._routing = routing
        self._configuration = configuration
        self._timeouts = timeouts
        self._clock = clock
        self._waiters: dict[str, AsyncResult] = {}

    def handle(self, event: WorkGranted | WorkRefused, now: float) -> tuple[()]:
        """Wake the greenlet of a request that was granted or refused."""
        waiter = self._waiters.get(event.request_id)
        if waiter is not None:
            waiter.set(event)
        return ()

    def run(self, work: Work, group: GroupName, *, may_queue: bool) -> Iterator[Any]:
        """Submit a request, run it when granted, and yield its frames.

        Yields a `Ping` every `PING_INTERVAL_SECONDS` while the request is
        queued. The last frame is an end marker, a result or a failure.
        """
        waiter = self._waiters[work.request_id] = AsyncResult()
        try:
            self._post_all(
                self._dispatching.submit(
                    work, group, may_queue=may_queue, now=self._clock()
                )
            )
            while not waiter.ready():
                if waiter.wait(timeout=PING_INTERVAL_SECONDS) is None:
                    yield Ping(request_id=work.request_id)
            yield from self._run_decided(work, waiter.get())
        finally:
            del self._waiters[work.request_id]
            self._post_all(self._dispatching.finish(work.request_id, self._clock()))

    def _post_all(self, actions: list[Any]) -> None:
        for action in actions:
            self._kernel.post(action, self._clock())

    def _run_decided(
        self, work: Work, decision: WorkGranted | WorkRefused
    ) -> Iterator[Any]:
        if isinstance(decision, WorkRefused):
            yield StreamFailure(
                request_id=work.request_id,
                kind=decision.kind,
                message=decision.message,
                retry_after=decision.retry_after,
            )
            return
        yield Granted(request_id=work.request_id, server=decision.server)
        try:
            yield from self._call_backend(work, decision.server)
        except RosemarystreamError as error:
            log.notice("request failed: {}", error, extra={"server": decision.server})
            yield make_failure_frame(work.request_id, error)

    def _call_backend(self, work: Work, name: str) -> Iterator[Any]:
        server = self._routing.find_server(name)
        pool = self._configuration.find_pool(work.pool)
        if server is None or pool is None:
            raise RosemarystreamError(
                f"server {name} is on no list any more; try another one",
                kind=ErrorKind.NO_BACKEND,
            )
        if pool.kind is PoolKind.SERVICE:
            yield call_service(work, server=server, clock=self._clock)
            return
        rank = self._configuration.find_rank(work.rank)
        yield from stream_turn(
            work,
            server=server,
            priority=0 if rank is None else rank.order,
            timeouts=self._timeouts,
            clock=self._clock,
        )

    def has_work(self) -> bool:
        """Return whether requests are queued or running here."""
        return bool(self._waiters)

    def dump(self) -> dict[str, Any]:
        """Return the number of requests queued or running here."""
        return {"requests": len(self._waiters)}


def make_failure_frame(request_id: str, error: RosemarystreamError) -> StreamFailure:
    """Return the frame that reports an error."""
    return StreamFailure(
        request_id=request_id,
        kind=error.kind,
        message=str(error),
        retry_after=error.retry_after,
    )
