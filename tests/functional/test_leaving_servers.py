"""Servers that state in their answers that they leave."""

import gevent
import pytest

from rosemarystream._internal.gateway import server_statements
from rosemarystream._internal.models.log_entries.servers import ServerLeaving
from standins.backend_server import Fault
from tests.lib.entry_world import World, wait_until

SERVERS = 3
CALLS = 12
SERVICES = {"look": "plain", "book": "plain", "chat": "engines", "brief": "engines"}
PROMPT = [("X-Rosemarystream-Prompt-Prefix", "root:800,own:50")]


class Fleet:
    """Hosts and the servers of one service."""

    def __init__(self, route, hosts=1):
        self.world = World()
        self.route = route
        service = SERVICES[route]
        self.servers = [self.world.add_server(f"s{n}", service) for n in range(SERVERS)]
        self.hosts = []
        for number in range(hosts):
            self.add_host(f"h{number}", seeds=["h0"] if number else [])

    def add_host(self, name, *, seeds):
        host = self.world.add_host(name, seeds=seeds)
        wait_until(lambda: len(host.list_servers()) == SERVERS)
        self.hosts.append(host)
        return host

    def call(self, host=0):
        return self.hosts[host].call(f"/{self.route}/1", headers=PROMPT)

    def call_at_once(self, count=CALLS, host=0):
        calls = [gevent.spawn(self.call, host) for _ in range(count)]
        gevent.joinall(calls, timeout=5)
        return [call.value for call in calls]

    def learn_that_one_leaves(self):
        """Let a server state that it leaves until the first host has its answer."""
        server = self.servers[0]
        server.is_leaving = True
        wait_until(lambda: self.call_at_once() and server.arrivals > 0)
        return server


@pytest.fixture(params=SERVICES)
def fleet(request):
    created = Fleet(request.param)
    yield created
    created.world.stop()


@pytest.fixture
def make_fleet():
    created = []

    def make(*arguments, **changes):
        created.append(Fleet(*arguments, **changes))
        return created[-1]

    yield make
    for fleet in created:
        fleet.world.stop()


def assert_gets_nothing(fleet, server, host=0):
    before = server.arrivals
    replies = fleet.call_at_once(host=host)
    assert {reply.status for reply in replies} == {200}
    assert all(reply.complete for reply in replies)
    assert server.arrivals == before


def test_a_server_that_states_that_it_leaves_gets_no_more_requests(fleet):
    server = fleet.learn_that_one_leaves()
    assert_gets_nothing(fleet, server)


def test_a_server_that_states_only_once_that_it_leaves_gets_no_more_requests(fleet):
    server = fleet.learn_that_one_leaves()
    server.is_leaving = False
    assert_gets_nothing(fleet, server)


@pytest.mark.parametrize("fault", [Fault.TURN_AWAY, Fault.FAIL, Fault.CUT])
def test_a_refusal_or_failure_tells_that_the_server_leaves(make_fleet, fault):
    fleet = make_fleet("look")
    server = fleet.servers[0]
    server.is_leaving = True
    server.faults = [fault] * 100
    wait_until(lambda: fleet.call() and server.arrivals > 0)
    server.faults = []
    assert fleet.hosts[0].read_state()["servers"][server.name]["leaving"]
    assert_gets_nothing(fleet, server)


def test_what_runs_at_a_server_that_leaves_ends_there(make_fleet):
    fleet = make_fleet("chat")
    server = fleet.servers[0]
    server.is_leaving = True
    server.work_s = 0.1
    replies = fleet.call_at_once(20)
    assert server.arrivals > 0
    assert all(reply.status == 200 and reply.complete for reply in replies)
    assert not any(run.cancelled for run in server.runs)


def test_a_broken_stream_is_not_resumed_at_a_server_that_leaves(make_fleet):
    fleet = make_fleet("chat")
    leaving = fleet.learn_that_one_leaves()
    for server in fleet.servers[1:]:
        server.faults = [Fault.CUT] * 3
    before = leaving.arrivals
    fleet.call_at_once(3)
    assert leaving.arrivals == before


def test_a_statement_in_an_answer_to_another_request_is_not_believed(make_fleet):
    fleet = make_fleet("look")
    server = fleet.servers[0]
    for fault in (Fault.LATE, Fault.LATE_REFUSAL, Fault.REPEATED_REFUSAL):
        server.faults += [fault] * 3
    server.states_leaving_in_earlier_answers = True
    wait_until(lambda: fleet.call_at_once() and not server.faults, 8.0)
    before = server.arrivals
    wait_until(lambda: fleet.call_at_once() and server.arrivals > before, 8.0)


