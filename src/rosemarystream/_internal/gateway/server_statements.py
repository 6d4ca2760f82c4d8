"""What backend servers state in their answers: recorded, counted and logged.

They state that they leave, when they want requests again, and how many they take.
"""

from collections import Counter
from collections.abc import Callable

from logbook import Logger

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.server_availability import (
    ServerAvailability,
)
from rosemarystream._internal.decisions.server_limits import UNLIMITED
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.log_entries.requests import LimitedSends
from rosemarystream._internal.models.log_entries.servers import (
    ServerAskedToWait,
    ServerCold,
    ServerLeaving,
    ServerLimitChanged,
    ServerWarm,
)
from rosemarystream._internal.platform.headers import AnswerHead
from rosemarystream._internal.platform.retry_after import measure_delay

log = Logger(__name__)

_MS_PER_S = 1000


class ServerStatements:
    """Records the statements of servers for this host.

    Parameters
    ----------
    read_epoch_s : callable
        Returns the time since the epoch in seconds.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        availability: ServerAvailability,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        read_epoch_s: Callable[[], float],
    ) -> None:
        self._replica = replica
        self._leaving = availability.leaving
        self._retries = availability.retries
        self._limits = availability.limits
        self._metrics = metrics
        self._clock = clock
        self._read_epoch_s = read_epoch_s
        self._limited_sends: Counter[str] = Counter()

    def record(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Record what an answer of a server states about the requests that it takes.

        Refusals and failures may leave a limit out; only a success without one shows
        that it has ended.
        """
        if head.is_leaving:
            self._record_leaving(endpoint)
        if head.asks_to_wait:
            self._record_retry_after(endpoint, head)
        if head.has_unreadable_limit:
            self._metrics.limits_unreadable.inc()
        elif head.limit_per_s is not None or head.is_success:
            self._limits.record(endpoint.number, head.limit_per_s, self._clock())

    def _record_leaving(self, endpoint: Endpoint) -> None:
        if self._leaving.record(endpoint.number, endpoint.incarnation):
            entry = ServerLeaving(server=endpoint.name, reported_by_host=False)
            write_log_entry(log, entry)

    def _record_retry_after(self, endpoint: Endpoint, head: AnswerHead) -> None:
        delay_s = measure_delay(head.retry_after, self._read_epoch_s())
        if delay_s is None:
            self._metrics.retry_after_unreadable.inc()
            return
        now = self._clock()
        is_new = self._retries.find(endpoint) <= now
        self._retries.record(endpoint, delay_s, now)
        if is_new:
            for_ms = round((self._retries.find(endpoint) - now) * _MS_PER_S, 1)
            write_log_entry(log, ServerAskedToWait(server=endpoint.name, for_ms=for_ms))

    def record_send(self, endpoint: Endpoint) -> None:
        """Count a request that is sent to a server, if it is limited or cold."""
        if self._limits.needs_permission(endpoint.number, self._clock()):
            self._limited_sends[endpoint.name] += 1

    def log_changes(self) -> None:
        """Log the servers that have changed as they state, or as others tell."""
        self._log_cold_changes()
        limits = {change.server: change.per_s for change in self._limits.take_changes()}
        leaving = set(self._leaving.take_updates())
        for endpoint in self._replica.list_endpoints() if limits or leaving else ():
            if (endpoint.number, endpoint.incarnation) in leaving:
                entry = ServerLeaving(server=endpoint.name, reported_by_host=True)
                write_log_entry(log, entry)
            if endpoint.number in limits:
                limit = limits[endpoint.number]
                per_s = None if limit == UNLIMITED else limit
                changed = ServerLimitChanged(server=endpoint.name, per_s=per_s)
                write_log_entry(log, changed)

    def _log_cold_changes(self) -> None:
        changes = self._limits.cold.take_changes(self._clock())
        if not changes:
            return
        names = {e.number: e.name for e in self._replica.list_endpoints()}
        for change in changes:
            name = names.get(change.server)
            if name is None:
                continue
            if change.source is None:
                write_log_entry(log, ServerWarm(server=name))
            else:
                for_ms = round(change.left_s * _MS_PER_S, 1)
                cold = ServerCold(server=name, for_ms=for_ms, source=change.source)
                write_log_entry(log, cold)

    def log_limited_sends(self) -> None:
        """Log the requests sent to limited and cold servers since the last call."""
        sends, self._limited_sends = self._limited_sends, Counter()
        if sends:
            write_log_entry(log, LimitedSends(sends=dict(sends)))
