"""Delays of this host, which say nothing of others."""

from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.host_delays import (
    CATCH_UP_S,
    LATE_S,
    MAX_PUT_OFF_S,
    TICK_S,
    HostDelays,
)

# Times from one tick to the next: usual ones, and those of a host that was late.
usual = st.floats(min_value=0.0, max_value=TICK_S + 0.9 * LATE_S)
late = st.floats(min_value=TICK_S + 1.1 * LATE_S, max_value=20.0)


def run(delays, now, steps):
    for step in steps:
        now += step
        delays.record_tick(now)
    return now


@given(st.lists(usual, min_size=1))
def test_a_host_that_ticks_in_time_was_not_late(steps):
    delays = HostDelays()
    began_at = 1_000.0
    delays.record_tick(began_at)
    now = run(delays, began_at, steps)
    assert not delays.was_late(began_at, now)


@given(st.lists(usual), late, st.lists(usual, max_size=20), st.booleans())
def test_a_delay_counts_for_what_was_begun_before_its_end(before, step, after, ticks):
    delays = HostDelays()
    delays.record_tick(1_000.0)
    began_at = run(delays, 1_000.0, before)
    now = ended_at = began_at + step
    if ticks:
        # Else what was due is judged before the tick comes.
        delays.record_tick(now)
        now = run(delays, now, after)
    assert delays.was_late(began_at, now)
    assert delays.was_late(ended_at - 0.01, now)
    if ticks and now > ended_at:
        assert not delays.was_late(now, now)


def test_a_host_that_has_not_ticked_yet_was_not_late():
    assert not HostDelays().was_late(0.0, 1_000.0)


@given(st.lists(usual, max_size=10), late, st.floats(min_value=0.0, max_value=20.0))
def test_an_end_within_a_delay_is_put_off_until_the_host_has_caught_up(
    before, step, left_s
):
    delays = HostDelays()
    delays.record_tick(1_000.0)
    began_at = run(delays, 1_000.0, before)
    ended_at = began_at + step
    deadline = began_at + TICK_S + 0.01 + left_s
    is_within = deadline < ended_at + CATCH_UP_S
    end = ended_at + CATCH_UP_S if is_within else deadline
    assert delays.put_off(deadline, ended_at) == end
    delays.record_tick(ended_at)
    assert delays.put_off(deadline, ended_at + 5.0) >= end
    # One that was over before the delay is over.
    assert delays.put_off(began_at, ended_at) == began_at


def test_an_end_is_put_off_for_a_bounded_time():
    delays = HostDelays()
    now = 1_000.0
    delays.record_tick(now)
    ended_at = now = run(delays, now, [4.0])
    for _ in range(40):
        now = run(delays, now, [0.5])
        assert delays.put_off(1_001.0, now) <= ended_at + MAX_PUT_OFF_S
    assert delays.put_off(1_001.0, now) > ended_at + 2 * CATCH_UP_S
