"""Polls the state of backend servers."""

from collections.abc import Callable
from typing import Any, NotRequired, TypedDict

import gevent
import msgspec
from gevent.pool import Pool as GreenletPool
from logbook import Logger

from rosemarystream._internal.exceptions import RosemarystreamError
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import ServerReported, ServerUnresponsive
from rosemarystream._internal.models.server import (
    BackendServer,
    PollTarget,
    ServerReport,
)
from rosemarystream._internal.utils.http_exchange import Exchange

log = Logger(__name__)

POLL_TIMEOUT_SECONDS = 1.0
MAX_PARALLEL_POLLS = 32
BYTES_PER_POLL = 400
HTTP_OK = 200


class ServerStateBody(TypedDict):
    """Body of the answer to ``GET /v1/state`` of an engine or plain service."""

    incarnation: int
    running: int
    models: list[str]
    adapters: list[str]
    leaving: bool
    loading: NotRequired[list[str]]


_DECODER = msgspec.json.Decoder(ServerStateBody)


class ServerPoller(Service):
    """Polls servers, urgent ones at every round and the others less often.

    Routine polls are spaced so that they stay within a budget of bytes a
    second; a poll is counted as `BYTES_PER_POLL`. Urgent polls are not limited
    by that budget.

    Parameters
    ----------
    kernel : Kernel
        Receives the reports as events.
    list_servers : callable
        Returns the servers to poll at a given time.
    interval : float
        Seconds between two rounds, and the least between two polls of a server.
    budget : int
        Bytes a second for routine polls.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "poller"

    def __init__(
        self,
        *,
        kernel: Kernel,
        list_servers: Callable[[float], list[PollTarget]],
        interval: float,
        budget: int,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._list_servers = list_servers
        self._interval = interval
        self._budget = budget
        self._polled_at: dict[str, float] = {}
        self._clock = clock
        self._pool = GreenletPool(MAX_PARALLEL_POLLS)
        self._polling: set[str] = set()
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start polling in a greenlet."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop polling and abandon the polls in progress."""
        if self._loop is not None:
            self._loop.kill()
        self._pool.kill()

    def _run(self) -> None:
        while True:
            now = self._clock()
            for server in self._list_due_servers(now):
                if server.name not in self._polling:
                    self._polling.add(server.name)
                    self._polled_at[server.name] = now
                    self._pool.spawn(self._poll, server)
            gevent.sleep(self._interval)

    def _list_due_servers(self, now: float) -> list[BackendServer]:
        requests: dict[str, PollTarget] = {}
        for request in self._list_servers(now):
            known = requests.get(request.server.name, request)
            is_urgent = request.is_urgent or known.is_urgent
            requests[request.server.name] = PollTarget(request.server, is_urgent)
        self._polled_at = {n: t for n, t in self._polled_at.items() if n in requests}
        routine_interval = max(
            self._interval, len(requests) * BYTES_PER_POLL / self._budget
        )
        return [
            request.server
            for name, request in requests.items()
            if request.is_urgent
            or now - self._polled_at.get(name, 0.0) >= routine_interval
        ]

    def _poll(self, server: BackendServer) -> None:
        asked_at = self._clock()
        try:
            report = self._read_state(server, asked_at)
        except (RosemarystreamError, msgspec.DecodeError) as error:
            log.warning("poll of {} failed: {}", server.name, error)
            self._kernel.post(ServerUnresponsive(server=server.name), self._clock())
            return
        finally:
            self._polling.discard(server.name)
        event = ServerReported(server=server.name, report=report, asked_at=asked_at)
        self._kernel.post(event, self._clock())

    def _read_state(self, server: BackendServer, now: float) -> ServerReport:
        deadline = now + POLL_TIMEOUT_SECONDS
        with Exchange(address=server.address, clock=self._clock) as exchange:
            exchange.connect(deadline)
            exchange.send("GET", "/v1/state", deadline=deadline)
            body = _DECODER.decode(exchange.read_all(deadline))
        return ServerReport(
            incarnation=body["incarnation"],
            running=body["running"],
            models=tuple(body["models"]),
            adapters=tuple(body["adapters"]),
            leaving=body["leaving"],
            loading=tuple(body.get("loading", ())),
        )

    def dump(self) -> dict[str, Any]:
        """Return the names of the servers being polled."""
        return {"polling": sorted(self._polling)}
