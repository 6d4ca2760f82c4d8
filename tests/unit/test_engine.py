import pytest

from rosemarystream._internal.backends.engine import check_event_order
from rosemarystream._internal.exceptions import StreamInterruptedError


@pytest.mark.parametrize(
    ("request_id", "sequence"), [("r2", 3), ("r1", 2), ("r1", 4), ("r2", 0)]
)
def test_event_of_another_request_or_sequence_interrupts_the_stream(
    request_id, sequence
):
    from rosemarystream._internal.backends import engine

    event = {"request_id": request_id, "sequence": sequence, "text": "x"}
    with pytest.raises(StreamInterruptedError):
        engine.check_event_order(event, "r1", 3)


def test_next_event_of_the_request_is_accepted():
    check_event_order({"request_id": "r1", "sequence": 3, "text": "x"}, "r1", 3)
