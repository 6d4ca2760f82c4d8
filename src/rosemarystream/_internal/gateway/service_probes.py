"""Probes of the services of which this host can reach no server."""

from collections.abc import Callable

import gevent
from logbook import Logger

from rosemarystream._internal.exceptions import ConnectError
from rosemarystream._internal.gateway.attempt_errors import is_refusal
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.log_entries.servers import (
    ServerStillUnreachable,
    ServicesUnreachable,
)

log = Logger(__name__)

# Interval of the probes of unreachable services.
PROBE_S = 0.25


class ServiceProbes:
    """Logs which services are unreachable, and probes their servers.

    Attributes
    ----------
    unreachable : list of str
        Services that were unreachable at the last check.
    """

    def __init__(
        self, *, router: Router, pool: ConnectionPool, clock: Callable[[], float]
    ) -> None:
        self._router = router
        self._clock = clock
        self._pool = pool
        self._probes = 0
        self.unreachable: list[str] = []

    def run(self) -> None:
        """Probe at intervals; runs until it is killed."""
        while True:
            gevent.sleep(PROBE_S)
            unreachable = self._router.list_unreachable_services()
            if unreachable != self.unreachable:
                write_log_entry(log, ServicesUnreachable(services=unreachable))
            self.unreachable = unreachable
            for service in unreachable:
                self._probe_server(service)

    def _probe_server(self, service: str) -> None:
        endpoints = self._router.availability.list_probed(service, self._clock())
        if not endpoints:
            return
        self._probes += 1
        endpoint = endpoints[self._probes % len(endpoints)]
        try:
            self._pool.probe(endpoint)
        except ConnectError as error:
            entry = ServerStillUnreachable(server=endpoint.name, reason=str(error))
            write_log_entry(log, entry)
            self._router.record_still_down(endpoint, is_refused=is_refusal(error))
            return
        self._router.record_reachable(endpoint)
