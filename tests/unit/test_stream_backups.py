"""Decisions on backups of streams that may run only once."""

from collections import Counter

import pytest

from rosemarystream._internal.decisions.stream_backups import (
    BackupTable,
    FirstServer,
    can_be_named,
    choose_backup,
    estimate_break_cost_ms,
    estimate_copy_cost_ms,
    judge_move,
    may_have_backup,
    plan_steps,
)
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.route import Route, RouteKind, Service

ENGINES = Service(
    "engines", 9, 400_000, backups=True, kv_token_bytes=100_000, link_mbps=10_000
)
SLOTS = 6


def make_endpoint(number, data_centre="a"):
    return Endpoint(
        f"e{number}",
        "engines",
        f"10.0.0.{number}:1",
        data_centre,
        SLOTS,
        ServerState.READY,
        1,
        1,
    )


def make_route(kind=RouteKind.STREAM, *, resumable=False):
    return Route(
        "r", "h", "/", kind, 9.0, 1.0, 1.0, 1, 1, (), False, True, resumable=resumable
    )


FIRST = make_endpoint(1)
OTHERS = [make_endpoint(2), make_endpoint(3), make_endpoint(4, "b")]


def choose(key="r1", candidates=OTHERS, requests=(), copies=()):
    return choose_backup(
        key, FIRST, candidates, requests=dict(requests), copies=dict(copies)
    )


def test_only_streams_that_may_run_once_have_backups():
    assert may_have_backup(make_route(), ENGINES)
    assert not may_have_backup(make_route(resumable=True), ENGINES)
    assert not may_have_backup(make_route(RouteKind.AT_MOST_ONCE), ENGINES)
    assert not may_have_backup(make_route(), ENGINES._replace(backups=False))


def test_streams_of_one_server_spread_over_those_of_its_data_centre():
    chosen = Counter(choose(f"r{n}").name for n in range(200))
    assert set(chosen) == {"e2", "e3"}
    assert min(chosen.values()) > 50


def test_a_server_without_room_gets_no_copy():
    full = {"e2": SLOTS, "e3": SLOTS - 1}
    assert choose(requests=full, copies={"e3": 1}).name == "e4"
    assert choose(requests={**full, "e3": SLOTS, "e4": SLOTS}) is None


def test_a_server_is_no_backup_of_itself_under_another_name():
    twin = OTHERS[0]._replace(address=FIRST.address)
    assert choose(candidates=[FIRST, twin]) is None


def test_large_prompts_of_low_priority_are_not_worth_a_copy():
    assert estimate_copy_cost_ms(ENGINES, 1_000) < estimate_break_cost_ms(0)
    assert estimate_copy_cost_ms(ENGINES, 30_000) > estimate_break_cost_ms(3)
    assert estimate_break_cost_ms(0, share_left=0.1) < estimate_break_cost_ms(0)
    assert estimate_copy_cost_ms(Service("plain", 9, 0), 1_000) == 0.0


@pytest.mark.parametrize(
    ("status", "handle", "state"),
    [
        (200, "h", FirstServer.MOVED),
        (200, "", FirstServer.UNKNOWN),
        (503, "h", FirstServer.STOPPED),
        (503, "", FirstServer.UNKNOWN),
        (404, "", FirstServer.ABSENT),
        (409, "h", FirstServer.BUSY),
        (421, "", FirstServer.GONE),
        (500, "h", FirstServer.UNKNOWN),
        (400, "", FirstServer.UNKNOWN),
    ],
)
def test_a_server_counts_as_stopped_only_by_its_word(status, handle, state):
    assert judge_move(status, handle) is state


def test_nothing_continues_while_the_first_server_may_be_at_work():
    def plan(state):
        steps = plan_steps(
            state, first=FIRST, backup=OTHERS[0], request_id="r", handle="h"
        )
        return [(step.endpoint.name, step.holder, step.name) for step in steps]

    from_copy = ("e2", OTHERS[0].address, "r")
    assert plan(FirstServer.UNKNOWN) == plan(FirstServer.BUSY) == []
    assert plan(FirstServer.GONE) == plan(FirstServer.ABSENT) == [from_copy]
    assert plan(FirstServer.MOVED) == [("e2", FIRST.address, "h")]
    assert plan(FirstServer.STOPPED) == [("e1", FIRST.address, "h"), from_copy]


def test_two_requests_with_one_id_are_both_told_apart_by_nothing():
    table = BackupTable()
    table.begin_request("r")
    assert table.is_unique("r")
    table.begin_request("r")
    table.end_request("r")
    assert not table.is_unique("r")
    table.end_request("r")
    assert table.is_unique("r")


@pytest.mark.parametrize("request_id", ["", "a/b", "caf\xe9", "a b", "r" * 257])
def test_an_id_that_a_server_may_read_otherwise_gets_no_copy(request_id):
    assert not can_be_named(request_id)
    assert can_be_named("0f-R_1.x:~")


def test_copies_count_until_they_are_removed():
    table = BackupTable()
    table.add_copy("e2")
    table.add_copy("e2")
    table.remove_copy("e2")
    assert table.copies == {"e2": 1}
    table.remove_copy("e2")
    assert not table.copies
