"""What a host knows of cold servers, from which source, and what follows from it."""

import time
from math import inf
from types import SimpleNamespace

import pytest

from rosemarystream._internal.decisions.cold_servers import (
    AWAY_S,
    RESTART_S,
    SAME_END_S,
    ColdServers,
    ColdSource,
)
from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.host_delays import TICK_S, HostDelays
from rosemarystream._internal.decisions.limit_quotas import (
    MAX_SHARING,
    ColdBound,
    compute_cold_rate,
)
from rosemarystream._internal.decisions.placement import (
    ContextLoad,
    charge_cold,
    place_by_context,
)
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.server_availability import (
    ServerAvailability,
)
from rosemarystream._internal.decisions.server_limits import ServerLimits
from rosemarystream._internal.decisions.store_era import StoreEra
from rosemarystream._internal.gateway.attempt import Attempt
from rosemarystream._internal.gateway.attempt_errors import NotRunError
from rosemarystream._internal.gateway.state_answers import (
    StateAnswers,
    read_cold_rows,
)
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.gossip import PullRequest
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.models.route import (
    CallerLimits,
    FleetConfiguration,
    Service,
)
from rosemarystream._internal.platform.documents import (
    decode_configuration,
    decode_server_entry,
)
from tests.lib.gossip_world import GossipWorld

WARMUP_S = 8.0
SERVER = Endpoint("s", "p", "10.0.0.1:1", "dc0", 6, ServerState.READY, 1, 1)
NUMBER = SERVER.number


def at(revision):
    return Position(0, revision)


def make_configuration(warmup_s=WARMUP_S, cold_per_s=16.0):
    services = {"p": Service("p", 50, 0, warmup_s, cold_per_s)}
    return FleetConfiguration(1, {}, services, CallerLimits(), {})


def make_cold_servers(configuration=None, now=0.0, delays=None):
    cold = ColdServers(delays=delays)
    cold.update([SERVER], configuration or make_configuration(), now)
    return cold


def test_the_entry_and_the_service_say_when_a_server_is_cold():
    text = b'{"service":"p","address":"10.0.0.1:1","zone":"dc0","state":"ready",'
    text += b'"slots":6,"seq":1,"version":"v1","warmup-left-ms":%s}'
    left = {
        value: decode_server_entry("s", text % value, at(1)).cold_left_s
        for value in (b"2500", b"0", b"-4", b"null", b'"x"', b"1e99")
    }
    assert left == dict.fromkeys(left, 0.0) | {b"2500": 2.5}
    document = b'{"version":1,"services":[{"name":"p","warmup-s":8,"cold-per-s":16}]}'
    service = decode_configuration(document).services["p"]
    assert (service.warmup_s, service.cold_per_s) == (8.0, 16.0)


def test_what_was_learnt_right_before_a_delay_is_passed_on_after_it():
    delays = HostDelays()
    delays.record_tick(9.9)
    cold = make_cold_servers(delays=delays)
    cold.record_failure(NUMBER, 9.95, is_refused=True)
    assert cold.list_reports(11.2)
    delays.record_tick(11.2)
    assert cold.list_reports(12.0)
    for tick in range(113, 124):
        delays.record_tick(tick / 10)
    assert not cold.list_reports(12.3)


@pytest.mark.parametrize("delay_s", [0.1, 0.5])
@pytest.mark.parametrize("answers", [False, True])
def test_a_server_that_closed_a_connection_while_a_host_was_late_is_cold_for_it(
    delay_s, answers
):
    delays = HostDelays()
    cold = make_cold_servers(delays=delays)
    delays.record_tick(10.0)
    cold.record_closed(NUMBER, 10.0)
    if answers:
        cold.record_reachable(NUMBER, 10.05)
    assert not cold.is_cold(NUMBER, 10.1)
    resumed_at = 10.0 + TICK_S + delay_s
    is_cold = delay_s > RESTART_S and not answers
    assert cold.is_cold(NUMBER, resumed_at) == is_cold
    assert cold.find_until(NUMBER) == (resumed_at + WARMUP_S if is_cold else -inf)
    # No other host is told: this one may have been cut off.
    assert not cold.list_reports(resumed_at)


def test_an_entry_that_is_read_again_does_not_make_a_server_cold_for_longer():
    cold = make_cold_servers()
    cold.record_entry(NUMBER, at(5), 4.0, 10.0)
    cold.record_entry(NUMBER, at(5), 4.0, 12.0)
    assert cold.find_until(NUMBER) == 14.0
    cold.record_entry(NUMBER, at(4), 9.0, 12.0)
    assert cold.find_until(NUMBER) == 14.0
    cold.record_entry(NUMBER, at(6), 0.0, 12.5)
    assert not cold.is_cold(NUMBER, 12.5)


