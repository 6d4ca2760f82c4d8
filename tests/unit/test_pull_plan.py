"""A host that was asked and doesn't answer holds up no pull from another one."""

import pytest

from rosemarystream._internal.decisions.pull_plan import (
    LONGEST_PAUSE_S,
    MAX_PAUSED_SOURCES,
    MAX_PULLS,
    SILENT_AFTER_S,
    SLOW_AFTER_S,
    SOURCE_PAUSE_S,
    PullPlan,
    StateKind,
)

DOCUMENT, SERVERS = StateKind.DOCUMENT, StateKind.SERVERS


@pytest.fixture
def plan():
    plan = PullPlan()
    assert plan.begin(DOCUMENT, "a", 10.0)
    return plan


def test_one_host_is_asked_while_it_answers(plan):
    assert not plan.begin(DOCUMENT, "b", 10.0 + 0.9 * SILENT_AFTER_S)
    plan.record_progress(DOCUMENT, "a", 10.0 + 0.9 * SILENT_AFTER_S)
    assert not plan.begin(DOCUMENT, "b", 10.0 + 1.8 * SILENT_AFTER_S)


def test_another_host_is_asked_while_the_first_is_silent(plan):
    assert not plan.begin(DOCUMENT, "a", 10.0 + SILENT_AFTER_S)
    assert plan.begin(DOCUMENT, "b", 10.0 + SILENT_AFTER_S)


def test_another_host_is_asked_while_the_first_sends_slowly(plan):
    plan.record_progress(DOCUMENT, "a", 10.0 + SLOW_AFTER_S)
    assert plan.begin(DOCUMENT, "b", 10.0 + SLOW_AFTER_S)


def test_kinds_of_state_are_pulled_independently(plan):
    assert plan.begin(SERVERS, "a", 10.0)
    plan.record_failure(SERVERS, "a", 10.0)
    plan.record_success(DOCUMENT, "a")
    assert plan.begin(DOCUMENT, "a", 10.0)


def test_a_host_that_failed_is_passed_over_for_another(plan):
    plan.record_failure(DOCUMENT, "a", 10.1)
    assert not plan.begin(DOCUMENT, "a", 10.0 + SOURCE_PAUSE_S)
    assert plan.begin(DOCUMENT, "b", 10.2)


def test_hosts_that_all_fail_are_asked_less_and_less_often():
    plan, asked, now = PullPlan(), 0, 10.0
    for number in range(2_000):
        now += 0.005
        if plan.begin(DOCUMENT, f"h{number}", now):
            asked += 1
            plan.record_failure(DOCUMENT, f"h{number}", now)
    assert 10.0 / LONGEST_PAUSE_S <= asked <= 10.0 / LONGEST_PAUSE_S + 5
    plan.record_success(DOCUMENT, "h")
    assert plan.begin(DOCUMENT, "c", now + LONGEST_PAUSE_S)
    plan.record_failure(DOCUMENT, "c", now + LONGEST_PAUSE_S)
    assert plan.begin(DOCUMENT, "d", now + LONGEST_PAUSE_S + 0.1)


def test_few_hosts_are_asked_at_a_time(plan):
    begun = [plan.begin(DOCUMENT, f"h{n}", 11.0 + n) for n in range(2 * MAX_PULLS)]
    assert begun.count(True) == MAX_PULLS - 1


def test_pauses_of_few_hosts_are_kept(plan):
    for number in range(2 * MAX_PAUSED_SOURCES):
        plan.record_failure(DOCUMENT, f"h{number}", 11.0 + number)
    kept = plan._kinds[DOCUMENT].source_paused_until
    assert len(kept) == MAX_PAUSED_SOURCES
