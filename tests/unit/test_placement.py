"""Placement decisions under the load patterns that placement handles."""

from collections import Counter

from rosemarystream._internal.decisions.placement import (
    MIN_COPY_TOKENS,
    ContextLoad,
    assume_cached_at_home,
    choose_copy_source,
    choose_home,
    compute_load_bound,
    place_by_context,
    place_by_load,
)
from rosemarystream._internal.models.endpoint import Endpoint, ServerState

NAMES = [f"engine-{number}" for number in range(5)]
PROMPT_TOKENS = 8_620
IDLE = ContextLoad(
    requests=0, prefill=0, uncached_tokens=PROMPT_TOKENS, failure_rate=0.0
)


def make_endpoints(*names, data_centre="a"):
    return [
        Endpoint(name, "s", "10.0.0.1:1", data_centre, 6, ServerState.READY, 1, 1)
        for name in names
    ]


def place(key, loads, bound, objective_ms=500.0):
    """Place a prompt; its home counts as a holder if `loads` shows no holder."""
    home = choose_home(key, make_endpoints(*NAMES), 10.0)
    known = any(load.uncached_tokens == 0 for load in loads.values())
    loads = loads if known else assume_cached_at_home(loads, home, 0)
    return place_by_context(key, loads, objective_ms=objective_ms, bound=bound)


def test_prompt_counts_as_cached_at_its_assumed_home():
    home = choose_home("m/p1", make_endpoints(*NAMES), 10.0)
    loads = assume_cached_at_home(dict.fromkeys(NAMES, IDLE), home, 0)
    assert loads[home].uncached_tokens == 0
    assert all(loads[name].uncached_tokens for name in NAMES if name != home)


def test_home_does_not_move_to_a_server_that_has_just_joined():
    settled = [e._replace(incarnation=0) for e in make_endpoints(*NAMES)]
    joined = [e._replace(incarnation=30_000) for e in make_endpoints("joined")]
    for number in range(50):
        key = f"m/p{number}"
        home = choose_home(key, settled, 31_000)
        assert choose_home(key, settled + joined, 31_000) == home
    homes = {choose_home(f"m/p{n}", settled + joined, 70_000) for n in range(200)}
    assert "joined" in homes


def test_hosts_agree_on_the_home_of_a_new_prompt():
    loads = dict.fromkeys(NAMES, IDLE)
    homes = {place("m/p1", loads, bound=9) for _ in range(3)}
    assert len(homes) == 1
    spread = {place(f"m/p{n}", loads, bound=9) for n in range(60)}
    assert spread == set(NAMES)


def test_prompt_stays_at_its_holder_when_a_server_joins():
    held = IDLE._replace(uncached_tokens=0, requests=4)
    for number in range(50):
        loads = {**dict.fromkeys(NAMES, IDLE), NAMES[0]: held, "joined": IDLE}
        assert place(f"m/p{number}", loads, bound=9) == NAMES[0]


def test_prompt_leaves_its_home_when_the_wait_exceeds_its_prefill_elsewhere():
    busy = IDLE._replace(uncached_tokens=0, prefill=20 * PROMPT_TOKENS)
    loads = {**dict.fromkeys(NAMES, IDLE), NAMES[0]: busy}
    assert place("m/p1", loads, bound=9) != NAMES[0]


def test_prompt_stays_at_its_home_while_the_objective_allows_the_wait():
    busy = IDLE._replace(uncached_tokens=0, prefill=PROMPT_TOKENS)
    loads = {**dict.fromkeys(NAMES, IDLE), NAMES[0]: busy}
    assert place("m/p1", loads, bound=9, objective_ms=1200.0) == NAMES[0]
    short = {
        name: load._replace(uncached_tokens=min(load.uncached_tokens, 600))
        for name, load in loads.items()
    }
    assert place("m/p1", short, bound=9, objective_ms=250.0) != NAMES[0]


def test_assumed_home_is_kept_although_another_server_holds_the_first_part():
    home = choose_home("m/p1", make_endpoints(*NAMES), 10.0)
    other = next(name for name in NAMES if name != home)
    loads = {**dict.fromkeys(NAMES, IDLE), other: IDLE._replace(uncached_tokens=6_000)}
    assert place("m/p1", loads, bound=9) == home


def test_hot_prompt_keeps_every_server_within_the_load_bound():
    loads = dict.fromkeys(NAMES, IDLE)
    placed = Counter()
    for _ in range(100):
        bound = compute_load_bound([load.requests for load in loads.values()], 2.0)
        name = place("m/hot", loads, bound=bound)
        assert name is not None
        mean = sum(load.requests for load in loads.values()) / len(loads)
        assert loads[name].requests <= 2.0 * mean + 3
        loads[name] = loads[name]._replace(
            requests=loads[name].requests + 1, uncached_tokens=0
        )
        placed[name] += 1
    assert len(placed) > 1


def test_failing_server_loses_its_prompts():
    failing = IDLE._replace(uncached_tokens=0, failure_rate=0.5)
    loads = {**dict.fromkeys(NAMES, IDLE), NAMES[0]: failing}
    assert place("m/p1", loads, bound=9) != NAMES[0]


def test_plain_request_goes_to_the_least_loaded_server():
    endpoints = make_endpoints("s1", "s2", "s3")
    loads = {"s1": 4, "s2": 1, "s3": 2}
    chosen = place_by_load(
        endpoints, loads=loads, slowness={}, failure_rates={}, data_centre="a", salt="r"
    )
    assert chosen.name == "s2"


def test_ties_prefer_the_own_data_centre_and_are_spread():
    endpoints = make_endpoints("s1", "s2") + make_endpoints("far", data_centre="b")
    chosen = Counter(
        place_by_load(
            endpoints,
            loads={},
            slowness={},
            failure_rates={},
            data_centre="a",
            salt=str(n),
        ).name
        for n in range(100)
    )
    assert chosen["far"] == 0
    assert min(chosen["s1"], chosen["s2"]) > 20


def test_copy_source_is_the_server_that_holds_most_of_the_prompt():
    assert choose_copy_source({1: 9_000, 2: 400, 3: 900}, 9_000) == 2


def test_few_tokens_are_prefilled_rather_than_copied():
    assert choose_copy_source({1: 400}, 400 + MIN_COPY_TOKENS - 1) is None
    assert choose_copy_source({}, 9_000) is None
