"""Outlier ejection of failing servers and their return after recovery."""

from rosemarystream._internal.decisions.health import (
    FIRST_EJECTION_S,
    HALF_LIFE_S,
    MAX_EJECTION_S,
    SUSPICION_S,
    ServerHealth,
)


def test_each_ejection_of_an_unreachable_server_lasts_longer():
    health = ServerHealth()
    now, ejections = 0.0, []
    for _ in range(6):
        health.record_unreachable("s", now)
        start = now
        while health.is_ejected("s", now):
            now += 0.05
        ejections.append(now - start)
    assert ejections[0] < FIRST_EJECTION_S + 0.1
    for earlier, later in zip(ejections, ejections[1:], strict=False):
        assert later > earlier - 0.06
    assert ejections[-1] < MAX_EJECTION_S + 0.1


def test_failure_rate_of_a_partly_failing_server_is_measured():
    health = ServerHealth()
    for number in range(20):
        health.record_outcome("grey", failed=number % 2 == 0, now=number * 0.05)
        health.record_outcome("well", failed=False, now=number * 0.05)
    assert health.failure_rate("grey", 1.0) > 0.3
    assert health.failure_rate("well", 1.0) == 0.0
    assert health.failure_rate("grey", 1.0 + 4 * HALF_LIFE_S) < 0.05


def test_successful_answer_ends_the_ejection():
    health = ServerHealth()
    health.record_unreachable("s", 0.0)
    health.record_outcome("s", failed=False, now=0.1)
    assert not health.is_ejected("s", 0.1)


def test_data_centre_is_suspected_after_two_unreachable_servers():
    health = ServerHealth()
    health.record_data_centre_failure("far", "s1", 0.0)
    assert not health.is_suspected("far", 0.1)
    health.record_data_centre_failure("far", "s1", 0.2)
    assert not health.is_suspected("far", 0.3)
    health.record_data_centre_failure("far", "s2", 0.4)
    assert health.is_suspected("far", 0.5)
    assert not health.is_suspected("near", 0.5)
    assert not health.is_suspected("far", 0.4 + SUSPICION_S + 0.1)


def test_one_answer_clears_the_suspicion_of_a_data_centre():
    health = ServerHealth()
    health.record_data_centre_failure("far", "s1", 0.0)
    health.record_data_centre_failure("far", "s2", 0.0)
    health.record_data_centre_answer("far")
    assert not health.is_suspected("far", 0.1)


def test_ejection_and_its_end_are_reported_once():
    health = ServerHealth()
    assert health.record_unreachable("e1", 10.0) > 0
    assert health.record_unreachable("e1", 10.1) == 0.0
    assert health.record_outcome("e1", failed=False, now=11.0)
    assert not health.record_outcome("e1", failed=False, now=11.1)
