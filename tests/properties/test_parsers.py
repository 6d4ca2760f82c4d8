"""Arbitrary bytes, in arbitrary pieces, from every outside system.

A parser either returns what was sent whole or reports a known error. It never takes a
part for the whole, and raises nothing else.
"""

import time

import gevent
import msgspec
import pytest
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.caller_budget import HeldKind
from rosemarystream._internal.exceptions import PlatformError
from rosemarystream._internal.gateway.listener import Listener
from rosemarystream._internal.models.gossip import (
    GossipMessage,
    HostAddress,
    LoadScope,
    PullAnswer,
    PullRequest,
)
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_endpoint,
)
from rosemarystream._internal.platform.store import Store
from rosemarystream._internal.utils.frames import receive_frame
from rosemarystream._internal.utils.http_connection import (
    ClientConnection,
    ConnectionBrokenError,
)
from tests.lib.entry_world import wait_until
from tests.lib.gossip_world import GossipWorld

DEADLINE_S = 2.0
MAX_BODY = 1_000

BODIES = st.binary(max_size=60)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
# Texts that occur in heads, so that random bytes get past the first line.
HEAD_TEXTS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 103 Early\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: x\r\n",
        b"Content-Length: 5\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"hello",
    ]
)
NOISE = st.lists(HEAD_TEXTS | st.binary(max_size=20), max_size=12).map(b"".join)


def split(data, cuts):
    places = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(places, places[1:], strict=False) if a < b]


CUTS = st.lists(st.integers(0, 500), max_size=5)