def test_requests_are_rejected_at_once_if_all_servers_leave(make_fleet):
    fleet = make_fleet("look")
    for server in fleet.servers:
        server.is_leaving = True
    wait_until(lambda: fleet.call().status == 503)
    before = [server.arrivals for server in fleet.servers]
    assert {reply.status for reply in fleet.call_at_once()} == {503}
    assert [server.arrivals for server in fleet.servers] == before


def test_a_new_server_at_the_address_of_one_that_left_gets_requests(make_fleet):
    fleet = make_fleet("look")
    server = fleet.learn_that_one_leaves()
    server.is_leaving = False
    server.born += 1
    fleet.world.store.write("servers", server.name, server.describe(seq=2))
    before = server.arrivals
    wait_until(lambda: fleet.call_at_once() and server.arrivals > before)


def test_a_server_that_crashes_and_returns_gets_requests_as_a_new_one(make_fleet):
    fleet = make_fleet("look")
    server = fleet.learn_that_one_leaves()
    server.crash()
    server.is_leaving = False
    server.born += 1
    server.start()
    # Until the store names the new process, it is taken for the one that left.
    assert_gets_nothing(fleet, server)
    fleet.world.store.write("servers", server.name, server.describe(seq=2))
    before = server.arrivals
    wait_until(lambda: fleet.call_at_once() and server.arrivals > before)


def test_answers_of_what_still_runs_do_not_take_a_statement_back(make_fleet):
    fleet = make_fleet("look")
    server = fleet.servers[0]
    server.work_s = 0.5
    running = [gevent.spawn(fleet.call) for _ in range(CALLS)]
    wait_until(lambda: server.runs)
    server.is_leaving, server.work_s = True, 0.005
    wait_until(lambda: fleet.call_at_once() and is_known(fleet.hosts[0], server))
    server.is_leaving = False
    gevent.joinall(running, timeout=3)
    assert {call.value.status for call in running} == {200}
    assert_gets_nothing(fleet, server)


def test_an_entry_that_returns_unchanged_is_not_taken_for_a_new_server(make_fleet):
    fleet = make_fleet("look")
    server = fleet.learn_that_one_leaves()
    fleet.world.store.remove("servers", server.name)
    wait_until(lambda: server.name not in fleet.hosts[0].list_servers())
    fleet.world.store.write("servers", server.name, server.describe(seq=2))
    wait_until(lambda: server.name in fleet.hosts[0].list_servers())
    assert_gets_nothing(fleet, server)


def is_known(host, server):
    return host.read_state()["servers"][server.name]["leaving"]


def test_a_host_that_never_asked_the_server_knows_that_it_leaves(make_fleet):
    fleet = make_fleet("look", hosts=2)
    wait_until(lambda: len(fleet.hosts[1].list_hosts()) == 1)
    server = fleet.learn_that_one_leaves()
    server.is_leaving = False
    wait_until(lambda: is_known(fleet.hosts[1], server), 1.0)
    assert_gets_nothing(fleet, server, host=1)


def test_a_restarted_host_knows_from_others_that_a_server_leaves(make_fleet):
    fleet = make_fleet("look", hosts=2)
    server = fleet.learn_that_one_leaves()
    server.is_leaving = False
    wait_until(lambda: is_known(fleet.hosts[1], server), 1.0)
    gevent.sleep(2.0)
    host = fleet.add_host("h2", seeds=["h1"])
    wait_until(lambda: is_known(host, server), 1.0)
    assert_gets_nothing(fleet, server, host=2)


def test_a_lost_store_does_not_end_what_a_server_has_stated(make_fleet):
    fleet = make_fleet("look", hosts=2)
    server = fleet.learn_that_one_leaves()
    server.is_leaving = False
    fleet.world.store.stop()
    wait_until(lambda: is_known(fleet.hosts[1], server), 1.0)
    gevent.sleep(2.5)
    for host in range(2):
        assert_gets_nothing(fleet, server, host=host)


def test_the_log_names_servers_that_leave_once_with_who_told_it(
    make_fleet, monkeypatch
):
    entries = []
    monkeypatch.setattr(
        server_statements, "write_log_entry", lambda log, entry: entries.append(entry)
    )
    fleet = make_fleet("look", hosts=2)
    server = fleet.learn_that_one_leaves()
    wait_until(lambda: len(entries) == 2)
    gevent.sleep(1.0)
    fleet.call_at_once()
    assert entries == [
        ServerLeaving(server=server.name, reported_by_host=False),
        ServerLeaving(server=server.name, reported_by_host=True),
    ]


def test_the_metrics_count_servers_that_leave(make_fleet):
    fleet = make_fleet("look")
    fleet.learn_that_one_leaves()
    gauges = fleet.hosts[0].read_state()["figures"]["services"]["plain"]
    assert (gauges["ready"], gauges["leaving"]) == (SERVERS - 1, 1)
