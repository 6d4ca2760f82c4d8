"""Rate limits per kind of log entry: a flood of one kind drops no other kind."""

from rosemarystream._internal.decisions.log_limits import LogRateLimiter


def test_flood_of_one_kind_does_not_drop_entries_of_another():
    limits = LogRateLimiter()
    written = sum(limits.allow("refused", 50, 0.0001 * n) for n in range(5_000))
    assert written == 50
    assert limits.allow("outcome_unknown", 50, 0.5)
    assert limits.take_dropped() == {"refused": 4_950}


def test_limit_applies_to_each_second():
    limits = LogRateLimiter()
    written = sum(limits.allow("refused", 10, n / 100) for n in range(300))
    assert written == 30


def test_counts_of_dropped_entries_are_reported_once():
    limits = LogRateLimiter()
    limits.allow("request", 0, 0.0)
    assert limits.take_dropped() == {"request": 1}
    assert limits.take_dropped() == {}
