"""Load patterns that placement answers, replayed."""

from collections import Counter

from rosemarystream._internal.decisions.placement import (
    ContextLoad,
    bound_load,
    place_by_context,
    place_by_load,
)
from rosemarystream._internal.models.endpoint import Endpoint, ServerState

NAMES = [f"engine-{number}" for number in range(5)]
PROMPT_TOKENS = 8_620
IDLE = ContextLoad(requests=0, reading=0, unread=PROMPT_TOKENS, failure_rate=0.0)


def make_endpoints(*names, data_centre="a"):
    return [
        Endpoint(name, "s", "10.0.0.1:1", data_centre, 6, ServerState.READY, 1, 1)
        for name in names
    ]


def test_hosts_agree_on_the_home_of_a_new_prompt():
    loads = dict.fromkeys(NAMES, IDLE)
    homes = {place_by_context("m/p1", loads, bound=9) for _ in range(3)}
    assert len(homes) == 1
    spread = {place_by_context(f"m/p{n}", loads, bound=9) for n in range(60)}
    assert spread == set(NAMES)


def test_a_prompt_stays_where_it_is_held_when_a_server_joins():
    held = IDLE._replace(unread=0, requests=4)
    for number in range(50):
        loads = {**dict.fromkeys(NAMES, IDLE), NAMES[0]: held, "joined": IDLE}
        assert place_by_context(f"m/p{number}", loads, bound=9) == NAMES[0]


def test_a_prompt_leaves_its_home_when_waiting_there_costs_more_than_reading():
    busy = IDLE._replace(unread=0, reading=20 * PROMPT_TOKENS)
    loads = {**dict.fromkeys(NAMES, IDLE), NAMES[0]: busy}
    assert place_by_context("m/p1", loads, bound=9) != NAMES[0]


def test_a_hot_prompt_keeps_every_server_under_the_bound():
    loads = dict.fromkeys(NAMES, IDLE)
    taken = Counter()
    for _ in range(100):
        bound = bound_load([load.requests for load in loads.values()], 2.0)
        name = place_by_context("m/hot", loads, bound=bound)
        assert name is not None
        mean = sum(load.requests for load in loads.values()) / len(loads)
        assert loads[name].requests <= 2.0 * mean + 3
        loads[name] = loads[name]._replace(requests=loads[name].requests + 1, unread=0)
        taken[name] += 1
    assert len(taken) > 1


def test_a_server_that_fails_its_requests_loses_its_prompts():
    failing = IDLE._replace(unread=0, failure_rate=0.5)
    loads = {**dict.fromkeys(NAMES, IDLE), NAMES[0]: failing}
    assert place_by_context("m/p1", loads, bound=9) != NAMES[0]


def test_a_plain_request_goes_where_least_is_waiting():
    endpoints = make_endpoints("s1", "s2", "s3")
    loads = {"s1": 4, "s2": 1, "s3": 2}
    chosen = place_by_load(
        endpoints, loads=loads, failure_rates={}, data_centre="a", salt="r"
    )
    assert chosen.name == "s2"


def test_equals_are_decided_by_distance_then_spread():
    endpoints = make_endpoints("s1", "s2") + make_endpoints("far", data_centre="b")
    chosen = Counter(
        place_by_load(
            endpoints, loads={}, failure_rates={}, data_centre="a", salt=str(n)
        ).name
        for n in range(100)
    )
    assert chosen["far"] == 0
    assert min(chosen["s1"], chosen["s2"]) > 20
