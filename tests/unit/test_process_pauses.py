"""Detection of pauses of the whole process."""

from rosemarystream._internal.decisions.process_pauses import (
    HOLD_S,
    MIN_PAUSE_S,
    ProcessPauses,
)

TICK_S = 0.1


def test_nothing_is_held_while_the_process_runs():
    pauses = ProcessPauses()
    assert pauses.measure_hold(1_000.0) == 0.0
    for step in range(100):
        assert pauses.measure_hold(1_000.0 + step * TICK_S) == 0.0
    assert pauses.measure_hold(1_010.0 + 0.9 * MIN_PAUSE_S) == 0.0


def test_requests_are_held_for_a_while_after_a_pause():
    # Whether a tick or a request comes first when the process goes on.
    for is_tick_first in (True, False):
        pauses = ProcessPauses()
        pauses.record_tick(0.0)
        resumed_at = MIN_PAUSE_S + 0.5
        if is_tick_first:
            pauses.record_tick(resumed_at)
        assert pauses.measure_hold(resumed_at + 0.1) <= HOLD_S
        assert pauses.measure_hold(resumed_at + 0.1) > 0.0
        assert pauses.measure_hold(resumed_at + HOLD_S + 0.1) == 0.0
