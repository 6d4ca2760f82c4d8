"""Headers and events of any value, from callers and servers."""

from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.gateway.attempt_errors import OutcomeUnknownError
from rosemarystream._internal.gateway.event_stream import EventStream
from rosemarystream._internal.models.ranges import (
    MAX_MS,
    MAX_PART_TOKENS,
    MAX_SLOWNESS,
)
from rosemarystream._internal.platform.headers import decode_answer, decode_call

LONG_NUMBER = b"9" * 5_000
ODD_VALUES = [
    b"1,0,8,250",
    b"a:1,b:2",
    b"9" * 30,
    LONG_NUMBER,
    b"1,0,8," + LONG_NUMBER,
    b"a:1,b:" + LONG_NUMBER,
    b"timeout=" + LONG_NUMBER,
]
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"x-rosemarystream-server-load",
                b"x-rosemarystream-deadline-ms",
                b"x-rosemarystream-prompt-prefix",
                b"keep-alive",
                b"server-limit",
                b"last-event-id",
                b"connection",
                b"host",
            ]
        ),
        st.binary(max_size=20) | st.sampled_from(ODD_VALUES),
    ),
    max_size=4,
)


@given(headers=HEADERS)
def test_headers_of_any_value_are_decoded(headers):
    call = decode_call(b"POST", b"/x", headers)
    assert call.wait_s is None or 0.0 <= call.wait_s <= MAX_MS
    assert all(0 <= part.tokens <= MAX_PART_TOKENS for part in call.parts)
    answer = decode_answer(200, headers)
    assert answer.status == 200
    assert answer.slowness is None or 0.0 < answer.slowness <= MAX_SLOWNESS
    assert answer.keep_alive_s is None or 0.0 <= answer.keep_alive_s <= MAX_MS


@given(
    numbers=st.lists(
        st.binary(max_size=8).map(lambda text: text.replace(b"\n", b""))
        | st.sampled_from([LONG_NUMBER, b"9" * 30, b"7"]),
        max_size=4,
    )
)
def test_events_of_any_number_are_taken_or_found_missing(numbers):
    stream = EventStream(last_event=numbers[0] if numbers else b"")
    for number in numbers:
        try:
            stream.accept(b"id: " + number + b"\ndata: x\n\n")
        except OutcomeUnknownError as error:
            assert str(error)
