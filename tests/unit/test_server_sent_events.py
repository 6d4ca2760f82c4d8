"""Streams are split into complete events only."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.utils.server_sent_events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
    find_event_id,
)

EVENTS = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 8)]


@given(cuts=st.lists(st.integers(0, len(b"".join(EVENTS)))))
def test_events_are_whole_however_the_bytes_arrive(cuts):
    stream = b"".join(EVENTS)
    places = [0, *sorted(cuts), len(stream)]
    splitter = EventSplitter()
    seen = []
    for start, end in zip(places, places[1:], strict=False):
        seen += splitter.split(stream[start:end])
    assert seen == EVENTS
    assert splitter.remainder == b""


def test_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert [*splitter.split(EVENTS[0] + b"id: 2\nda")] == [EVENTS[0]]
    assert splitter.remainder == b"id: 2\nda"


def test_the_identifier_of_an_event_is_found():
    assert find_event_id(b"id: 12\ndata: x\n\n") == b"12"
    assert find_event_id(b"data: id: 3\n\n") == b""


def test_an_event_without_an_end_is_refused():
    splitter = EventSplitter()
    with pytest.raises(EventTooLongError):
        for _ in range(MAX_EVENT_BYTES):
            splitter.split(b"x" * 1024)
    assert len(splitter.remainder) <= MAX_EVENT_BYTES + 1024
