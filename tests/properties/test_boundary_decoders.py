"""Arbitrary values, deep nesting, long numbers and odd text, to every decoder.

Each returns a value in its ranges, or raises its own error and nothing else. What is
returned can be encoded again, so that it can be passed on.
"""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.gateway import state_pulls
from rosemarystream._internal.gateway.gossip_decoder import decode_gossip
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.gossip import (
    GossipMessage,
    HostAddress,
    LoadScope,
    PullAnswer,
    PullRequest,
)
from rosemarystream._internal.models.ranges import (
    MAX_COUNT,
    MAX_MS,
    MAX_NAME_CHARS,
    MAX_SLOTS,
)
from rosemarystream._internal.platform.documents import (
    DocumentError,
    check_endpoint,
    decode_configuration,
    decode_endpoint,
)
from rosemarystream._internal.platform.json_members import (
    split_elements,
    split_members,
)
from rosemarystream._internal.platform.records import (
    decode_block_record,
    decode_host_record,
)
from rosemarystream._internal.platform.store_answers import (
    StoredObject,
    StoreError,
    decode_changes,
    decode_page,
)
from rosemarystream._internal.utils.wire import decode_message
from tests.lib.entry_world import make_configuration
from tests.lib.odd_objects import CONTENTS, OBJECTS, SOUND

DEPTHS = st.sampled_from([1, 60, 900, 1_100, 3_000, 20_000])
TEXTS = st.text(max_size=6) | st.sampled_from(
    ["", "a" * 300, "\0", "o\r\nx: 1", "\u65e5", "10.0.0.1:80", "1.2.3:99999", "ready"]
)
NUMBERS = (
    st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from([2**53 + 1, 2**64, -1, 0, 1e300])
)
SCALARS = st.none() | st.booleans() | NUMBERS | TEXTS
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=6,
)
RAW_TEXTS = (
    st.sampled_from([b"9" * 30, b"9" * 5_000, b"-" + b"9" * 400, b"1e999", b'"\xff"'])
    | DEPTHS.map(lambda depth: b"[" * depth + b"]" * depth)
    | DEPTHS.map(lambda depth: b'{"a":' * depth + b"1" + b"}" * depth)
)
# Values of a field as JSON: of any type, or a text that no encoder writes.
JSON_VALUES = VALUES.map(msgspec.json.encode) | RAW_TEXTS
PLACES = st.integers(0, 30)


def change_fields(sound, changes):
    """Return an object as JSON in which some fields have other values."""
    names = [*sound, "extra"]
    fields = {name: msgspec.json.encode(value) for name, value in sound.items()}
    for place, text in changes:
        fields[names[place % len(names)]] = text
    pairs = [msgspec.json.encode(name) + b":" + fields[name] for name in fields]
    return b"{" + b",".join(pairs) + b"}"


CHANGES = st.lists(st.tuples(PLACES, JSON_VALUES), max_size=2)


def is_in_ranges(endpoint):
    return (
        1 <= endpoint.slots <= MAX_SLOTS
        and 0 <= endpoint.incarnation <= MAX_MS
        and 0 <= endpoint.revision <= MAX_COUNT
        and 0 < len(endpoint.service) <= MAX_NAME_CHARS
        and 0 < len(endpoint.data_centre) <= MAX_NAME_CHARS
    )


@given(changes=CHANGES, name=TEXTS)
def test_a_server_entry_is_in_its_ranges_or_refused(changes, name):
    try:
        endpoint = decode_endpoint(name, change_fields(SOUND, changes), 5)
    except DocumentError as error:
        assert str(error)
        return
    assert is_in_ranges(endpoint)
    encoded = msgspec.msgpack.encode(endpoint)
    assert msgspec.msgpack.decode(encoded, type=Endpoint) == endpoint


CONFIGURATION = make_configuration(4)
SECTIONS = st.sampled_from(["routes", "services", "tenants", "limits"])


@given(section=SECTIONS, changes=CHANGES, more=CHANGES)
def test_a_configuration_is_in_its_ranges_or_refused(section, changes, more):
    known = CONFIGURATION[section]
    first = known[0] if isinstance(known, list) else known
    text = change_fields(first, changes)
    raw = msgspec.Raw(b"[%s]" % text if isinstance(known, list) else text)
    document = change_fields({**CONFIGURATION, section: raw}, more)
    try:
        configuration = decode_configuration(document)
    except DocumentError as error:
        assert str(error)
        return
    assert 0 <= configuration.version <= MAX_COUNT
    assert configuration.limits.idle_timeout_s > 0
    assert configuration.limits.head_timeout_s > 0
    for routes in configuration.routes.values():
        assert all(route.targets and route.timeout_s > 0 for route in routes)


@given(text=JSON_VALUES | st.binary(max_size=30))
def test_a_document_of_any_text_is_refused_with_the_known_error(text):
    item = StoredObject("odd", 5, text)
    for decode in (
        decode_configuration,
        lambda text: decode_endpoint("odd", text, 5),
        lambda text: decode_block_record(item),
        lambda text: decode_host_record(item),
    ):
        try:
            decode(text)
        except DocumentError as error:
            assert str(error)


RECORDS = {"began_ms": "1", "until_ms": "5", "ip": "10.0.0.1", "data_centre": "a"}


