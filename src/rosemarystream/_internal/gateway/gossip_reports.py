"""What gossip messages report of hosts: their names, load, number and store."""

from rosemarystream._internal.decisions.load_table import LoadReport, LoadTable
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.store_freshness import StoreFreshness
from rosemarystream._internal.models.gossip import (
    NEVER_MS,
    GossipMessage,
    HostAddress,
    LoadScope,
)
from rosemarystream._internal.utils.address import is_host_ip

# Time for which another host's report that it has lost the store is valid.
STORE_REPORT_LIFE_S = 1.5
# Age from which a report that a host knows all that the store has is of no use.
MAX_STORE_AGE_S = 10.0
_MS_PER_S = 1000


class GossipReports:
    """Enters the reports of received messages in the tables of hosts and loads."""

    def __init__(
        self, *, peer_table: PeerTable, loads: LoadTable, freshness: StoreFreshness
    ) -> None:
        self._peer_table = peer_table
        self._loads = loads
        self._freshness = freshness
        # When hosts last reported that they lost the store, unless they regained it.
        self._lost_stores: dict[str, float] = {}

    def accept(self, message: GossipMessage, now: float) -> None:
        """Enter all reports of a message."""
        sender = message.sender
        self._peer_table.record_alive(sender.name, sender.data_centre, sender.ip, now)
        if message.known_hosts:
            self._accept_known_hosts(message.known_hosts, now)
        self._accept_load(message, now)
        self._accept_store_ages(message, now)
        if message.live_hosts:
            self._accept_count(message, now)
        if message.store_lost_ms:
            self._lost_stores[sender.name] = now
        elif self._lost_stores:
            self._lost_stores.pop(sender.name, None)

    def _accept_store_ages(self, message: GossipMessage, now: float) -> None:
        sender = message.sender
        if message.store_age_ms is None:
            if message.scope in (LoadScope.OTHERS, LoadScope.DATA_CENTRE):
                # A collector of an earlier build may watch, and doesn't say so.
                self._freshness.accept_relayed(now)
        elif message.store_age_ms != NEVER_MS:
            known_at = now - message.store_age_ms / _MS_PER_S
            self._freshness.accept_report(sender.name, sender.data_centre, known_at)
        if message.heard_store_age_ms != NEVER_MS:
            known_at = now - message.heard_store_age_ms / _MS_PER_S
            if message.scope is LoadScope.DATA_CENTRE:
                self._freshness.accept_relayed_far(known_at)
            else:
                self._freshness.accept_relayed(known_at)

    def list_lost_stores(self, now: float) -> set[str]:
        """Return the hosts that have lately reported that they lost the store."""
        return {
            name
            for name, reported_at in self._lost_stores.items()
            if now - reported_at <= STORE_REPORT_LIFE_S
        }

    def _accept_known_hosts(self, known_hosts: list[HostAddress], now: float) -> None:
        for host in known_hosts:
            if not is_host_ip(host.ip):
                continue
            if self._peer_table.find(host.name) is None or host.age_ms < 0:
                self._peer_table.add_peer(host.name, host.data_centre, host.ip, now)
            if host.age_ms >= 0:
                seen_at = now - host.age_ms / _MS_PER_S
                self._peer_table.record_alive(
                    host.name, host.data_centre, host.ip, seen_at
                )

    def _accept_load(self, message: GossipMessage, now: float) -> None:
        report = LoadReport(message.sequence, now, message.counts, message.prefill)
        sender = message.sender
        if message.scope is LoadScope.HOST:
            self._loads.accept_host(sender.name, report)
        elif message.scope is LoadScope.DATA_CENTRE:
            self._loads.accept_data_centre(sender.data_centre, report)
        elif message.scope is LoadScope.OTHERS:
            self._loads.accept_others_sum(sender.name, report)

    def _accept_count(self, message: GossipMessage, now: float) -> None:
        if message.scope is LoadScope.DATA_CENTRE:
            self._peer_table.record_data_centre_count(
                message.sender.data_centre, message.live_hosts, now
            )
        else:
            self._peer_table.record_fleet_count(message.live_hosts, now)
