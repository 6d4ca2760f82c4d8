"""Servers that limit the requests that they take from all hosts together."""

import itertools
import time
from bisect import bisect_left
from typing import NamedTuple

import gevent
import pytest

from standins.backend_server import Fault
from tests.lib.entry_world import Reply, World, wait_until

DATA_CENTRES = "abc"
HOSTS = 6
SERVERS = 3
LIMIT_PER_S = 2.0
# A server may get this many times its limit and some requests in any such time, from
# the moment at which the hosts have had the time to hear of it.
WINDOW_S = 4.0
ALLOWED_MULTIPLE = 1.5
ALLOWED_MORE = 5
CONTACT_S = 3.0
# Interval of the requests of a service at each host, so that three servers get 10 a
# second each.
PAUSE_S = HOSTS / (10.0 * SERVERS)
# Time in which a request that fits nowhere has to be rejected.
AT_ONCE_S = 0.25
SERVICES = {"look": "plain", "chat": "engines"}


class Answer(NamedTuple):
    """An answer, and how long it took."""

    reply: Reply
    duration_s: float

    @property
    def is_served(self):
        return self.reply.status == 200 and self.reply.complete


class Fleet:
    """Hosts in three data centres, and callers of one route at each of them."""

    def __init__(self, route):
        self.world = World()
        self.route = route
        self.answers = []
        self._numbers = itertools.count()
        self._requests = []
        service = SERVICES[route]
        self.servers = [self.world.add_server(f"s{n}", service) for n in range(SERVERS)]
        for number in range(HOSTS):
            self.add_host(f"h{number}", number, seeds=["h0"] if number else [])
        for host in self.world.hosts.values():
            wait_until(lambda host=host: len(host.list_hosts()) >= 3)
        self._caller = gevent.spawn(self._call_forever)

    def add_host(self, name, number, seeds):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        host = self.world.add_host(name, data_centre, seeds=seeds)
        wait_until(lambda: len(host.list_servers()) == SERVERS)

    def _call_forever(self):
        while True:
            for host in [*self.world.hosts.values()]:
                self._requests.append(gevent.spawn(self._call, host))
                gevent.sleep(PAUSE_S / HOSTS)

    def _call(self, host):
        number = next(self._numbers)
        prompt = f"root{number % 5}:800,own{number}:50"
        began_at = time.monotonic()
        try:
            reply = host.call(
                f"/{self.route}/1",
                headers=[("X-Rosemarystream-Prompt-Prefix", prompt)],
            )
        except OSError:
            return  # A host that is being replaced.
        self.answers.append(Answer(reply, time.monotonic() - began_at))

    def limit(self, servers):
        """Limit servers; return when the hosts have had the time to hear of it."""
        for server in servers:
            server.limit_per_s = LIMIT_PER_S
        gevent.sleep(CONTACT_S)
        return time.monotonic()

    def watch(self, seconds):
        """Let the callers go on; return the answers of that time."""
        self.answers.clear()
        gevent.sleep(seconds)
        return [*self.answers]

    def stop(self):
        self._caller.kill()
        gevent.joinall(self._requests, timeout=3)
        self.world.stop()


def count_most(server, since):
    """Return the most requests that reached a server within a window."""
    times = sorted(at for at in server.arrived_at if at >= since)
    ends = (bisect_left(times, at + WINDOW_S) for at in times)
    return max((end - start for start, end in enumerate(ends)), default=0)


def assert_within_limit(server, since):
    allowed = ALLOWED_MULTIPLE * WINDOW_S * LIMIT_PER_S + ALLOWED_MORE
    assert count_most(server, since) <= allowed


@pytest.fixture(params=["look", "chat"])
def fleet(request):
    created = Fleet(request.param)
    yield created
    created.stop()


def test_a_server_gets_no_more_requests_of_all_hosts_than_its_limit(fleet):
    limited = fleet.servers[0]
    since = fleet.limit([limited])
    answers = fleet.watch(WINDOW_S + 1.0)
    assert_within_limit(limited, since)
    # What doesn't fit goes elsewhere, and the server still gets what it takes.
    assert all(answer.is_served for answer in answers)
    assert count_most(limited, since) >= 0.5 * WINDOW_S * LIMIT_PER_S


def test_requests_beyond_the_limits_of_all_servers_are_rejected_at_once(fleet):
    since = fleet.limit(fleet.servers)
    answers = fleet.watch(WINDOW_S + 1.0)
    for server in fleet.servers:
        assert_within_limit(server, since)
        assert count_most(server, since) >= 0.5 * WINDOW_S * LIMIT_PER_S
    rejected = [answer for answer in answers if not answer.is_served]
    assert rejected
    assert {answer.reply.status for answer in rejected} <= {429, 503}
    assert all(float(a.reply.headers[b"retry-after"]) > 0 for a in rejected)
    durations = sorted(answer.duration_s for answer in rejected)
    assert durations[len(durations) * 9 // 10] <= AT_ONCE_S


def test_repeats_of_failed_requests_count_towards_the_limit_of_a_server():
    fleet = Fleet("look")
    limited = fleet.servers[0]
    since = fleet.limit([limited])
    for server in fleet.servers[1:]:
        server.faults = [Fault.FAIL, Fault.NONE] * 500
    fleet.watch(WINDOW_S + 1.0)
    fleet.stop()
    assert_within_limit(limited, since)


def test_a_limit_holds_while_hosts_are_replaced_one_after_the_other():
    fleet = Fleet("look")
    limited = fleet.servers[0]
    since = fleet.limit([limited])
    for number in range(HOSTS):
        gone = fleet.world.hosts.pop(f"h{number}")
        gone.gateway.stop()
        gevent.sleep(0.4)
        fleet.add_host(f"n{number}", number, seeds=[*fleet.world.hosts][-2:])
        gevent.sleep(0.6)
    fleet.stop()
    assert_within_limit(limited, since)


def test_a_server_that_ends_its_limit_gets_its_share_again(fleet):
    limited = fleet.servers[0]
    fleet.limit([limited])
    limited.limit_per_s = None
    gevent.sleep(CONTACT_S)
    since = time.monotonic()
    fleet.watch(2.0)
    assert len([at for at in limited.arrived_at if at >= since]) > 4 * LIMIT_PER_S


@pytest.fixture
def limited_server():
    """The only server of a host, which knows its limit and has permissions."""
    world = World()
    server = world.add_server("p1")
    server.limit_per_s = 50.0
    host = world.add_host("h1")
    wait_until(lambda: host.list_servers() == ["p1"])
    # The first question for a permission finds none, as permissions start to add up.
    wait_until(lambda: host.call("/look/1").status == 429)
    wait_until(lambda: host.call("/look/1").status == 200)
    gevent.sleep(0.1)
    yield server, host
    world.stop()


def test_a_refusal_of_a_server_is_not_taken_for_its_limit(limited_server):
    server, host = limited_server
    server.faults = [Fault.TURN_AWAY] * 3
    reply = host.call("/look/1")
    assert reply.status == 503
    assert b"limit" not in reply.body


@pytest.mark.parametrize("fault", [Fault.TURN_AWAY, Fault.FAIL])
def test_a_refusal_or_failure_that_leaves_the_limit_out_does_not_end_it(
    limited_server, fault
):
    server, host = limited_server
    server.faults_without_limit = {fault}
    server.faults = [fault]
    assert host.call("/book/1").status in (500, 503)
    assert host.read_state()["servers"]["p1"]["limit_per_s"] == 50.0
