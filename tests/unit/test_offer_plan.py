import pytest

from rosemarystream._internal.decisions.offer_plan import MAX_FAILURES, OfferPlan
from rosemarystream._internal.decisions.server_groups import GroupName
from rosemarystream._internal.exceptions import ErrorKind

GROUPS = [GroupName("lm", f"dc{number}", 0) for number in range(3)]


def make_plan(*, idempotent=True, waiting=(), budget=100, groups=GROUPS):
    remaining = [budget]

    def try_spend():
        remaining[0] -= 1
        return remaining[0] >= 0

    return OfferPlan(
        idempotent=idempotent,
        deadline=100.0,
        order=lambda: list(groups),
        is_waiting=lambda group: group in waiting,
        try_spend=try_spend,
    )


def test_group_that_holds_the_context_is_offered_first_despite_its_queue():
    offer = make_plan(waiting=GROUPS).next_offer(0.0)
    assert offer == (GROUPS[0], False, 0.0)


def test_all_groups_are_tried_before_the_request_is_queued():
    plan = make_plan()
    for group in GROUPS:
        offer = plan.next_offer(0.0)
        assert offer == (group, False, 0.0)
        assert plan.record_failure(offer, ErrorKind.OVERLOADED, 0.0)
    offer = plan.next_offer(0.0)
    assert offer == (GROUPS[0], True, 0.0)
    assert not plan.record_failure(offer, ErrorKind.OVERLOADED, 0.0)


def test_groups_that_failed_are_tried_again_after_a_pause():
    plan = make_plan()
    for group in GROUPS:
        offer = plan.next_offer(0.0)
        assert offer.group == group
        assert plan.record_failure(offer, ErrorKind.NO_BACKEND, 0.0)
    again = plan.next_offer(0.0)
    assert again.group == GROUPS[0]
    assert again.pause > 0


@pytest.mark.parametrize(
    ("kind", "again"),
    [
        (ErrorKind.NO_BACKEND, True),
        (ErrorKind.NOT_OWNER, True),
        (ErrorKind.BACKEND_REFUSED, True),
        (ErrorKind.OUTCOME_UNKNOWN, False),
        (ErrorKind.STREAM_BROKEN, False),
        (ErrorKind.DEADLINE, False),
    ],
)
def test_non_idempotent_request_is_retried_only_if_it_certainly_did_not_run(
    kind, again
):
    plan = make_plan(idempotent=False)
    offer = plan.next_offer(0.0)
    assert plan.record_failure(offer, kind, 0.0) is again


def test_retries_after_a_broken_stream_consume_the_retry_budget():
    plan = make_plan(budget=1)
    offer = plan.next_offer(0.0)
    assert plan.record_failure(offer, ErrorKind.STREAM_BROKEN, 0.0)
    offer = plan.next_offer(0.0)
    assert not plan.record_failure(offer, ErrorKind.STREAM_BROKEN, 0.0)


def test_attempts_and_time_are_bounded():
    plan = make_plan(groups=GROUPS[:1])
    attempts = 0
    while (offer := plan.next_offer(0.0)) is not None:
        attempts += 1
        plan.record_failure(offer, ErrorKind.NO_BACKEND, 0.0)
    assert attempts == MAX_FAILURES
    assert make_plan().next_offer(100.0) is None
    assert make_plan(groups=()).next_offer(0.0) is None
