"""Cold servers get a few requests a second from all hosts together, and are used."""

import itertools
import time
from bisect import bisect_left

import gevent
import pytest

from rosemarystream._internal.gateway.limit_gate import SUCCESSOR_S
from tests.lib.entry_world import World, make_configuration, wait_until

WARMUP_S = 4.0
COLD_PER_S = 6.0
# Requests that a cold server may get in any one second: the defaults of the settings.
ALLOWED = COLD_PER_S * 1.5 + 5
# Interval at which the entry of a cold server is written again.
REWRITE_S = 0.8
# Time until hosts have learnt of a change of a server's entry.
SPREAD_S = 0.5
# Time until a new host gives all of its data centre's permissions.
SETTLING_S = SUCCESSOR_S + 1.5
# Interval of the requests at each of the hosts, and the time that each takes: two
# servers have several at a time, so that a cold one is worth its while.
PAUSE_S = 0.02
WORK_S = 0.06
# Time in which a request that fits nowhere has to be rejected.
AT_ONCE_S = 0.25


class Fleet:
    """Four hosts in three data centres with the callers of a plain service.

    The fourth one doesn't watch the store.
    """

    def __init__(self):
        self.world = World()
        document = make_configuration(4)
        document["services"][0] |= {"warmup-s": WARMUP_S, "cold-per-s": COLD_PER_S}
        self.world.store.write("config", "main", document)
        self.servers = [
            self.world.add_server(f"s{number}", work_s=WORK_S) for number in range(3)
        ]
        for number, data_centre in enumerate("abca"):
            seeds = ["h0"] if number else []
            self.world.add_host(f"h{number}", data_centre, seeds=seeds)
        for host in self.world.hosts.values():
            wait_until(lambda host=host: len(host.list_hosts()) == 3)
        gevent.sleep(SETTLING_S)
        self.replies = []
        self._numbers = itertools.count()
        self._tasks = [
            gevent.spawn(self._call_forever, host) for host in self.world.hosts.values()
        ]

    def _call_forever(self, host):
        while True:
            self._tasks.append(gevent.spawn(self._call, host))
            gevent.sleep(PAUSE_S)

    def _call(self, host):
        began_at = time.monotonic()
        reply = host.call(f"/look/{next(self._numbers)}")
        self.replies.append((reply, time.monotonic() - began_at))

    def write_entries(self, server, seconds):
        """Write the entry of a server again and again, as while it is cold."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self.world.store.write("servers", server.name, server.describe())
            gevent.sleep(REWRITE_S)

    def stop(self):
        gevent.killall(self._tasks)
        self.world.stop()


@pytest.fixture(scope="module")
def fleet():
    created = Fleet()
    yield created
    created.stop()


def list_arrivals(server, since, until):
    return [at for at in sorted(server.arrived_at) if since <= at < until]


def count_most(times):
    """Return the most requests of any one second."""
    ends = (bisect_left(times, at + 1.0) for at in times)
    return max((end - start for start, end in enumerate(ends)), default=0)


def restart_before_entry(fleet, pause):
    """Crash and start a server; return the requests that it gets while it is cold."""
    server = fleet.servers[0]
    server.crash()
    pause(0.7)
    started_at = time.monotonic()
    server.born += 1_000
    server.cold_until = started_at + WARMUP_S
    server.start()
    gevent.sleep(1.2)
    fleet.write_entries(server, WARMUP_S - 1.2)
    return list_arrivals(server, started_at, started_at + WARMUP_S)


def test_a_server_that_comes_back_before_its_entry_gets_no_more_than_its_bound(fleet):
    """Hosts that learn of the start from the entry alone send at the usual rate."""
    gevent.sleep(0.5)
    arrivals = restart_before_entry(fleet, gevent.sleep)
    assert count_most(arrivals) <= ALLOWED
    # The other two have work waiting, so the cold one is still used.
    assert len(arrivals) >= 0.5 * COLD_PER_S * (WARMUP_S - 1.0)


def test_a_server_that_is_down_while_all_hosts_are_held_up_gets_no_more(fleet):
    """No host sees it refuse a connection, and each takes it for cold all the same."""
    gevent.sleep(2.0)
    assert count_most(restart_before_entry(fleet, time.sleep)) <= ALLOWED


def test_servers_that_are_all_cold_are_used_at_their_rate_and_no_more(fleet):
    """Without a warm server, what isn't permitted is rejected at once."""
    for server in fleet.servers:
        server.cold_until = time.monotonic() + WARMUP_S
    writers = [
        gevent.spawn(fleet.write_entries, server, WARMUP_S) for server in fleet.servers
    ]
    gevent.sleep(SPREAD_S)
    since = time.monotonic()
    fleet.replies.clear()
    gevent.sleep(WARMUP_S - SPREAD_S - 0.2)
    until = time.monotonic()
    for server in fleet.servers:
        arrivals = list_arrivals(server, since, until)
        assert count_most(arrivals) <= ALLOWED
        assert len(arrivals) >= 0.5 * COLD_PER_S * (until - since)
    rejected = [(r, took_s) for r, took_s in fleet.replies if r.status != 200]
    assert {reply.status for reply, _ in rejected} == {429}
    assert all(float(reply.headers[b"retry-after"]) > 0 for reply, _ in rejected)
    durations = sorted(took_s for _, took_s in rejected)
    assert durations[len(durations) * 9 // 10] <= AT_ONCE_S
    gevent.joinall(writers)
    # Warm again, each of them takes more than while it was cold.
    gevent.sleep(2 * SPREAD_S)
    since = time.monotonic()
    gevent.sleep(1.0)
    warm = [len(list_arrivals(s, since, since + 1.0)) for s in fleet.servers]
    assert sum(warm) > 3 * ALLOWED