def test_a_server_that_starts_again_is_cold_whatever_its_entry_says():
    """The entry of the new process may have been written before the crash."""
    cold = make_cold_servers()
    assert not cold.is_cold(NUMBER, 0.0)
    cold.record_entry(NUMBER, at(2), 0.0, 1.0)
    cold.update([SERVER._replace(incarnation=7)], make_configuration(), 1.0)
    assert cold.is_cold(NUMBER, 1.0 + WARMUP_S)
    assert not cold.is_cold(NUMBER, 1.0 + WARMUP_S + SAME_END_S)


def test_a_server_that_refuses_connections_is_cold_until_a_warm_up_after_its_return():
    """Its entry arrives late, and hosts that missed its absence must not send more."""
    cold = make_cold_servers()
    cold.record_failure(NUMBER, 10.0, is_refused=True)
    assert cold.is_cold(NUMBER, 10.0)
    cold.record_failure(NUMBER, 13.0, is_refused=True)
    cold.record_reachable(NUMBER, 14.0)
    assert cold.is_cold(NUMBER, 13.9 + WARMUP_S)
    cold.record_reachable(NUMBER, 18.0)
    assert not cold.is_cold(NUMBER, 14.0 + WARMUP_S + SAME_END_S)


def test_a_host_that_could_not_reach_a_server_takes_only_itself_for_concerned():
    """A host that was cut off must not make the fleet leave warm servers idle."""
    cold = make_cold_servers()
    cold.record_failure(NUMBER, 10.0, is_refused=False)
    cold.record_reachable(NUMBER, 10.0 + AWAY_S / 2)
    assert not cold.is_cold(NUMBER, 10.5)
    cold.record_failure(NUMBER, 11.0, is_refused=False)
    cold.record_failure(NUMBER, 12.0, is_refused=False)
    cold.record_reachable(NUMBER, 13.0)
    assert cold.find_until(NUMBER) == 13.0 + WARMUP_S
    assert cold.find_source(NUMBER) is ColdSource.UNREACHABLE
    assert not cold.list_reports(13.0)
    assert not cold.list_rows(13.0)


@pytest.mark.parametrize(("warmup_s", "cold_per_s"), [(0.0, 16.0), (8.0, 0.0)])
def test_no_server_of_a_service_without_cold_servers_is_cold(warmup_s, cold_per_s):
    cold = make_cold_servers(make_configuration(warmup_s, cold_per_s))
    cold.record_entry(NUMBER, at(2), 5.0, 1.0)
    cold.record_failure(NUMBER, 1.0, is_refused=True)
    assert not cold.is_cold(NUMBER, 1.0)


def test_a_service_whose_servers_are_all_down_does_not_count_as_cold():
    """Its requests are led to other hosts, not told to come back in a moment."""
    replica = Replica()
    replica.accept_endpoint(SERVER)
    availability = ServerAvailability(replica=replica)
    availability.limits.cold.update([SERVER], make_configuration(), 10.0)
    availability.limits.cold.record_failure(NUMBER, 10.0, is_refused=True)
    assert availability.measure_limit_wait("p", exclude=(), now=10.0) == 0.0
    availability.health.record_unreachable("s", 10.0)
    assert availability.measure_limit_wait("p", exclude=(), now=10.0) is None


def test_what_one_host_saw_reaches_all_hosts_and_does_not_go_round_for_ever():
    world = GossipWorld(hosts=9, data_centres=3, find_offset=lambda n: 500.0 * n)
    world.run(3.0)
    for host in world.list_live():
        host.limits.cold.update([SERVER], make_configuration(), host.clock())
    seer = world.hosts["h4"]
    seer.limits.cold.record_failure(NUMBER, seer.clock(), is_refused=True)
    seen_at = world.now
    world.run(1.0)
    for host in world.list_live():
        until = host.limits.cold.find_until(NUMBER) - host.clock() + world.now
        assert abs(until - (seen_at + WARMUP_S + SAME_END_S)) <= 0.2
    # The reports stop, and what they said holds to its end.
    world.run(WARMUP_S - 1.5)
    assert not any(h.limits.cold.list_reports(h.clock()) for h in world.list_live())
    assert all(h.limits.cold.is_cold(NUMBER, h.clock()) for h in world.list_live())
    world.run(1.5)
    assert not any(h.limits.cold.list_reports(h.clock()) for h in world.list_live())
    assert not any(h.limits.cold.is_cold(NUMBER, h.clock()) for h in world.list_live())


