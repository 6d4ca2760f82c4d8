"""Bodies in chunks are decoded as h11 does, and tiny chunks cost little."""

import time

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.gateway.pipelined_requests import split_requests
from rosemarystream._internal.utils.chunked_body import (
    ChunkedBodyError,
    ChunkedDecoder,
)

MAX_HEAD_BYTES = 100
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

chunks = st.binary(min_size=1, max_size=40)
extensions = st.sampled_from([b"", b" ", b"\t ", b";", b';a="1;2"', b";x=1 "])
garbage = st.sampled_from([b"", b"x", b"\r\n", b";", b"g\r\n", b"1 ;a\r\nx\r\n", b"-1"])


def decode(pieces):
    """Return the contents, whether the end has come, and what follows it."""
    decoder = ChunkedDecoder(max_head_bytes=MAX_HEAD_BYTES)
    contents = b""
    waiting = bytearray()
    for piece in pieces:
        waiting += piece
        while found := decoder.decode(waiting):
            contents += found
    return contents, decoder.is_at_end, bytes(waiting)


def decode_by_h11(data):
    """Return the contents and whether the end has come; None if malformed."""
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(CHUNKED_HEAD + data)
    contents = b""
    try:
        while (event := protocol.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                return contents, True
            contents += event.data if isinstance(event, h11.Data) else b""
    except h11.ProtocolError:
        return None
    return contents, False


@given(
    st.lists(st.tuples(chunks, extensions)),
    garbage,
    st.booleans(),
    st.lists(st.integers(0, 300)),
)
def test_chunks_are_decoded_as_by_h11(drawn, between, is_ended, cuts):
    data = b"".join(b"%x%s\r\n%s\r\n" % (len(x), ext, x) for x, ext in drawn)
    data += between + (b"0\r\n\r\n" if is_ended else b"")
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    pieces = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    expected = decode_by_h11(data)
    if expected is None:
        with pytest.raises(ChunkedBodyError):
            decode(pieces)
    else:
        assert decode(pieces)[:2] == expected


def test_what_follows_the_last_chunk_is_left():
    assert decode([b"1\r\na\r\n0;x\r\nTrailer: 1\r\n\r\nGET /"]) == (
        b"a",
        True,
        b"Trailer: 1\r\n\r\nGET /",
    )


@pytest.mark.parametrize("filler", [b"1;" + b" " * 200, b"1" + b" " * 200])
def test_a_head_without_end_is_refused(filler):
    with pytest.raises(ChunkedBodyError):
        decode([filler])


def measure(read, data):
    """Return the least processor time of three reads, in seconds."""
    times = []
    for _ in range(3):
        began = time.process_time()
        read(data)
        times.append(time.process_time() - began)
    return min(times)


def split(data):
    """Return the body of a request that was read ahead."""
    requests = [*split_requests(bytearray(CHUNKED_HEAD + data), 0.0)]
    return [request.body for request in requests]


@pytest.mark.parametrize("read", [lambda data: decode([data]), split])
def test_tiny_chunks_take_little_processor_time(read):
    """Else four endless callers keep a host from its other work for seconds."""
    data = b"1;x=1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"
    assert measure(read, data) <= 0.3 * measure(decode_by_h11, data)


def test_a_request_of_chunks_that_was_read_ahead_is_found_with_the_next_one():
    data = bytearray(CHUNKED_HEAD + b"2\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n")
    head = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    bodies = [request.body for request in split_requests(data + head, 0.0)]
    assert bodies == [b"abc", b""]
    assert not [*split_requests(data[:-1], 0.0)]
