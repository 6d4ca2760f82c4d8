"""The limit of a server holds over all data centres, however their requests fall."""

from bisect import bisect_right

import hypothesis.strategies as st
from hypothesis import given

from rosemarystream._internal.decisions.limit_quotas import (
    LEAST_PER_S,
    LimitQuotas,
    compute_share,
)

SERVER = 7
# A server may get this many times its limit and some requests in a window.
WINDOW_S = 4.0
ALLOWED_MULTIPLE = 1.5
ALLOWED_MORE = 5
# Longest time for which hosts of a data centre may ask different hosts.
DISPUTE_S = 1.2

limits = st.floats(0.0, 200.0)
moments = st.lists(st.floats(0.0, 12.0), max_size=150).map(sorted)


def take_all(per_s, fleet, questions):
    """Return when requests were permitted; questions are (time, data centre)."""
    quotas = {name: LimitQuotas() for name in fleet}
    shares = {name: compute_share(SERVER, name, fleet) for name in fleet}
    return [
        at
        for at, name in sorted(questions)
        if is_permitted(quotas[name], per_s, at, shares[name])
    ]


def is_permitted(quotas, per_s, at, share=1.0):
    return quotas.take(SERVER, per_s, share=share, now=at).is_permitted


def count_most(times):
    """Return the most requests of any window."""
    times = sorted(times)
    ends = (bisect_right(times, start + WINDOW_S) for start in times)
    return max((end - start for start, end in enumerate(ends)), default=0)


@given(limits, st.integers(1, 19), st.data())
def test_all_data_centres_together_keep_within_the_limit(per_s, count, data):
    fleet = [f"dc{number}" for number in range(count)]
    questions = data.draw(
        st.lists(st.tuples(st.floats(0.0, 12.0), st.sampled_from(fleet)), max_size=300)
    )
    times = take_all(per_s, fleet, questions)
    assert count_most(times) <= ALLOWED_MULTIPLE * WINDOW_S * per_s + ALLOWED_MORE


@given(limits)
def test_a_busy_fleet_keeps_within_the_limit_and_uses_it(per_s):
    fleet = [f"dc{number}" for number in range(7)]
    ticks = [(tick / 100, name) for tick in range(1200) for name in fleet]
    times = take_all(per_s, fleet, ticks)
    assert count_most(times) <= ALLOWED_MULTIPLE * WINDOW_S * per_s + ALLOWED_MORE
    late = [at for at in times if at >= 4.0]
    assert len(late) >= 0.8 * min(8.0 * max(per_s, LEAST_PER_S), 600) - 5


@given(limits, moments, st.floats(0.0, 8.0))
def test_a_limit_holds_while_another_host_takes_over(per_s, moments, change_at):
    before, after = LimitQuotas(), LimitQuotas()
    asked_before = [at for at in moments if at < change_at + DISPUTE_S]
    asked_after = [at for at in moments if at >= change_at]
    times = [at for at in asked_before if is_permitted(before, per_s, at)]
    times += [at for at in asked_after if is_permitted(after, per_s, at)]
    assert count_most(times) <= ALLOWED_MULTIPLE * WINDOW_S * per_s + ALLOWED_MORE


def test_shares_of_all_data_centres_add_up_to_the_limit():
    for count in (1, 3, 5, 6, 19):
        fleet = [f"dc{number}" for number in range(count)]
        shares = [compute_share(SERVER, name, fleet) for name in fleet]
        assert sum(shares) == 1.0 or abs(sum(shares) - 1.0) < 1e-9


def test_a_server_that_takes_nothing_is_still_asked_now_and_then():
    quotas = LimitQuotas()
    taken = [is_permitted(quotas, 0.0, tick / 10) for tick in range(200)]
    assert 3 <= sum(taken) <= 5
