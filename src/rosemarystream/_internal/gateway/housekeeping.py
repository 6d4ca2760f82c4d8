"""Lapses of what a host knows, and log entries on what has changed."""

from collections.abc import Callable, Sequence
from itertools import cycle

import gevent
from logbook import Logger

from rosemarystream._internal.decisions.host_delays import LATE_S, TICK_S
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.prompt_parts import format_part
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.store_freshness import WatchReserve
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.peering import Peering
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.state import StateReport
from rosemarystream._internal.gateway.store_watches import StoreWatch
from rosemarystream._internal.models.log_entries.hosts import HostFound, HostLost
from rosemarystream._internal.models.log_entries.process import HostDelayed
from rosemarystream._internal.models.log_entries.requests import (
    PromptPartBlocked,
    PromptPartReleased,
)
from rosemarystream._internal.models.log_entries.servers import (
    EvacuationBegun,
    EvacuationEnded,
    ServersNotReturned,
    ServersReleased,
)
from rosemarystream._internal.models.log_entries.store import (
    ReserveWatchBegun,
    ReserveWatchEnded,
    StoreRestored,
)

log = Logger(__name__)

HOUSEKEEPING_INTERVAL_S = TICK_S
# Interval of the log entries on requests sent to limited servers.
LIMITED_SENDS_INTERVAL_S = 1.0
# Interval of the checks that each request that was begun has ended or is in progress.
BALANCE_INTERVAL_S = 1.0
_MS_PER_S = 1000


class Housekeeping:
    """Removes what has lapsed, logs changes, and keeps the state report current.

    Parameters
    ----------
    watches : sequence of StoreWatch
        Watches that know whether the store is lost.
    reserve : WatchReserve
        Knows whether this host watches the store in place of others.
    on_expiry : callable
        Called after servers have lapsed.
    check_requests : callable
        Checks that each request that was begun has ended or is in progress.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        replica: Replica,
        peer_table: PeerTable,
        blocks: PromptBlocks,
        router: Router,
        state: StateReport,
        peering: Peering,
        watches: Sequence[StoreWatch],
        reserve: WatchReserve,
        on_expiry: Callable[[], None],
        check_requests: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._replica = replica
        self._peer_table = peer_table
        self._blocks = blocks
        self._router = router
        self._metrics = router.metrics
        self._state = state
        self._peering = peering
        self._watches = watches
        self._reserve = reserve
        self._reserve_since: float | None = None
        self._on_expiry = on_expiry
        self._check_requests = check_requests
        self._requests_due_at = 0.0
        self._steps: list[Callable[[float], None]] = [
            self._record_tick,
            self._remove_stale_hosts,
            self._expire_servers,
            self._log_store_eras,
            self._log_host_changes,
            self._expire_blocks,
            self._log_block_changes,
            self._log_evacuations,
            self._log_server_statements,
            self._record_version,
            self._record_store_loss,
            self._log_reserve_watch,
            self._check_request_balance,
        ]
        self._turns = cycle(self._steps)

    def run(self) -> None:
        """Work at intervals; runs until it is killed.

        After an error in one step a new start goes on with the next one, so that a
        step that always fails keeps no other from its turn.
        """
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            for _ in self._steps:
                step = next(self._turns)
                step(self._clock())

    def log_limited_sends(self) -> None:
        """Log, at intervals, what was sent to limited servers; runs until killed."""
        while True:
            gevent.sleep(LIMITED_SENDS_INTERVAL_S)
            self._router.statements.log_limited_sends()

    def _record_tick(self, now: float) -> None:
        late_s = self._router.availability.delays.record_tick(now)
        self._metrics.host_delay_seconds.observe(late_s)
        if late_s >= LATE_S:
            write_log_entry(log, HostDelayed(late_ms=round(late_s * _MS_PER_S, 1)))

    def _remove_stale_hosts(self, now: float) -> None:
        self._peer_table.remove_stale(now)

    def _expire_blocks(self, now: float) -> None:
        self._blocks.expire(now)

    def _log_server_statements(self, now: float) -> None:
        self._router.statements.log_changes()

    def _record_version(self, now: float) -> None:
        self._state.record_version()

    def _check_request_balance(self, now: float) -> None:
        if now >= self._requests_due_at:
            self._requests_due_at = now + BALANCE_INTERVAL_S
            self._check_requests()

    def _expire_servers(self, now: float) -> None:
        expired = self._replica.expire(now)
        released = self._replica.release(now)
        if expired:
            write_log_entry(log, ServersNotReturned(servers=expired))
        if released:
            write_log_entry(log, ServersReleased(servers=released))
        if expired or released:
            self._on_expiry()

    def _log_store_eras(self, now: float) -> None:
        for change in self._replica.era.take_changes():
            self._metrics.store_copies.inc()
            entry = StoreRestored(
                era_before=change.before.era,
                era=change.after.era,
                revision_before=change.before.revision,
                revision=change.after.revision,
            )
            write_log_entry(log, entry)

    def _record_store_loss(self, now: float) -> None:
        lost = [watch.lost_at for watch in self._watches if watch.lost_at]
        self._state.store_lost_s = now - min(lost) if lost else 0.0
        self._peering.messages.store_lost_ms = int(self._state.store_lost_s * _MS_PER_S)

    def _log_reserve_watch(self, now: float) -> None:
        since = self._reserve_since
        if self._reserve.is_active(now):
            if since is None:
                self._reserve_since = now
                write_log_entry(log, ReserveWatchBegun())
        elif since is not None:
            self._reserve_since = None
            lasted_ms = round((now - since) * _MS_PER_S, 1)
            write_log_entry(log, ReserveWatchEnded(lasted_ms=lasted_ms))

    def _log_block_changes(self, now: float) -> None:
        for change in self._blocks.take_changes():
            part = format_part(change.part)
            if change.is_blocked:
                for_ms = round(change.left_s * _MS_PER_S, 1)
                write_log_entry(log, PromptPartBlocked(part=part, for_ms=for_ms))
            else:
                write_log_entry(log, PromptPartReleased(part=part))

    def _log_evacuations(self, now: float) -> None:
        self._router.availability.evacuations.release(now)
        for change in self._router.availability.evacuations.take_changes():
            kind = EvacuationBegun if change.is_in_force else EvacuationEnded
            entry = kind(
                evacuated=change.data_centre,
                revision=change.revision,
                source=change.source,
                age_ms=round(change.age_s * _MS_PER_S, 1),
            )
            write_log_entry(log, entry)

    def _log_host_changes(self, now: float) -> None:
        changes = self._peer_table.take_changes(now)
        for host in changes.found:
            entry = HostFound(peer=host.name, data_centre=host.data_centre)
            write_log_entry(log, entry)
        for host in changes.lost:
            entry = HostLost(
                peer=host.name,
                data_centre=host.data_centre,
                last_seen_ms=round((now - host.last_seen_at) * _MS_PER_S, 1),
            )
            write_log_entry(log, entry)