@given(changes=CHANGES)
def test_a_record_is_in_its_ranges_or_refused(changes):
    item = StoredObject("odd", 5, change_fields(RECORDS, changes))
    for decode in (decode_block_record, decode_host_record):
        try:
            assert decode(item)
        except DocumentError as error:
            assert str(error)


SOUND_OBJECT = b'{"metadata":{"name":"%s","revision":4},"spec":{"a":[1,"]}"]}}'
ODD_OBJECTS = st.sampled_from(
    [
        *OBJECTS.values(),
        *(
            b'{"metadata":{"name":"odd"},"spec":%s}' % msgspec.json.encode(content)
            for content in CONTENTS.values()
        ),
    ]
) | JSON_VALUES.map(lambda text: b'{"metadata":%s}' % text)


@given(odd=st.lists(ODD_OBJECTS, max_size=3), place=PLACES)
def test_odd_objects_of_an_answer_cost_no_other_one(odd, place):
    objects = [SOUND_OBJECT % b"s1", *odd]
    objects.insert(place % len(objects), SOUND_OBJECT % b"s2")
    page = decode_page(b'{"current-rev":7,"items":[%s]}' % b",".join(objects))
    assert page.revision == 7
    assert len(page.objects) == len(objects)
    sound = [item.name for item in page.objects if not item.error]
    assert {"s1", "s2"} <= {*sound}
    events = b",".join(b'{"deleted":true,"object":%s}' % text for text in objects)
    changes = decode_changes(b'{"events":[%s],"current-rev":8}' % events)
    assert changes.revision == 8
    assert all(change.deleted for change in changes.changes)
    named = [change.object.name for change in changes.changes]
    assert {"s1", "s2"} <= {*named}


@given(text=JSON_VALUES | st.binary(max_size=60))
def test_an_answer_of_any_text_is_refused_with_the_known_error(text):
    for decode in (decode_page, decode_changes):
        for answer in (
            text,
            b'{"current-rev":%s,"items":[],"events":[]}' % text,
            b'{"current-rev":1,"items":%s,"events":%s}' % (text, text),
            b'{"current-rev":1,"items":[%s],"events":[%s]}' % (text, text),
        ):
            try:
                decode(answer)
            except StoreError as error:
                assert str(error)


@given(values=st.lists(VALUES, max_size=4))
def test_texts_are_divided_where_an_encoder_has_joined_them(values):
    array = msgspec.json.encode(values)
    parts = [msgspec.json.decode(text) for text in split_elements(array) if text]
    assert parts == msgspec.json.decode(array)
    fields = {f"k{number}": value for number, value in enumerate(values)}
    members = split_members(msgspec.json.encode(fields))
    decoded = {key.decode(): msgspec.json.decode(x) for key, x in members.items()}
    assert decoded == msgspec.json.decode(msgspec.json.encode(fields))


@given(text=st.binary(max_size=60))
def test_texts_that_are_no_json_are_divided_or_refused(text):
    try:
        assert isinstance([*split_elements(text)], list)
        assert isinstance(split_members(text), dict)
    except ValueError as error:
        assert str(error)


WIRE_NUMBERS = st.integers(-(2**63), 2**64 - 1) | st.sampled_from([0, 1, 2**53, -1])
WIRE_VALUES = st.recursive(
    st.none() | st.booleans() | WIRE_NUMBERS | st.floats() | TEXTS | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(WIRE_NUMBERS, inner, max_size=3)
    ),
    max_leaves=8,
)
WIRE_CHANGES = st.lists(st.tuples(PLACES, WIRE_VALUES), max_size=2)
MESSAGE = GossipMessage(
    HostAddress("h1", "a", "10.0.0.2"), 5, 1, 1, 0, LoadScope.HOST, {7: 1}, {7: 5}
)
ENDPOINT = Endpoint("s1", "p", "10.0.0.1:80", "a", 4, ServerState.READY, 1, 5)


def make_decode(decoder):
    return lambda data: decode_message(decoder, data)


SOUND_MESSAGES = [
    (decode_gossip, MESSAGE),
    (make_decode(state_pulls._request_decoder), PullRequest(1, 2)),
    (make_decode(state_pulls._answer_decoder), PullAnswer(b"", [], {"s1": 3}, 5)),
    (make_decode(state_pulls._endpoint_decoder), ENDPOINT),
]


def change_message(message, changes, depth):
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    for place, value in changes:
        plain[place % len(plain)] = value
    data = msgspec.msgpack.encode(plain)
    if not depth:
        return data
    # A field that this build doesn't know, nested as deeply.
    head = bytes([0xDC, 0, len(plain) + 1])
    return head + data[1 if data[0] != 0xDC else 3 :] + b"\x91" * depth + b"\xc0"


@given(changes=WIRE_CHANGES, depth=st.just(0) | DEPTHS)
def test_messages_of_hosts_can_be_passed_on_or_are_refused(changes, depth):
    for decode, sound in SOUND_MESSAGES:
        try:
            message = decode(change_message(sound, changes, depth))
        except msgspec.DecodeError as error:
            assert str(error)
            continue
        assert msgspec.msgpack.encode(message)
        if isinstance(message, Endpoint):
            assert is_in_ranges(message)


@given(name=TEXTS, address=TEXTS)
def test_an_entry_that_is_passed_on_has_an_address_of_a_host(name, address):
    try:
        check_endpoint(ENDPOINT._replace(name=name, address=address))
    except DocumentError as error:
        assert str(error)
        return
    assert address == "10.0.0.1:80"
    name.encode("latin-1")
