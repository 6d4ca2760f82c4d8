"""Placement at servers whose speed doubles and halves many times a minute."""

import random

from rosemarystream._internal.decisions.placement import (
    ContextLoad,
    estimate_cost_ms,
    place_by_context,
    place_by_load,
)
from rosemarystream._internal.decisions.server_speeds import (
    OBSERVATION_TTL_S,
    USUAL_SPEED,
    ServerSpeeds,
)
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.platform.headers import decode_answer

# Time for which a server keeps its speed on average, in seconds.
MEAN_SPELL_S = 0.5
SLOW = 2.5
SERVERS = range(6)


def make_endpoint(number):
    return Endpoint(f"s{number}", "s", "10.0.0.1:1", "a", 6, ServerState.READY, 1, 1)


def test_a_slow_server_counts_as_usual_again_after_a_while():
    speeds = ServerSpeeds()
    speeds.record(1, SLOW, 10.0)
    assert speeds.estimate(1, 10.0) == SLOW
    assert 1.0 < speeds.estimate(1, 10.3) < SLOW
    assert speeds.estimate(1, 10.1 + OBSERVATION_TTL_S) == 1.0


def test_the_newest_observation_counts():
    speeds = ServerSpeeds()
    speeds.record(1, SLOW, 10.0)
    speeds.record(1, 1.0, 10.05)
    speeds.accept_reports({1: (SLOW, 80)}, 10.1, nearby=True)
    assert speeds.estimate(1, 10.1) == 1.0


def test_hosts_pass_on_only_what_was_seen_in_their_scope():
    speeds = ServerSpeeds()
    speeds.record(1, SLOW, 10.0)
    speeds.accept_reports({2: (SLOW, 0)}, 10.0, nearby=True)
    speeds.accept_reports({3: (SLOW, 0)}, 10.0, nearby=False)
    assert speeds.list_own(10.0) == {1: (SLOW, 0)}
    assert [*speeds.list_nearby(10.0)] == [1, 2]
    assert [*speeds.list_all(10.0)] == [1, 2, 3]


# A change of the base class had switched off what this class decides: messages had
# the speeds of all servers in use, for a second each.
def test_only_servers_that_are_not_as_usual_are_passed_on_and_not_for_long():
    speeds = ServerSpeeds()
    speeds.record(1, SLOW, 10.0)
    speeds.record(2, USUAL_SPEED, 10.0)
    speeds.accept_reports({3: (USUAL_SPEED, 0), 4: (SLOW, 0)}, 10.0, nearby=True)
    assert [*speeds.list_own(10.0)] == [1]
    assert [*speeds.list_nearby(10.0)] == [1, 4]
    assert speeds.list_all(10.0 + OBSERVATION_TTL_S) == {}


def test_a_departed_server_is_forgotten():
    speeds = ServerSpeeds()
    speeds.record(1, SLOW, 10.0)
    speeds.forget_server(1)
    assert speeds.estimate(1, 10.0) == 1.0


def test_the_header_tells_the_speed_only_with_a_fourth_figure():
    def decode(value):
        return decode_answer(200, [(b"x-rosemarystream-server-load", value)]).slowness

    assert decode(b"3,0,8,250") == SLOW
    assert [decode(v) for v in (b"3,0,8", b"", b"3,0,8,x", b"3,0,8,0")] == [None] * 4


def test_a_returning_prompt_stays_at_its_holder_while_that_is_slow_for_a_moment():
    holder = ContextLoad(2, 0, 0, 0.0, slowness=SLOW)
    others = {f"s{n}": ContextLoad(2, 0, 8_620, 0.0) for n in range(1, 5)}
    chosen = place_by_context(
        "m/p", {"s0": holder, **others}, objective_ms=500, bound=9
    )
    assert chosen == "s0"


def test_a_new_prompt_goes_to_a_server_at_its_usual_speed():
    usual = ContextLoad(2, 0, 8_620, 0.0)
    slow = usual._replace(slowness=SLOW)
    assert estimate_cost_ms(slow, 500) > estimate_cost_ms(usual, 500)
    for number in range(20):
        loads = {f"s{n}": slow if n % 2 else usual for n in range(6)}
        chosen = place_by_context(f"m/{number}", loads, objective_ms=500, bound=9)
        assert loads[chosen] == usual


def test_plain_requests_meet_slow_servers_less_often():
    """Replay speeds that change at random; each answer tells the speed."""
    draw = random.Random(17)
    endpoints = [make_endpoint(number) for number in SERVERS]
    speeds = ServerSpeeds()
    slow_until = dict.fromkeys(SERVERS, 0.0)
    met = {"told": 0, "unaware": 0}
    now = 0.0
    for _ in range(20_000):
        now += draw.expovariate(40.0)
        for number in SERVERS:
            if now > slow_until[number] and draw.random() < 0.005:
                slow_until[number] = now + draw.expovariate(1 / MEAN_SPELL_S)
        for way in met:
            slowness = {e.name: speeds.estimate(e.number, now) for e in endpoints}
            endpoint = place_by_load(
                endpoints,
                loads={},
                failure_rates={},
                slowness=slowness if way == "told" else {},
                data_centre="a",
                salt=str(draw.random()),
            )
            number = endpoints.index(endpoint)
            is_slow = now < slow_until[number]
            met[way] += is_slow
            if way == "told":
                speeds.record(endpoint.number, SLOW if is_slow else 1.0, now)
    assert met["told"] < 0.6 * met["unaware"]
