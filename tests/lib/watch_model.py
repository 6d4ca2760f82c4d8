"""A fleet in memory whose hosts watch a store that serves some of them only."""

from rosemarystream._internal.decisions.store_freshness import WatchReserve
from tests.lib.gossip_world import GossipWorld

KIND = "config"
# Time between two answers to the watch of a host that is served.
ANSWER_INTERVAL_S = 0.9
# Time until a host notices that the store doesn't answer, and until it tries again.
OVERDUE_S = 1.2
RETRY_S = 1.0


class WatchModel(GossipWorld):
    """Hosts that watch a store by the rules of an entry host.

    Attributes
    ----------
    refused, silent : set of str
        Hosts that the store turns away, and those that it doesn't answer.
    calls : int
        Calls of the store.
    """

    def __init__(self, *, hosts, data_centres):
        self.refused, self.silent = set(), set()
        self.calls = 0
        super().__init__(hosts=hosts, data_centres=data_centres)
        for host in self.hosts.values():
            host.reserve = WatchReserve(
                freshness=host.freshness, peer_table=host.peer_table, probe=KIND
            )
            host.lost_at = host.called_at = None
            host.next_call_at = 0.0

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            for name, host in self.hosts.items():
                if name not in self.stopped:
                    self._watch(host)
            super().run(0.1)

    def _is_watcher(self, host):
        lost = host.peering.list_lost_stores(self.now)
        is_regular = host.peer_table.is_watcher(self.now, lost=lost)
        return is_regular or host.reserve.is_due(KIND, self.now)

    def _watch(self, host):
        if host.called_at is not None:
            # An answer that is overdue; the host asks again.
            if self.now >= host.called_at + OVERDUE_S:
                self._lose(host)
            elif host.name not in self.silent:
                host.called_at = None
        elif not self._is_watcher(host):
            host.lost_at, host.next_call_at = None, 0.0
        elif self.now >= host.next_call_at:
            self._call(host)
        lost_s = self.now - host.lost_at if host.lost_at is not None else 0.0
        host.peering.messages.store_lost_ms = int(lost_s * 1000) + (
            host.lost_at is not None
        )

    def _call(self, host):
        self.calls += 1
        if host.name in self.silent:
            host.called_at = self.now
        elif host.name in self.refused:
            self._lose(host)
        else:
            host.lost_at = None
            host.freshness.record_answer(KIND, self.now)
            host.next_call_at = self.now + ANSWER_INTERVAL_S

    def _lose(self, host):
        if host.lost_at is None:
            host.lost_at = self.now
        host.called_at, host.next_call_at = None, self.now + RETRY_S

    def measure_age(self):
        """Return how long ago some host last knew all that the store had."""
        return self.now - max(host.freshness.own_at for host in self.list_live())
