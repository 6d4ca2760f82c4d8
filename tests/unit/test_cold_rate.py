"""What 87 hosts send to a cold server in any second, without a network.

The hosts decide with the product's own gates and permissions, each by a clock of its
own. Requests arrive up to `MAX_DELAY_S` after their permissions were asked for.
"""

import random
from bisect import bisect_left
from math import inf

import gevent
import pytest

from rosemarystream._internal.decisions.limit_quotas import MAX_DELAY_S
from rosemarystream._internal.gateway.limit_gate import MAX_ROUND_GAP_S, SUCCESSOR_S
from rosemarystream._internal.gateway.peering import GOSSIP_INTERVAL_S
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.models.route import (
    CallerLimits,
    FleetConfiguration,
    Service,
)
from tests.lib.gossip_world import GossipWorld, make_ip

COLD_PER_S = 16.0
ALLOWED = 1.5 * COLD_PER_S + 5
WARMUP_S = 60.0
LEAST_USED = 0.8
TICK_S = 0.02
SERVER = Endpoint("s", "p", "10.0.0.1:1", "dc0", 6, ServerState.READY, 1, 1)
SERVICE = Service("p", 50, 0, WARMUP_S, COLD_PER_S)
CONFIGURATION = FleetConfiguration(1, {}, {"p": SERVICE}, CallerLimits(), {})


def find_offset(number):
    return number * 1_000.25


def make_cold(host, servers=(SERVER,)):
    cold = host.limits.cold
    cold.update(servers, CONFIGURATION, host.clock())
    for server in servers:
        cold.record_entry(server.number, server.position, WARMUP_S, host.clock())


class ColdFleet:
    """Hosts that all have more requests for a cold server than it takes."""

    def __init__(self, *, hosts=87, data_centres=3, seed=5, settling_s=4.0):
        self.world = GossipWorld(
            hosts=hosts, data_centres=data_centres, find_offset=find_offset
        )
        self.world.run(settling_s)
        self.arrivals = []
        self.draw = random.Random(seed)
        for host in self.world.list_live():
            make_cold(host)

    def run(self, seconds, on_tick=lambda: None):
        """Let the hosts ask at random moments; return the time that passed."""
        for tick in range(round(seconds / TICK_S)):
            if tick % round(GOSSIP_INTERVAL_S / TICK_S) == 0:
                for host in self.world.list_live():
                    host.peering.run_round()
                self.world.deliver()
            self.world.now += TICK_S
            on_tick()
            self._ask()
        return seconds

    def _ask(self):
        asking = [
            (host, gevent.spawn(host.gate.admit, SERVER))
            for host in self.world.list_live()
            if self.draw.random() < 0.4
            and host.limits.is_open(SERVER.number, host.clock())
        ]
        gevent.idle()
        self.world.deliver()
        gevent.joinall([question for _, question in asking])
        for _, question in asking:
            if question.value:
                self.arrivals.append(self.world.now + self.draw.uniform(0, MAX_DELAY_S))

    def count_most(self):
        times = sorted(self.arrivals)
        ends = (bisect_left(times, at + 1.0) for at in times)
        return max((end - start for start, end in enumerate(ends)), default=0)

    def find_first(self, data_centre):
        """Return the host that most hosts of a data centre ask."""
        hosts = [h for h in self.world.list_live() if h.data_centre == data_centre]
        names = [h.peer_table.list_collectors(data_centre, h.clock())[0] for h in hosts]
        return self.world.hosts[max(names, key=names.count)]


@pytest.mark.parametrize("data_centres", [1, 3, 5])
def test_a_cold_server_gets_most_of_its_rate_and_no_more_than_its_bound(data_centres):
    """Equal parts for the hosts would leave most idle; buckets of 0.5 s break it."""
    fleet = ColdFleet(data_centres=data_centres, settling_s=SUCCESSOR_S + 2.0)
    fleet.run(1.0)
    before = len(fleet.arrivals)
    seconds = fleet.run(8.0)
    assert fleet.count_most() <= ALLOWED
    used = (len(fleet.arrivals) - before) / (seconds * COLD_PER_S)
    assert used >= LEAST_USED


def test_the_parts_of_many_data_centres_keep_within_the_bound():
    fleet = ColdFleet(hosts=95, data_centres=19)
    fleet.run(6.0)
    assert 0 < fleet.count_most() <= ALLOWED


def dispute(fleet, data_centre):
    """Let half of a data centre take its second collector for the first."""
    hosts = [h for h in fleet.world.list_live() if h.data_centre == data_centre]
    names = hosts[0].peer_table.list_collectors(data_centre, hosts[0].clock())
    second = fleet.world.hosts[names[1]]
    others = [host for host in hosts if host.name not in names]
    for host in [second, *others[::2]]:
        host.peer_table.list_collectors = lambda *arguments: names[::-1]


def test_the_bound_holds_while_two_data_centres_have_two_grantors_each():
    """Each of two hosts that don't hear each other gives the whole part."""
    fleet = ColdFleet(settling_s=SUCCESSOR_S + 2.0)
    fleet.run(1.0)
    for data_centre in ("dc0", "dc1"):
        dispute(fleet, data_centre)
    fleet.run(8.0)
    assert fleet.count_most() <= ALLOWED


