"""Retries of all hosts together stay within the fleet's bound."""

import random
from collections import deque
from math import ceil

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.retry_budget import RetryBudget

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 56


# Retries that a host tries to make after each request.
MAX_TRIES = 8
# Factors by which a host's count of live hosts may be wrong.
MISJUDGED = (0.5, 0.75, 1.0, 2.0)


@given(
    hosts=st.integers(1, 195),
    views=st.sampled_from([(1.0,), (0.5,), MISJUDGED]),
    seed=st.integers(0, 1000),
)
def test_servers_that_fail_everywhere_do_not_break_the_bound(hosts, views, seed):
    draw = random.Random(seed)
    budgets = [
        RetryBudget(ratio=RATIO, window_s=WINDOW_S, slack=SLACK) for _ in range(hosts)
    ]
    counts = [ceil(hosts * draw.choice(views)) for _ in range(hosts)]
    now, requests, repeats = 0.0, deque(), deque()
    while now < 30.0:
        now += draw.expovariate(30.0)
        host = draw.randrange(hosts)
        budgets[host].record_request(now)
        requests.append(now)
        for _ in range(MAX_TRIES):
            if budgets[host].take(now, hosts=counts[host]):
                repeats.append(now)
        for times in (requests, repeats):
            while times and times[0] <= now - WINDOW_S:
                times.popleft()
        assert len(repeats) <= RATIO * len(requests) + SLACK


def test_host_without_requests_may_still_retry():
    budget = RetryBudget(ratio=RATIO, window_s=WINDOW_S, slack=SLACK)
    assert budget.take(1.0, hosts=8)


def test_remaining_retry_budget_is_counted():
    budget = RetryBudget(ratio=0.2, window_s=10.0, slack=10)
    assert budget.count_left(0.0, hosts=1) == 5.0
    assert budget.take(0.0, hosts=1)
    assert budget.count_left(0.0, hosts=1) == 4.0
    assert budget.count_left(11.0, hosts=1) == 5.0


# The times of all requests of a service were kept as long as nothing was retried there.
def test_a_budget_that_nobody_looks_at_stays_small():
    budget = RetryBudget(ratio=0.2, window_s=10.0, slack=5.0)
    for number in range(50_000):
        budget.record_request(number * 0.1)
    assert len(budget._requests) <= 100
    assert budget.measure_request_rate(5_000.0) == pytest.approx(10.0, rel=0.02)
