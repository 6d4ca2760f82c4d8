"""A flood of one kind of line doesn't displace the others."""

from rosemarystream._internal.decisions.log_limits import LogRateLimiter


def test_a_flood_of_refusals_leaves_room_for_a_rare_line():
    limits = LogRateLimiter()
    written = sum(limits.allow("refused", 50, 0.0001 * n) for n in range(5_000))
    assert written == 50
    assert limits.allow("outcome_unknown", 50, 0.5)
    assert limits.take_dropped() == {"refused": 4_950}


def test_each_second_has_its_own_lines():
    limits = LogRateLimiter()
    written = sum(limits.allow("refused", 10, n / 100) for n in range(300))
    assert written == 30


def test_what_was_left_out_is_told_once():
    limits = LogRateLimiter()
    limits.allow("request", 0, 0.0)
    assert limits.take_dropped() == {"request": 1}
    assert limits.take_dropped() == {}
