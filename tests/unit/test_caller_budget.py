"""Who makes room when a host holds too much for its callers."""

import pytest

from rosemarystream._internal.decisions.caller_budget import (
    CHOICE_INTERVAL_S,
    CONNECTION_COST,
    MIN_RECEIVE_BYTES,
    STALLED_S,
    BudgetLimits,
    CallerBudget,
    CloseCause,
    HeldKind,
    Phase,
    RefusalCause,
    derive_limits,
)

TOTAL = 10_000_000
LIMITS = BudgetLimits(
    total_bytes=TOTAL,
    body_bytes=6_000_000,
    receive_bytes=2_000_000,
    connections=20,
    requests=10,
    idle_servers=5,
    per_address=0,
)


@pytest.fixture
def budget():
    return CallerBudget(LIMITS)


def open_in(budget, phase, size=0, *, now=0.0, kind=HeldKind.UNREAD):
    account = budget.open("10.0.0.1", now)
    account.enter(phase, now)
    account.hold(kind, size)
    return account


def list_causes(accounts):
    return [account.closed_for for account in accounts]


def test_the_caller_that_holds_most_and_reads_nothing_is_closed_first(budget):
    small = open_in(budget, Phase.WRITING, 2_000_000)
    large = open_in(budget, Phase.WRITING, 3_000_000)
    serving = open_in(budget, Phase.SERVING, 4_000_000, kind=HeldKind.BODIES)
    assert budget.choose_closed(STALLED_S) == [large]
    assert large.closed_for is CloseCause.UNREAD_ANSWER
    assert not budget.is_short
    assert small.is_counted
    assert serving.is_counted


def test_a_caller_that_reads_or_is_served_is_not_closed(budget):
    reading = open_in(budget, Phase.WRITING, 5_000_000)
    open_in(budget, Phase.SERVING, 4_900_000, kind=HeldKind.BODIES)
    open_in(budget, Phase.READING, 1_000_000, kind=HeldKind.BODIES, now=STALLED_S)
    reading.moved_at = STALLED_S
    assert budget.choose_closed(STALLED_S) == []
    assert budget.is_full
    assert not budget.has_request_room
    assert not budget.has_body_room


def test_choices_that_found_nothing_are_not_repeated_at_once(budget):
    open_in(budget, Phase.SERVING, 9_000_000)
    assert budget.choose_closed(0.0) == []
    idle = open_in(budget, Phase.IDLE)
    assert budget.choose_closed(CHOICE_INTERVAL_S / 2) == []
    assert budget.choose_closed(CHOICE_INTERVAL_S) == [idle]


def test_idle_connections_go_last_for_bytes_and_first_for_connections(budget):
    idle = open_in(budget, Phase.IDLE)
    waiting = open_in(budget, Phase.WAITING, 8_000_000, kind=HeldKind.READ_AHEAD)
    assert budget.choose_closed(0.0) == [waiting]
    open_in(budget, Phase.WAITING, 100, kind=HeldKind.READ_AHEAD)
    assert budget.choose_for_connection(0.0) == [idle]


def test_connections_that_never_sent_a_request_go_before_others(budget):
    used = open_in(budget, Phase.IDLE)
    used.requests = 1
    unused = open_in(budget, Phase.IDLE, now=5.0)
    assert budget.choose_for_connection(10.0) == [unused]


def test_what_was_held_no_longer_counts_once_a_connection_is_chosen(budget):
    account = open_in(budget, Phase.WRITING, 8_000_000)
    assert list_causes(budget.choose_closed(STALLED_S)) == [CloseCause.UNREAD_ANSWER]
    account.hold(HeldKind.UNREAD, 0)
    account.hold(HeldKind.BODIES, 5)
    budget.close(account)
    assert (budget.total, budget.connections) == (0, 0)
    assert set(budget.held.values()) == {0}


def test_what_is_held_adds_up_by_kind(budget):
    account = open_in(budget, Phase.SERVING, 500, kind=HeldKind.BODIES)
    account.hold(HeldKind.BODIES, 200)
    account.hold(HeldKind.ANSWERS, 50)
    assert budget.total == account.total == CONNECTION_COST + 250
    budget.close(account)
    assert budget.total == 0


def test_connections_are_refused_beyond_their_number(budget):
    accounts = [open_in(budget, Phase.SERVING) for _ in range(LIMITS.connections)]
    assert budget.find_refusal("10.0.0.2") is RefusalCause.CONNECTIONS
    assert budget.choose_for_connection(9.0) == []
    budget.close(accounts[0])
    assert budget.find_refusal("10.0.0.2") is None


def test_connections_of_an_address_are_refused_beyond_their_number():
    budget = CallerBudget(LIMITS._replace(per_address=2))
    accounts = [open_in(budget, Phase.IDLE) for _ in range(2)]
    assert budget.find_refusal("10.0.0.1") is RefusalCause.ADDRESS
    assert budget.find_refusal("10.0.0.2") is None
    budget.close(accounts[0])
    assert budget.find_refusal("10.0.0.1") is None


def test_receive_buffers_stay_within_their_sum():
    budget = CallerBudget(LIMITS._replace(connections=2000))
    for _ in range(2000):
        open_in(budget, Phase.IDLE)
    granted = sum(account.receive_bytes for account in budget._accounts)
    assert granted <= LIMITS.receive_bytes + 2000 * MIN_RECEIVE_BYTES


@pytest.mark.parametrize("memory_mb", [160, 200, 552, 1024])
def test_the_limits_leave_room_on_every_machine(memory_mb):
    limits = derive_limits(memory_mb=memory_mb, max_descriptors=4100, per_address=0)
    # A process takes 50 MB before any traffic.
    most = 50_000_000 + limits.total_bytes + limits.receive_bytes
    assert most <= memory_mb * 1_000_000
    # Several bodies of 4 MB have room together.
    assert limits.body_bytes >= 5 * 4_194_304
    # Each request may need a connection to a server, and 200 descriptors are for files.
    open_files = limits.connections + limits.requests + limits.idle_servers + 200 + 100
    assert open_files <= 4100