@pytest.mark.long
def test_the_bound_holds_while_grantors_die_at_the_moment_of_a_permission():
    """A successor that begins with a full bucket gives what was just given."""
    fleet = ColdFleet()
    fleet.run(1.0)
    killed = []

    def kill_after_permission():
        ticks_left = 200 * (len(killed) + 1) - round(fleet.world.now / TICK_S) + 5_000
        if ticks_left <= 0 and fleet.arrivals[-1] >= fleet.world.now - TICK_S:
            killed.append(fleet.find_first("dc0"))
            fleet.world.stopped.add(killed[-1].name)

    fleet.run(16.0, kill_after_permission)
    assert len(killed) >= 2
    assert fleet.count_most() <= ALLOWED


def test_the_bound_holds_while_no_host_hears_another():
    """Each host alone takes itself for the first of its data centre."""
    fleet = ColdFleet()
    fleet.run(1.0)
    fleet.world.is_split = True
    fleet.run(8.0)
    assert fleet.count_most() <= ALLOWED
    fleet.world.is_split = False
    fleet.run(4.0)
    assert fleet.count_most() <= ALLOWED


def test_the_bound_holds_while_all_hosts_of_data_centres_start_again():
    """A host that has heard no other yet must give no permissions of its own."""
    fleet = ColdFleet()
    fleet.run(1.0)
    before = {n: h for n, h in fleet.world.hosts.items() if h.data_centre != "dc2"}
    source = fleet.find_first("dc2")
    for name, host in before.items():
        number = int(name[1:])
        seeds = [f"{make_ip(1)}:1", f"{make_ip(2)}:1"]
        started = fleet.world.add_host(number, host.data_centre, seeds, 10**9)
        # It pulls from another host what is cold, and nothing else tells it.
        rows = source.limits.cold.list_rows(source.clock())
        started.limits.cold.accept_rows(rows, started.clock())
        started.limits.cold.update([SERVER], CONFIGURATION, started.clock())
    fleet.run(6.0)
    assert fleet.count_most() <= ALLOWED
    # New first collectors give half of their rate after `SETTLING_S`.
    assert len(fleet.arrivals) >= 2.0 * COLD_PER_S


def test_the_bound_holds_while_grantors_are_paused_and_go_on():
    """One that goes on believes that it is still the first, with a full bucket."""
    fleet = ColdFleet()
    fleet.run(1.0)
    paused = [fleet.find_first(name) for name in ("dc0", "dc1", "dc2")]
    for _ in range(2):
        fleet.world.stopped.update(host.name for host in paused)
        fleet.run(2.5)
        fleet.world.stopped.clear()
        fleet.run(3.0)
    assert fleet.count_most() <= ALLOWED


def test_a_host_that_was_paused_asks_before_it_sends_to_servers_that_were_warm():
    """It has missed that the server became cold, and has many requests waiting."""
    fleet = ColdFleet(hosts=9)
    paused = next(
        h for h in fleet.world.list_live() if h is not fleet.find_first("dc0")
    )
    paused.limits.cold.record_entry(SERVER.number, Position(0, 2), 0.0, paused.clock())
    fleet.world.stopped.add(paused.name)
    fleet.run(3.0)
    fleet.world.stopped.clear()
    fleet.arrivals.clear()
    questions = [gevent.spawn(paused.gate.admit, SERVER) for _ in range(20)]
    gevent.idle()
    fleet.world.deliver()
    gevent.joinall(questions)
    assert sum(question.value for question in questions) <= 1


@pytest.mark.parametrize(("pause_s", "is_permitted"), [(0.0, True), (3.0, False)])
def test_a_lone_host_trusts_its_own_start_and_not_its_own_pause(pause_s, is_permitted):
    """One that refused all requests of a start would be of no use for half a second."""
    world = GossipWorld(hosts=1, data_centres=1)
    host = world.hosts["h0"]
    host.limits.cold.update([SERVER], CONFIGURATION, host.clock())
    world.run(0.2)
    world.now += pause_s
    assert host.gate.admit(SERVER) == is_permitted


def test_a_request_waits_no_longer_than_its_server_is_known_to_be_warm():
    """A host may be paused after it has chosen a server that needs no permission."""
    world = GossipWorld(hosts=1, data_centres=1)
    host = world.hosts["h0"]
    assert host.gate.find_send_deadline(SERVER, host.clock()) == inf
    host.limits.cold.update([SERVER], CONFIGURATION, host.clock())
    # Right after a start another host gives the permission, as the server may be cold.
    assert measure_send_time(host) == pytest.approx(MAX_DELAY_S)
    world.run(1.0)
    assert measure_send_time(host) == pytest.approx(MAX_ROUND_GAP_S)
    # One that states a limit needs a permission of a host that may know it to be cold.
    host.limits.record(SERVER.number, 5.0, host.clock())
    assert measure_send_time(host) == pytest.approx(MAX_DELAY_S)
    host.limits.record(SERVER.number, None, host.clock())
    make_cold(host)
    assert measure_send_time(host) == pytest.approx(MAX_DELAY_S)


def measure_send_time(host):
    """Return the time in seconds in which a request to the server has to be sent."""
    return host.gate.find_send_deadline(SERVER, host.clock()) - host.clock()


def test_hosts_are_not_asked_again_for_each_request_that_finds_no_permission():
    fleet = ColdFleet()
    fleet.run(2.0)
    asked = []
    first = fleet.find_first("dc0")
    answer = first.gate.answer
    first.gate.answer = lambda question: asked.append(question) or answer(question)
    fleet.run(3.0)
    # 29 hosts with 20 requests a second each, and 4.4 permissions.
    assert len(asked) <= 29 * 3.0 * 1.5
