"""When a host that is told to stop refuses, closes and ends."""

import pytest

from rosemarystream._internal.gateway.shutdown import make_shutdown_plan
from rosemarystream._internal.utils.http_connection import LATE_READ_S

BEGAN_AT = 100.0
PLAN = make_shutdown_plan(began_at=BEGAN_AT, shutdown_s=8.0)


@pytest.mark.parametrize(
    ("after_s", "unfinished", "is_over"),
    [(0.0, 0, False), (2.4, 0, False), (2.6, 0, True), (2.6, 1, False), (7.7, 1, True)],
)
def test_a_host_ends_neither_beside_a_request_nor_while_it_is_chosen(
    after_s, unfinished, is_over
):
    assert PLAN.is_over(BEGAN_AT + after_s, unfinished=unfinished) == is_over


def test_a_short_stop_ends_in_time():
    plan = make_shutdown_plan(began_at=BEGAN_AT, shutdown_s=1.0)
    assert plan.is_over(BEGAN_AT + 1.0, unfinished=1)


def test_an_answer_that_is_read_late_is_read_before_the_end():
    assert PLAN.last_due_at + LATE_READ_S < PLAN.ends_at
