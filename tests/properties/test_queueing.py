"""Ranks get their minimum shares, workspaces their fair shares."""

import hypothesis.strategies as st
import pytest
from hypothesis import given

from rosemarystream._internal.decisions.queueing import FairQueue, RankScheduler
from rosemarystream._internal.models.configuration import Rank
from tests.lib.sheets import RANKS
from tests.lib.works import make_work

LARGEST_COST = 1_000


def get_equal_weight(workspace):
    return 1.0


def serve(scheduler):
    """Return the request that is served next, or None if none is queued."""
    ranks = scheduler.order_ranks()
    return scheduler.pop(ranks[0]) if ranks else None


costs = st.integers(1, LARGEST_COST)


@given(st.lists(costs, min_size=1, max_size=40), st.lists(costs, min_size=200))
def test_a_flood_of_one_workspace_costs_the_small_one_at_most_its_share(small, large):
    queue = FairQueue(limit=10_000, get_weight=get_equal_weight)
    for number, cost in enumerate(large):
        queue.push(make_work(number, workspace="large", cost=cost))
    for number, cost in enumerate(small):
        queue.push(make_work(number, workspace="small", cost=cost))
    served = {"small": 0, "large": 0}
    while served["small"] < sum(small):
        work = queue.pop()
        served[work.workspace] += work.cost
        assert served["large"] <= served["small"] + 2 * LARGEST_COST


@given(
    st.lists(
        st.tuples(st.sampled_from(["a", "b", "c"]), costs, st.booleans()), min_size=1
    )
)
def test_nothing_is_lost_or_served_twice(steps):
    queue = FairQueue(limit=20, get_weight=get_equal_weight)
    inside, out = set(), set()
    for number, (workspace, cost, pops) in enumerate(steps):
        work = make_work(number, workspace=workspace, cost=cost)
        dropped = queue.push(work)
        inside.add(work.request_id)
        if dropped is not None:
            inside.remove(dropped.work.request_id)
        if pops:
            served = queue.pop().request_id
            assert served not in out
            inside.remove(served)
            out.add(served)
        assert len(queue) == len(inside) <= 20
        assert {w.request_id for w in queue} == inside


@given(st.lists(costs, min_size=300, max_size=300))
def test_lower_ranks_keep_their_minimum_share_in_an_urgent_flood(sizes):
    scheduler = RankScheduler(ranks=RANKS, limit=10_000, get_weight=get_equal_weight)
    number = 0
    for cost in sizes:
        for rank in RANKS:
            scheduler.push(make_work(number, rank=rank.name, cost=cost))
            number += 1
    served = dict.fromkeys((rank.name for rank in RANKS), 0)
    total = 0
    while scheduler.length("urgent"):
        work = serve(scheduler)
        served[work.rank] += work.cost
        total += work.cost
        for rank in RANKS[1:]:
            owed = rank.minimum_share * total - 3 * LARGEST_COST
            assert served[rank.name] >= owed
    assert served["urgent"] / total >= 0.6


def test_urgent_work_goes_first_without_minimum_shares():
    ranks = tuple(rank._replace(minimum_share=0.0) for rank in RANKS)
    scheduler = RankScheduler(ranks=ranks, limit=100, get_weight=get_equal_weight)
    for number, name in enumerate(["routine", "standard", "urgent", "routine"]):
        scheduler.push(make_work(number, rank=name))
    order = [serve(scheduler).rank for _ in range(4)]
    assert order == ["urgent", "standard", "routine", "routine"]


def test_full_queue_drops_from_the_largest_workspace():
    queue = FairQueue(limit=3, get_weight=get_equal_weight)
    for number in range(3):
        queue.push(make_work(number, workspace="large"))
    dropped = queue.push(make_work(9, workspace="small"))
    assert dropped.work.workspace == "large"
    assert {work.workspace for work in queue} == {"large", "small"}


def test_shares_are_proportional_to_weights():
    weights = {"heavy": 3.0, "light": 1.0}
    queue = FairQueue(limit=1_000, get_weight=weights.__getitem__)
    for number in range(200):
        queue.push(make_work(number, workspace=("heavy", "light")[number % 2]))
    served = [queue.pop().workspace for _ in range(80)]
    assert served.count("heavy") == pytest.approx(60, abs=1)


def test_expired_and_cancelled_requests_leave_the_queue():
    scheduler = RankScheduler(
        ranks=(Rank("only", 1, 0.0, 1, 1.0),), limit=10, get_weight=get_equal_weight
    )
    for number in range(4):
        scheduler.push(make_work(number, rank="only", deadline=float(number)))
    assert [w.request_id for w in scheduler.remove_expired(1.5)] == [
        "r000000",
        "r000001",
    ]
    assert scheduler.remove("r000002") is not None
    assert serve(scheduler).request_id == "r000003"
    assert serve(scheduler) is None
