"""Gossip messages between entry hosts, over UDP.

Each host reports its load to the collectors of its data centre. A collector sends
each of these hosts the load of all others, and sends the collectors of other data
centres the sum for its own. A message also carries the versions of the sender's
state; a host that sees a newer one pulls what it lacks.
"""

from collections.abc import Callable, Sequence

import gevent
import msgspec
from gevent import socket
from logbook import Logger

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.fleet_observations import (
    FleetObservations,
    ObservationReports,
)
from rosemarystream._internal.decisions.live_hosts import Peer
from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.store_freshness import StoreFreshness
from rosemarystream._internal.gateway.era_codec import (
    decode_evacuations,
    decode_rise,
)
from rosemarystream._internal.gateway.gossip_decoder import decode_gossip
from rosemarystream._internal.gateway.gossip_messages import (
    NO_LOAD,
    NO_UPDATES,
    GossipMessages,
    Updates,
)
from rosemarystream._internal.gateway.gossip_names import list_names, take_turn
from rosemarystream._internal.gateway.gossip_reports import GossipReports
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.gateway.state_pulls import StatePuller
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.gossip import (
    GossipMessage,
    HostAddress,
    LoadScope,
    QuotaQuestion,
)
from rosemarystream._internal.models.log_entries.hosts import (
    GossipFailed,
    GossipUnreadable,
)
from rosemarystream._internal.models.position import Position

log = Logger(__name__)

GOSSIP_INTERVAL_S = 0.1
# Minimum time between two reports sent because of a change of this host's load.
MIN_REPORT_INTERVAL_S = 0.02
# Change of this host's load, in requests, that is reported without delay.
LOAD_CHANGE_REQUESTS = 2
# Rounds between two messages to the own data centre that name hosts.
NAMES_EVERY_ROUNDS = 5
# Rounds between two messages with all evacuations, also those that have ended.
EVACUATIONS_EVERY_ROUNDS = 10
# Rounds between two attempts to contact the lost hosts of a data centre, and how many
# of them are contacted each time.
RECONTACT_EVERY_ROUNDS = 10
RECONTACT_HOSTS = 2
# Rounds in which a new host contacts its seeds, unless a message of a host arrives,
# and the interval between two contacts, in rounds.
SEED_CONTACT_ROUNDS = 100
SEED_CONTACT_EVERY_ROUNDS = 5
MAX_DATAGRAM_BYTES = 65_000
RECEIVE_LOOP = "gossip_receive"

_encode = msgspec.msgpack.encode


