"""Beats between entry hosts, over UDP.

Each host reports its load to the collectors of its data centre; these tell it
the load of all others, and the collectors elsewhere the sum of theirs. A beat
also names versions; a host that sees a newer one pulls what it lacks.
"""

from collections.abc import Callable
from typing import NamedTuple

import gevent
import msgspec
from gevent import socket
from logbook import Logger

from rosemarystream._internal.decisions.context_map import CacheUpdate, ContextMap
from rosemarystream._internal.decisions.load_table import Load, LoadReport, LoadTable
from rosemarystream._internal.decisions.peer_table import Peer, PeerTable
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.logs import write_line
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.gateway.pulls import Pulls
from rosemarystream._internal.models.gossip import GossipMessage, HostAddress, LoadScope
from rosemarystream._internal.models.log_entries import GossipFailed, GossipUnreadable

log = Logger(__name__)

BEAT_S = 0.1
# Shortest time between two beats that are sent because a load has jumped.
JUMP_S = 0.02
# Requests by which the own load changes before it is told at once.
JUMP_REQUESTS = 2
# Beats after which names of hosts go along.
NAMES_EVERY = 5
MAX_NAMES = 48
# Beats for which a new host greets its seeds, unless it hears somebody.
GREETINGS = 100
GREET_EVERY = 5
DATAGRAM_BYTES = 65_000
# Time for which a host's word that it has lost the store holds.
LOST_LIFE_S = 1.5

_decoder = msgspec.msgpack.Decoder(GossipMessage)
_encode = msgspec.msgpack.encode


class _LostStore(NamedTuple):
    """What a host last told of its contact to the store."""

    told_at: float
    lost_ms: int


