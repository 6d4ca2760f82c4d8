"""Limits that servers set on the requests that they get in a second."""

import pytest

from rosemarystream._internal.decisions.server_limits import UNLIMITED, ServerLimits
from rosemarystream._internal.platform.headers import decode_answer


@pytest.mark.parametrize(
    ("value", "per_s"),
    [
        (b"2.5", 2.5),
        (b"40", 40.0),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", None),
        (b"", None),
    ],
)
def test_the_limit_of_a_server_is_read_from_its_answers(value, per_s):
    assert decode_answer(200, [(b"server-limit", value)]).limit_per_s == per_s


def test_a_limit_holds_until_the_server_no_longer_states_it():
    limits = ServerLimits()
    limits.record(1, 2.5)
    assert limits.find(1) == 2.5
    limits.record(1, None)
    assert limits.find(1) == UNLIMITED
    assert [change.per_s for change in limits.take_changes()] == [2.5, UNLIMITED]