def frame_by_length(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def frame_by_chunks(body):
    chunks = b"".join(b"%x\r\n%s\r\n" % (1, body[n : n + 1]) for n in range(len(body)))
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\n\r\n"


def read_answer(pieces):
    """Return the body that a connection reads from the pieces and their end."""
    near, far = socket.socketpair()
    connection = ClientConnection(address="127.0.0.1:1", clock=time.monotonic)
    connection._socket = near
    connection.send(b"POST", b"/x", [(b"host", b"x")], b"")
    sender = gevent.spawn(send_pieces, far, pieces)
    deadline = time.monotonic() + DEADLINE_S
    try:
        connection.read_head(deadline)
        return connection.read_body(deadline, max_bytes=MAX_BODY)
    finally:
        connection.close()
        sender.join()


def send_pieces(far, pieces):
    try:
        for piece in pieces:
            far.sendall(piece)
            gevent.sleep(0)
    except OSError:
        # The reader has closed.
        return
    finally:
        far.close()


@given(body=BODIES, cuts=CUTS, framing=st.sampled_from("lc"))
def test_a_whole_answer_is_read_however_it_arrives(body, cuts, framing):
    data = frame_by_length(body) if framing == "l" else frame_by_chunks(body)
    assert read_answer(split(data, cuts)) == body


@given(body=BODIES, cuts=CUTS, framing=st.sampled_from("lc"), end=st.integers(0, 400))
def test_a_part_of_an_answer_is_never_taken_for_the_whole(body, cuts, framing, end):
    data = frame_by_length(body) if framing == "l" else frame_by_chunks(body)
    with pytest.raises(ConnectionBrokenError):
        read_answer(split(data[: end % len(data)], cuts))


@given(noise=NOISE, cuts=CUTS)
def test_bytes_that_are_no_answer_break_only_the_connection(noise, cuts):
    try:
        read_answer(split(noise, cuts))
    except ConnectionBrokenError as error:
        assert str(error)


@pytest.fixture(scope="module")
def listener():
    def answer(request, writer):
        writer.send_whole(200, [], b"")

    limits = CallerLimits(head_timeout_s=0.1, idle_timeout_s=0.1)
    unexpected = []
    created = Listener(
        address="127.0.0.1:0",
        handler=answer,
        get_limits=lambda: limits,
        record_error=unexpected.append,
        clock=time.monotonic,
    )
    created.start()
    yield created
    created.stop()
    assert unexpected == []


@given(noise=NOISE, cuts=CUTS)
def test_bytes_that_are_no_request_break_only_the_connection(listener, noise, cuts):
    address = listener._server.address
    far = socket.create_connection(address, timeout=DEADLINE_S)
    with gevent.Timeout(DEADLINE_S):
        send_and_read_to_end(far, split(noise, cuts))
    far.close()
    whole = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    with socket.create_connection(address, timeout=DEADLINE_S) as caller:
        caller.sendall(whole)
        assert caller.recv(100).startswith(b"HTTP/1.1 200")
    # All that a request holds is released, also a body too small to be counted alone.
    budget = listener.resources.budget
    wait_until(lambda: not budget.requests)
    held = {kind: size for kind, size in budget.held.items() if size}
    assert held.keys() <= {HeldKind.CONNECTIONS}


def send_and_read_to_end(far, pieces):
    try:
        for piece in pieces:
            far.sendall(piece)
        far.shutdown(socket.SHUT_WR)
        while far.recv(65_536):
            pass
    except OSError:
        # The listener has closed.
        return


MESSAGE = GossipMessage(
    sender=HostAddress("h1", "dc1", "10.0.0.2"),
    sequence=5,
    version=0,
    revision=0,
    store_lost_ms=0,
    scope=LoadScope.HOST,
)
PLAIN = msgspec.msgpack.decode(msgspec.msgpack.encode(MESSAGE))
WIRE_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.integers(0, 2**32), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(data=st.binary(max_size=80))
def test_datagrams_that_are_no_messages_are_ignored(data):
    world = GossipWorld(hosts=2, data_centres=1)
    world.hosts["h0"].peering.accept_datagram(data, "10.0.0.9")


@given(
    changes=st.lists(st.tuples(st.integers(0, 20), WIRE_VALUES), max_size=3),
    length=st.integers(0, len(PLAIN)),
)
def test_messages_with_wrong_fields_harm_no_host(changes, length):
    fields = [*PLAIN]
    for place, value in changes:
        fields[place % len(fields)] = value
    world = GossipWorld(hosts=3, data_centres=1)
    world.run(0.3)
    for sent in (fields, fields[:length]):
        data = msgspec.msgpack.encode(sent)
        world.hosts["h0"].peering.accept_datagram(data, "10.0.0.2")
    world.run(0.5)
    assert world.hosts["h0"].loads.sum_fleet(world.now).counts.total() >= 0


@given(data=st.binary(max_size=60), cuts=CUTS)
def test_frames_of_pulls_are_whole_or_refused(data, cuts):
    near, far = socket.socketpair()
    gevent.spawn(send_pieces, far, split(data, cuts))
    try:
        frame = receive_frame(near)
    except OSError:
        frame = None
    finally:
        near.close()
    if frame is not None:
        assert data[4 : 4 + len(frame)] == frame
        for kind in (PullAnswer, PullRequest):
            try:
                msgspec.msgpack.decode(frame, type=kind)
            except msgspec.DecodeError as error:
                assert str(error)


@given(value=JSON | st.binary(max_size=20))
def test_documents_that_are_none_are_refused(value):
    text = value if isinstance(value, bytes) else msgspec.json.encode(value)
    with pytest.raises(DocumentError):
        decode_configuration(text)
    with pytest.raises(DocumentError):
        decode_endpoint("s1", text, 1)


@given(noise=NOISE | JSON.map(lambda v: frame_by_length(msgspec.json.encode(v))))
def test_answers_of_the_store_are_read_or_refused(noise):
    store = Store(address="127.0.0.1:1", clock=time.monotonic)
    near, far = socket.socketpair()
    connection = ClientConnection(address="127.0.0.1:1", clock=time.monotonic)
    connection._socket = near
    store._connection = connection
    sender = gevent.spawn(send_pieces, far, [noise])
    try:
        store.watch("servers", Position(0, 1), 0.0)
    except PlatformError as error:
        assert str(error)
    finally:
        store.close()
        sender.join()


def test_the_texts_of_heads_make_a_whole_answer():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
    assert read_answer([data]) == b"hello"
