"""Entry hosts that gossip over a network in memory, with a clock of its own."""

from types import SimpleNamespace

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.fleet_observations import (
    FleetObservations,
)
from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.decisions.leaving_servers import LeavingServers
from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.peer_table import COLLECTORS, PeerTable
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.retry_deadlines import RetryDeadlines
from rosemarystream._internal.decisions.server_limits import ServerLimits
from rosemarystream._internal.decisions.server_speeds import ServerSpeeds
from rosemarystream._internal.decisions.store_freshness import StoreFreshness
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.peering import GOSSIP_INTERVAL_S, Peering
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.gossip import HostAddress


class GossipWorld:
    """Hosts of a fleet; `cut` holds the data centres that hear no other one.

    No host hears any other one while `is_split` is set. `groups` has the number of the
    group of each host, by name; hosts of different groups don't hear each other.
    """

    def __init__(self, *, hosts, data_centres, seeds=3, find_offset=lambda number: 0):
        self.now = 100.0
        # How far the clock of a host is ahead.
        self._find_offset = find_offset
        self.is_split = False
        self.cut = set()
        self.groups = {}
        self.stopped = set()
        self.sent_bytes = {}
        self.hosts = {}
        self._names = {}
        self._queue = []
        self._supervisor = Supervisor(clock=lambda: self.now)
        seed_ips = [f"{make_ip(number)}:1" for number in range(seeds)]
        for number in range(hosts):
            self.add_host(number, f"dc{number % data_centres}", seed_ips)

    def add_host(self, number, data_centre, seeds, first_sequence=1):
        ip, name = make_ip(number), f"h{number}"

        def clock():
            return self.now + self._find_offset(number)

        peer_table = PeerTable(name=name, data_centre=data_centre)
        host = SimpleNamespace(
            name=name,
            data_centre=data_centre,
            ip=ip,
            peer_table=peer_table,
            loads=LoadTable(),
            contexts=ContextMap(),
            speeds=ServerSpeeds(),
            blocks=PromptBlocks(),
            limits=ServerLimits(),
            retries=RetryDeadlines(),
            leaving=LeavingServers(),
            evacuations=Evacuations(),
            freshness=StoreFreshness(data_centre=data_centre, kinds=["config"]),
            clock=clock,
        )
        host.gate = LimitGate(
            this_host=HostAddress(name, data_centre, ip),
            first_number=first_sequence,
            clock=clock,
            peer_table=peer_table,
            limits=host.limits,
            send_question=lambda peer, question: host.peering.send_question(
                peer, question
            ),
        )
        host.peering = Peering(
            this_host=HostAddress(name, data_centre, ip),
            port=1,
            seeds=seeds,
            first_sequence=first_sequence,
            clock=clock,
            replica=Replica(),
            peer_table=peer_table,
            loads=host.loads,
            contexts=host.contexts,
            observations=FleetObservations(
                speeds=host.speeds,
                limits=host.limits,
                retries=host.retries,
                leaving=host.leaving,
            ),
            gate=host.gate,
            blocks=host.blocks,
            puller=SimpleNamespace(pull_contexts=lambda ip: None),
            list_ejected=list,
            on_ejections=print,
            metrics=SimpleNamespace(beats_bytes=SimpleNamespace(inc=lambda n: None)),
            supervisor=self._supervisor,
            evacuations=host.evacuations,
            freshness=host.freshness,
        )
        host.peering._socket.close()
        host.peering._socket = SimpleNamespace(
            sendto=lambda data, address: self._send(host, data, address[0])
        )
        self.hosts[name] = host
        self._names[ip] = name
        return host

    def _send(self, sender, data, ip):
        self.sent_bytes[sender.name] = self.sent_bytes.get(sender.name, 0) + len(data)
        self._queue.append((sender, data, ip))
        return len(data)

    def _is_connected(self, sender, receiver):
        groups = self.groups
        if self.is_split or groups.get(sender.name) != groups.get(receiver.name):
            return False
        same = sender.data_centre == receiver.data_centre
        return same or not {sender.data_centre, receiver.data_centre} & self.cut

    def run(self, seconds):
        for _ in range(round(seconds / GOSSIP_INTERVAL_S)):
            self.now += GOSSIP_INTERVAL_S
            for name, host in self.hosts.items():
                if name not in self.stopped:
                    host.peering.run_round()
            self.deliver()

    def deliver(self):
        """Deliver all messages that have been sent, and the answers to them."""
        while self._queue:
            queue, self._queue = self._queue, []
            for sender, data, ip in queue:
                receiver = self.hosts.get(self._names.get(ip))
                if receiver is None or receiver.name in self.stopped:
                    continue
                if self._is_connected(sender, receiver):
                    receiver.peering.accept_datagram(data, sender.ip)

    def list_live(self):
        return [host for name, host in self.hosts.items() if name not in self.stopped]

    def list_collectors(self, data_centre):
        """Return the different sets of collectors that hosts of a data centre see."""
        return {
            tuple(host.peer_table.list_collectors(data_centre, self.now))
            for host in self.list_live()
            if host.data_centre == data_centre
        }

    def check_joined(self):
        """Check that all hosts count all, and agree on who collects."""
        live = self.list_live()
        for host in live:
            assert host.peer_table.count_live(self.now) == len(live)
        for data_centre in {host.data_centre for host in live}:
            names = [host.name for host in live if host.data_centre == data_centre]
            expected = order_candidates(data_centre, names)[:COLLECTORS]
            assert self.list_collectors(data_centre) == {tuple(expected)}


def make_ip(number):
    return f"10.0.{number // 250}.{number % 250 + 1}"