class Peering:
    """Keeps this host in touch with the others.

    Parameters
    ----------
    me : HostAddress
        This host.
    port : int
        UDP port of all hosts.
    seeds : list of str
        ``ip:port`` of hosts that may be up; only the IP number is used.
    first_sequence : int
        Number of the first beat; higher than any of an earlier process.
    list_ejected : callable
        Returns the servers that this host can't reach.
    on_resting : callable
        Takes the servers that another host can't reach.
    """

    def __init__(
        self,
        *,
        me: HostAddress,
        port: int,
        seeds: list[str],
        first_sequence: int,
        clock: Callable[[], float],
        replica: Replica,
        peer_table: PeerTable,
        loads: LoadTable,
        contexts: ContextMap,
        pulls: Pulls,
        list_ejected: Callable[[], list[int]],
        on_resting: Callable[[list[int]], None],
        metrics: GatewayMetrics,
    ) -> None:
        self._me = me
        self._port = port
        self._seeds = {seed.rpartition(":")[0] for seed in seeds} - {me.ip}
        self._sequence = first_sequence
        self._clock = clock
        self._replica = replica
        self._peer_table = peer_table
        self._loads = loads
        self._contexts = contexts
        self._pulls = pulls
        self._list_ejected = list_ejected
        self._on_resting = on_resting
        self._metrics = metrics
        self._beats = 0
        self._told_requests = 0
        self._told_at = 0.0
        self._lost_stores: dict[str, _LostStore] = {}
        self.store_lost_ms = 0
        self._tasks: list[gevent.Greenlet] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def start(self) -> None:
        """Listen, and ask the seeds who is there."""
        self._socket.bind((self._me.ip, self._port))
        self._tasks = [gevent.spawn(self._receive), gevent.spawn(self._beat)]

    def stop(self) -> None:
        """Fall silent."""
        gevent.killall(self._tasks)
        self._socket.close()

    def _beat(self) -> None:
        while True:
            self._beats += 1
            self._greet()
            self._tell(self._contexts.take_cache_updates())
            gevent.sleep(BEAT_S)

    def tell_jump(self) -> None:
        """Tell the collectors at once if the own load has jumped."""
        total = self._loads.count_own()
        if abs(total - self._told_requests) < JUMP_REQUESTS:
            return
        if self._clock() - self._told_at >= JUMP_S:
            self._report([])

    def announce(self) -> None:
        """Tell the others at once that there is newer state."""
        self._tell([])

    # Sending

    def _tell(self, cache_updates: list[CacheUpdate]) -> None:
        collectors = self._report(cache_updates)
        if self._me.name in collectors:
            now = self._clock()
            self._loads.clear_others_sums()
            self._tell_near(now, cache_updates)
            self._tell_far(now, cache_updates)

    def _report(self, cache_updates: list[CacheUpdate]) -> list[str]:
        """Report to the collectors; returns their names."""
        now = self._clock()
        own = self._loads.sum_own()
        self._told_requests, self._told_at = own.counts.total(), now
        collectors = self._peer_table.list_collectors(self._me.data_centre, now)
        beat = self._make_beat(LoadScope.HOST, own, cache_updates=cache_updates)
        for name in collectors:
            self._send_to(name, beat)
        return collectors

    def _tell_near(self, now: float, cache_updates: list[CacheUpdate]) -> None:
        known_hosts = self._list_names(now) if self._beats % NAMES_EVERY == 0 else []
        near = {
            host.name: host.ip
            for host in self._peer_table.list_live(now)
            if host.data_centre == self._me.data_centre
        }
        for name, load in self._loads.sum_others_by_host(near, now).items():
            beat = self._make_beat(
                LoadScope.OTHERS,
                load,
                cache_updates=cache_updates,
                known_hosts=known_hosts,
            )
            self._send(near[name], beat)

    def _tell_far(self, now: float, cache_updates: list[CacheUpdate]) -> None:
        load = self._loads.sum_data_centre(now)
        beat = self._make_beat(LoadScope.DATA_CENTRE, load, cache_updates=cache_updates)
        for data_centre in self._peer_table.list_data_centres():
            for name in self._peer_table.list_collectors(data_centre, now):
                self._send_to(name, beat)

    def _greet(self) -> None:
        """Reach the seeds while nobody has been heard, and at the start."""
        heard = any(host.last_seen_at for host in self._peer_table.list_known())
        if self._beats % GREET_EVERY != 1 or (heard and self._beats > GREET_EVERY):
            return
        beat = self._make_beat(LoadScope.NONE, self._loads.sum_own(), wants_answer=True)
        for ip in self._seeds if self._beats <= GREETINGS else ():
            self._send(ip, beat)

    def _make_beat(
        self,
        scope: LoadScope,
        load: Load,
        *,
        cache_updates: list[CacheUpdate] | None = None,
        known_hosts: list[HostAddress] | None = None,
        wants_answer: bool = False,
    ) -> GossipMessage:
        self._sequence += 1
        return GossipMessage(
            sender=self._me,
            sequence=self._sequence,
            version=self._replica.version,
            revision=self._replica.revision,
            store_lost_ms=self.store_lost_ms,
            scope=scope,
            counts=load.counts,
            prefill=load.prefill,
            ejected=self._list_ejected() if scope is LoadScope.HOST else [],
            cache_updates=cache_updates or [],
            known_hosts=known_hosts or [],
            wants_answer=wants_answer,
        )

    def _list_names(self, now: float, *, first: str = "") -> list[HostAddress]:
        near = first or self._me.data_centre
        hosts = sorted(
            self._peer_table.list_live(now),
            key=lambda host: (host.data_centre != near, host.name),
        )
        return [_make_name(host, now) for host in hosts[:MAX_NAMES]]

    def _send_to(self, name: str, beat: GossipMessage) -> None:
        host = self._peer_table.find(name)
        if host is not None:
            self._send(host.ip, beat)

    def _send(self, ip: str, beat: GossipMessage) -> None:
        try:
            sent = self._socket.sendto(_encode(beat), (ip, self._port))
            self._metrics.beats_bytes.inc(sent)
        except OSError as error:
            write_line(log, GossipFailed(ip=ip, error=str(error)))

    # Receiving

    def _receive(self) -> None:
        while True:
            try:
                data, (ip, _) = self._socket.recvfrom(DATAGRAM_BYTES)
                beat = _decoder.decode(data)
            except msgspec.DecodeError as error:
                write_line(log, GossipUnreadable(ip=ip, error=str(error)))
                continue
            except OSError as error:
                write_line(log, GossipFailed(error=str(error)))
                gevent.sleep(BEAT_S)
                continue
            if beat.sender.name != self._me.name:
                self._accept(beat)

    def _accept(self, beat: GossipMessage) -> None:
        now = self._clock()
        sender = beat.sender
        self._peer_table.record_alive(sender.name, sender.data_centre, sender.ip, now)
        self._accept_names(beat.known_hosts, now)
        self._accept_load(beat, now)
        self._contexts.accept_cache_updates(beat.cache_updates, now)
        self._lost_stores[sender.name] = _LostStore(now, beat.store_lost_ms)
        if beat.ejected:
            self._on_resting(beat.ejected)
        if beat.wants_answer:
            self._answer_greeting(sender, now)
        if beat.revision > self._replica.revision:
            self._pulls.begin_servers(sender.ip)
        if beat.version > self._replica.version:
            self._pulls.begin_document(sender.ip)

    def _answer_greeting(self, sender: HostAddress, now: float) -> None:
        known_hosts = self._list_names(now, first=sender.data_centre)
        beat = self._make_beat(
            LoadScope.NONE, self._loads.sum_own(), known_hosts=known_hosts
        )
        self._send(sender.ip, beat)

    def _accept_names(self, known_hosts: list[HostAddress], now: float) -> None:
        for host in known_hosts:
            if self._peer_table.find(host.name) is None or host.age_ms < 0:
                self._peer_table.add_peer(host.name, host.data_centre, host.ip, now)
            if host.age_ms >= 0:
                self._peer_table.record_alive(
                    host.name, host.data_centre, host.ip, now - host.age_ms / 1000
                )

    def _accept_load(self, beat: GossipMessage, now: float) -> None:
        report = LoadReport(beat.sequence, now, beat.counts, beat.prefill)
        sender = beat.sender
        if beat.scope is LoadScope.HOST:
            self._loads.accept_host(sender.name, report)
        elif beat.scope is LoadScope.DATA_CENTRE:
            self._loads.accept_data_centre(sender.data_centre, report)
        elif beat.scope is LoadScope.OTHERS:
            self._loads.accept_others_sum(sender.name, report)

    def list_lost_stores(self, now: float) -> set[str]:
        """Return the hosts that say they can't reach the store."""
        return {
            name
            for name, told in self._lost_stores.items()
            if told.lost_ms > 0 and now - told.told_at <= LOST_LIFE_S
        }


def _make_name(host: Peer, now: float) -> HostAddress:
    age_ms = int((now - host.last_seen_at) * 1000) if host.last_seen_at else -1
    return HostAddress(host.name, host.data_centre, host.ip, age_ms)