class Peering:
    """Sends gossip messages to the other hosts and applies those received.

    Parameters
    ----------
    this_host : HostAddress
        This host.
    port : int
        UDP port of all hosts.
    seeds : list of str
        ``ip:port`` of hosts that may be up; only the IP number is used.
    first_sequence : int
        Sequence number of the first message; higher than any of an earlier process.
    observations : FleetObservations
        What this host and others have observed of the servers.
    gate : LimitGate
        Asks and answers questions for permissions to send to limited servers.
    blocks : PromptBlocks
        Prompt parts on which servers crash.
    puller : StatePuller
        Fetches newer state from a host.
    list_ejected : callable
        Returns the numbers of the servers that this host has ejected.
    on_ejections : callable
        Called with the numbers of the servers that another host has ejected.
    supervisor : Supervisor
        Runs the rounds and the receipt of messages.
    evacuations : Evacuations, optional
        The evacuated data centres; each message carries them.
    freshness : StoreFreshness
        When hosts last knew all that the store had.

    Attributes
    ----------
    messages : GossipMessages
        Makes the messages of this host.
    """

    def __init__(
        self,
        *,
        this_host: HostAddress,
        port: int,
        seeds: list[str],
        first_sequence: int,
        clock: Callable[[], float],
        replica: Replica,
        peer_table: PeerTable,
        loads: LoadTable,
        contexts: ContextMap,
        observations: FleetObservations,
        gate: LimitGate,
        blocks: PromptBlocks,
        puller: StatePuller,
        list_ejected: Callable[[], list[int]],
        on_ejections: Callable[[list[int]], None],
        metrics: GatewayMetrics,
        supervisor: Supervisor,
        evacuations: Evacuations | None = None,
        freshness: StoreFreshness,
    ) -> None:
        self._freshness = freshness
        self._evacuations = evacuations or Evacuations()
        self._this_host = this_host
        self._port = port
        self._seeds = {seed.rpartition(":")[0] for seed in seeds} - {this_host.ip}
        self._clock = clock
        self._replica = replica
        self._peer_table = peer_table
        self._loads = loads
        self._contexts = contexts
        self._observations = observations
        self._gate = gate
        self._blocks = blocks
        self._puller = puller
        self._on_ejections = on_ejections
        self._metrics = metrics
        self._supervisor = supervisor
        self._rounds = 0
        self._reported_requests = 0
        self._reported_at = 0.0
        self._reports = GossipReports(
            peer_table=peer_table, loads=loads, freshness=freshness
        )
        self.messages = GossipMessages(
            this_host=this_host,
            first_sequence=first_sequence,
            clock=clock,
            replica=replica,
            list_ejected=list_ejected,
            evacuations=self._evacuations,
            freshness=freshness,
        )
        self._tasks: list[gevent.Greenlet] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def start(self) -> None:
        """Start to receive, and to send in rounds; the seeds are contacted first."""
        self._socket.bind((self._this_host.ip, self._port))
        start_loop = self._supervisor.start_loop
        self._tasks = [
            start_loop(RECEIVE_LOOP, self._receive, is_needed=True),
            start_loop("gossip_rounds", self._run_rounds, is_needed=True),
        ]

    def stop(self) -> None:
        """Stop sending and receiving."""
        gevent.killall(self._tasks)
        self._socket.close()

    def _run_rounds(self) -> None:
        while True:
            self.run_round()
            gevent.sleep(GOSSIP_INTERVAL_S)

    def run_round(self) -> None:
        """Send the messages of one round."""
        self._rounds += 1
        is_whole = self._rounds % EVACUATIONS_EVERY_ROUNDS == 0
        self.messages.tells_ended_evacuations = is_whole
        self._gate.observe_role()
        self._contact_seeds()
        self._contact_lost_hosts()
        now = self._clock()
        collectors = self._list_collectors(now)
        is_collector = self._this_host.name in collectors
        updates = Updates(
            self._contexts.take_cache_updates(),
            self._blocks.take_updates(now, repeats_blocks=is_collector),
        )
        self._send_to_all(collectors, updates)

    def report_load_change(self) -> None:
        """Report this host's load to the collectors at once if it has changed much."""
        total = self._loads.count_own()
        if abs(total - self._reported_requests) < LOAD_CHANGE_REQUESTS:
            return
        if self._clock() - self._reported_at >= MIN_REPORT_INTERVAL_S:
            collectors = self._list_collectors(self._clock())
            self._report_to_collectors(collectors, NO_UPDATES)

    def announce(self) -> None:
        """Send the versions of newer state without waiting for the next round."""
        self._send_to_all(self._list_collectors(self._clock()), NO_UPDATES)

    def contact(self, ips: Sequence[str]) -> None:
        """Contact hosts that may be up; those that are name others in their answers."""
        message = self.messages.make(
            LoadScope.NONE, self._loads.sum_own(), wants_answer=True
        )
        for ip in ips:
            self._send(ip, message)

    # Sending

    def _list_collectors(self, now: float) -> list[str]:
        return self._peer_table.list_collectors(self._this_host.data_centre, now)

    def _send_to_all(self, collectors: list[str], updates: Updates) -> None:
        self._report_to_collectors(collectors, updates)
        if self._this_host.name in collectors:
            now = self._clock()
            self._loads.clear_others_sums()
            self._send_to_data_centre(now, updates)
            self._send_to_remote(now, updates)

    def _report_to_collectors(self, collectors: list[str], updates: Updates) -> None:
        """Report this host's load to the collectors of its data centre."""
        now = self._clock()
        own = self._loads.sum_own()
        self._reported_requests, self._reported_at = own.counts.total(), now
        message = self.messages.make(
            LoadScope.HOST,
            own,
            updates=updates,
            reports=self._observations.report_own(now),
        )
        for name in collectors:
            self._send_to(name, message)

    def _send_to_data_centre(self, now: float, updates: Updates) -> None:
        known_hosts = (
            self._list_names(now) if self._rounds % NAMES_EVERY_ROUNDS == 0 else []
        )
        live_hosts = self._peer_table.count_live(now)
        reports = self._observations.report_all(now)
        nearby = {
            host.name: host.ip
            for host in self._peer_table.list_live(now)
            if host.data_centre == self._this_host.data_centre
        }
        for name, load in self._loads.sum_others_by_host(nearby, now).items():
            message = self.messages.make(
                LoadScope.OTHERS,
                load,
                updates=updates,
                known_hosts=known_hosts,
                live_hosts=live_hosts,
                reports=reports,
                store_heard_at=self._freshness.find_heard(but=name),
            )
            self._send(nearby[name], message)

    def _send_to_remote(self, now: float, updates: Updates) -> None:
        load = self._loads.sum_data_centre(now)
        message = self.messages.make(
            LoadScope.DATA_CENTRE,
            load,
            updates=updates,
            live_hosts=self._peer_table.count_data_centre(now),
            reports=self._observations.report_nearby(now),
            store_heard_at=self._freshness.find_heard_nearby(),
        )
        for data_centre in self._peer_table.list_data_centres():
            for name in self._peer_table.list_collectors(data_centre, now):
                self._send_to(name, message)

    def _contact_seeds(self) -> None:
        """Contact the seeds at the start, and until another host is in contact."""
        has_contact = any(host.last_seen_at for host in self._peer_table.list_known())
        if self._rounds % SEED_CONTACT_EVERY_ROUNDS != 1 or (
            has_contact and self._rounds > SEED_CONTACT_EVERY_ROUNDS
        ):
            return
        if self._rounds <= SEED_CONTACT_ROUNDS:
            self.contact([*self._seeds])

    def _contact_lost_hosts(self) -> None:
        """Contact hosts that are no longer heard, as after a network cut."""
        if self._rounds % RECONTACT_EVERY_ROUNDS:
            return
        now = self._clock()
        lost: dict[str, list[Peer]] = {}
        for host in self._peer_table.list_unreachable(now):
            lost.setdefault(host.data_centre, []).append(host)
        turn = self._rounds // RECONTACT_EVERY_ROUNDS
        for hosts in lost.values():
            self.contact([x.ip for x in take_turn(hosts, turn, RECONTACT_HOSTS)])

    def send_question(self, host: Peer, question: QuotaQuestion) -> None:
        """Ask a host for a permission, with what is known of the server's limit."""
        message = self.messages.make(
            LoadScope.NONE,
            NO_LOAD,
            reports=self._observations.report_limit(question.server, self._clock()),
            question=question,
        )
        self._send(host.ip, message)

    def _list_names(self, now: float, receivers: str = "") -> list[HostAddress]:
        """Return the hosts to name to hosts of a data centre, by default the own."""
        own = self._this_host.data_centre
        turn = self._rounds // NAMES_EVERY_ROUNDS
        return list_names(self._peer_table, own, receivers or own, now, turn)

    def _send_to(self, name: str, message: GossipMessage) -> None:
        host = self._peer_table.find(name)
        if host is not None:
            self._send(host.ip, message)

    def _send(self, ip: str, message: GossipMessage) -> None:
        try:
            sent = self._socket.sendto(_encode(message), (ip, self._port))
            self._metrics.beats_bytes.inc(sent)
        except OSError as error:
            write_log_entry(log, GossipFailed(ip=ip, error=str(error)))

    # Receiving

    def _receive(self) -> None:
        while True:
            try:
                data, (ip, _) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                write_log_entry(log, GossipFailed(error=str(error)))
                gevent.sleep(GOSSIP_INTERVAL_S)
                continue
            self._supervisor.run_step(RECEIVE_LOOP, self.accept_datagram, data, ip)

    def accept_datagram(self, data: bytes, ip: str) -> None:
        """Apply a message of another host; an unreadable one is logged."""
        try:
            message = decode_gossip(data)
        except msgspec.DecodeError as error:
            write_log_entry(log, GossipUnreadable(ip=ip, error=str(error)))
            return
        if message.sender.name != self._this_host.name:
            self._accept(message)

    def _accept(self, message: GossipMessage) -> None:
        now = self._clock()
        sender = message.sender
        self._reports.accept(message, now)
        self._observations.accept(
            ObservationReports(
                message.slowness,
                message.limits,
                message.retry_after,
                message.leaving,
                message.cold,
            ),
            now,
            nearby=message.scope is LoadScope.HOST,
        )
        position = self._accept_position(message, now)
        if message.evacuations is not None:
            self._accept_evacuations(message, now)
        self._accept_quota_messages(message)
        self._contexts.accept_cache_updates(message.cache_updates, now)
        if message.crash_updates is not None:
            self._blocks.accept_updates(
                message.crash_updates,
                now,
                is_forwarded=self._peer_table.is_collector(now),
            )
        if message.ejected:
            self._on_ejections(message.ejected)
        if message.wants_answer:
            self._answer_first_contact(sender, now)
        if position > self._replica.position:
            self._puller.pull_servers(sender.ip)
        self._puller.pull_contexts(sender.ip)
        if message.version > self._replica.version:
            self._puller.pull_document(sender.ip)

    def _accept_position(self, message: GossipMessage, now: float) -> Position:
        """Return up to where the sender knows the store, whose era may be new."""
        era = self._replica.era
        position = era.locate(message.era, message.revision)
        if message.era is not None:
            era.accept_report(position, decode_rise(message.rise, now), now)
        return position

    def _accept_evacuations(self, message: GossipMessage, now: float) -> None:
        """Apply the records of another host; new ones are passed on at once."""
        rows = decode_evacuations(message, self._replica.era)
        if self._evacuations.accept_rows(rows, source=message.sender.name, now=now):
            self.announce()

    def _accept_quota_messages(self, message: GossipMessage) -> None:
        if message.quota_answer is not None:
            self._gate.accept_answer(message.quota_answer)
        if message.quota_question is None:
            return
        answer = self._gate.answer(message.quota_question)
        reply = self.messages.make(LoadScope.NONE, NO_LOAD, answer=answer)
        self._send(message.sender.ip, reply)

    def _answer_first_contact(self, sender: HostAddress, now: float) -> None:
        known_hosts = self._list_names(now, sender.data_centre)
        message = self.messages.make(
            LoadScope.NONE,
            self._loads.sum_own(),
            known_hosts=known_hosts,
            reports=self._observations.report_leaving(),
        )
        self._send(sender.ip, message)

    def list_lost_stores(self, now: float) -> set[str]:
        """Return the hosts that have lately reported that they lost the store."""
        return self._reports.list_lost_stores(now)
