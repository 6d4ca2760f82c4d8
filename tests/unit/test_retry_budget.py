"""Retries of all hosts together stay within the fleet's bound."""

import random

from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.retry_budget import RetryBudget

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 56


@given(hosts=st.integers(1, 12), seed=st.integers(0, 1000))
def test_servers_that_fail_everywhere_do_not_break_the_bound(hosts, seed):
    draw = random.Random(seed)
    budgets = [
        RetryBudget(ratio=RATIO, window_s=WINDOW_S, slack=SLACK) for _ in range(hosts)
    ]
    now, requests, repeats = 0.0, [], []
    while now < 30.0:
        now += draw.expovariate(30.0)
        budget = draw.choice(budgets)
        budget.record_request(now)
        requests.append(now)
        if budget.take(now, hosts=hosts):
            repeats.append(now)
        window = [t for t in repeats if t > now - WINDOW_S]
        asked = [t for t in requests if t > now - WINDOW_S]
        assert len(window) <= RATIO * len(asked) + SLACK


def test_host_without_requests_may_still_retry():
    budget = RetryBudget(ratio=RATIO, window_s=WINDOW_S, slack=SLACK)
    assert budget.take(1.0, hosts=8)


def test_remaining_retry_budget_is_counted():
    budget = RetryBudget(ratio=0.2, window_s=10.0, slack=10)
    assert budget.count_left(0.0, hosts=1) == 8.5
    assert budget.take(0.0, hosts=1)
    assert budget.count_left(0.0, hosts=1) == 7.5
    assert budget.count_left(11.0, hosts=1) == 8.5