def test_a_pull_tells_how_much_longer_servers_are_cold():
    """Entries don't say when they were written, and the clocks of hosts differ."""
    cold, replica = make_cold_servers(), Replica()
    replica.accept_listing([SERVER], at(9), 100.0)
    cold.record_entry(NUMBER, at(9), 3.0, 100.0)
    answers = StateAnswers(
        clock=lambda: 101.0,
        replica=replica,
        contexts=ContextMap(),
        blocks=PromptBlocks(),
        cold=cold,
        evacuations=Evacuations(),
    )
    answer = answers.select(PullRequest(None, 0))
    assert answer.cold == [(NUMBER, 9, 2_000, 0)]
    # A host that has listed the servers itself asks only for the cached parts.
    at_start = PullRequest(None, None, wants_contexts=True)
    assert answers.select(at_start).cold == answer.cold
    started = make_cold_servers()
    started.accept_rows(read_cold_rows(answer, StoreEra()), 7.0)
    assert started.find_until(NUMBER) == 9.0
    started.record_failure(NUMBER, 8.0, is_refused=True)
    third = make_cold_servers()
    third.accept_rows(started.list_rows(8.0), 50.0)
    assert third.find_until(NUMBER) == 50.0 + WARMUP_S + SAME_END_S


def test_a_server_without_a_permission_is_not_asked_for_until_its_time():
    limits = ServerLimits()
    limits.cold.update([SERVER], make_configuration(), 0.0)
    limits.cold.record_entry(NUMBER, at(2), 5.0, 0.0)
    limits.close(NUMBER, 0.4)
    assert not limits.is_open(NUMBER, 0.3)
    assert limits.measure_wait([NUMBER], 0.1) == pytest.approx(0.3)
    limits.close(NUMBER, 5.9)
    # Once it is warm, the time of the next permission no longer counts.
    assert limits.is_open(NUMBER, 5.0)


@pytest.mark.parametrize("count", [1, 2, 3, 5, 6, 19])
@pytest.mark.parametrize("per_s", [0.5, 1.0, 4.0, 16.0, 100.0])
def test_the_parts_of_a_cold_server_add_up_to_less_than_its_rate(count, per_s):
    names = [f"dc{number}" for number in range(count)]
    rates = [
        compute_cold_rate(NUMBER, n, names, home="dc0", per_s=per_s, bound=ColdBound())
        for n in names
    ]
    assert 0.8 * per_s <= sum(rates) <= per_s
    assert len([rate for rate in rates if rate]) <= MAX_SHARING
    assert rates[0]


@pytest.mark.parametrize(
    ("held", "tokens", "chosen"),
    [(True, 800, "warm"), (False, 800, "cold"), (False, 9_200, "warm")],
)
def test_a_cold_server_gets_short_prompts_that_no_warm_server_holds(
    held, tokens, chosen
):
    """Its few permissions are lost on prompts that a warm server has cached."""
    idle = ContextLoad(requests=0, prefill=0, uncached_tokens=tokens, failure_rate=0.0)
    warm = idle._replace(requests=2, uncached_tokens=50 if held else tokens)
    loads = charge_cold({"cold": idle, "warm": warm}, ["cold"], 300.0)
    for key in map(str, range(20)):
        name = place_by_context(key, loads, objective_ms=300.0, bound=9)
        assert name == chosen


class SlowPool:
    """A pool whose new connections take a while, by the clock of the test."""

    def __init__(self):
        self.now = 10.0

    def take(self, endpoint, **_):
        return None

    def open(self, endpoint, deadline):
        self.now += 0.2
        return SlowPool()

    def send(self, *arguments):
        raise AssertionError("sent after the permission had lapsed")

    def close(self):
        self.now = inf


def test_a_request_is_not_sent_once_its_permission_has_lapsed():
    """The host may be paused, or the connection take long, after the permission."""
    pool = SlowPool()
    attempt = Attempt(
        call=SimpleNamespace(request_id="r"),
        endpoint=SERVER,
        pool=pool,
        clock=lambda: pool.now,
        on_head=print,
        used_connections=[],
        send_by=10.1,
    )
    with pytest.raises(NotRunError) as error:
        attempt.send(
            b"",
            deadline=time.monotonic(),
            workspace=None,
            level=0,
            last_event_id=b"",
            source=None,
        )
    assert error.value.is_late
    assert not error.value.sent
    assert not attempt.is_sent
