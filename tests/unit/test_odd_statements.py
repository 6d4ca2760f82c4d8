"""What a server states in an odd way isn't taken for the friendliest it may mean."""

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.server_availability import ServerAvailability
from rosemarystream._internal.decisions.server_limits import UNLIMITED
from rosemarystream._internal.gateway.server_statements import ServerStatements
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.ranges import MAX_RATE_PER_S
from rosemarystream._internal.platform.headers import decode_answer, decode_call

SERVER = Endpoint("s1", "plain", "a:1", "a", 8, ServerState.READY, 1_000, 1)
LIMIT, RETRY_AFTER = b"server-limit", b"retry-after"
ENCODING, SEAL = b"content-encoding", b"x-rosemarystream-response-seal"
REQUEST_ID, NOT_RUN = b"x-rosemarystream-attempt-id", b"x-rosemarystream-not-executed"


def decode(*headers, status=200):
    return decode_answer(status, [*headers])


# review/15: a limit with more than nine digits behind the point counted as none.
@given(st.floats(min_value=1e-4, max_value=1e15))
def test_a_limit_is_read_however_many_digits_it_has(per_s):
    expected = per_s if per_s <= MAX_RATE_PER_S else UNLIMITED
    assert decode((LIMIT, repr(per_s).encode())).limit_per_s == expected


@pytest.mark.parametrize("digits", [9, 10, 16, 400])
def test_a_retry_after_is_read_however_many_digits_it_has(digits):
    value = b"1." + b"5" * digits
    delay_s = decode((RETRY_AFTER, value), status=503).retry_after.delay_s
    assert 1.5 < delay_s < 1.6


def test_the_least_of_several_limits_counts():
    head = decode((LIMIT, b"40"), (LIMIT, b"x"), (LIMIT, b"2.5"))
    assert (head.limit_per_s, head.has_unreadable_limit) == (2.5, False)


@pytest.mark.parametrize("odd", [b"", b"-1", b"many", b"3,3"])
def test_a_limit_that_cannot_be_read_ends_no_earlier_one(odd):
    counted = []
    availability = ServerAvailability(replica=Replica())
    statements = ServerStatements(
        replica=Replica(),
        availability=availability,
        metrics=SimpleNamespace(
            limits_unreadable=SimpleNamespace(inc=lambda: counted.append(1))
        ),
        clock=lambda: 10.0,
        read_epoch_s=lambda: 0.0,
    )
    limits = availability.limits
    statements.record(SERVER, decode((LIMIT, b"2.5")))
    statements.record(SERVER, decode((LIMIT, odd)))
    assert limits.find(SERVER.number) == 2.5
    assert counted == [1]
    statements.record(SERVER, decode())
    assert limits.find(SERVER.number) == UNLIMITED


def test_a_server_that_states_twice_whether_it_leaves_leaves():
    assert decode((b"server-leaving", b"0"), (b"server-leaving", b"1")).is_leaving


@pytest.mark.parametrize(
    ("values", "is_encoded"),
    [
        ([], False),
        ([b"identity"], False),
        ([b"Identity"], False),
        ([b"identity", b"gzip"], True),
        ([b"gzip", b"identity"], True),
        ([b""], True),
    ],
)
def test_any_coding_but_identity_makes_an_answer_encoded(values, is_encoded):
    assert decode(*[(ENCODING, x) for x in values]).is_encoded is is_encoded


def test_an_empty_seal_is_none():
    assert decode((SEAL, b"x")).is_sealed
    assert not decode((SEAL, b"")).is_sealed


def test_an_answer_to_two_requests_names_none():
    ids = [(REQUEST_ID, b"r1"), (REQUEST_ID, b"r1")]
    assert decode(*ids).request_id == "r1"
    assert decode(*ids, (REQUEST_ID, b"r2")).request_id == ""


@pytest.mark.parametrize("value", [b"0", b"False"])
def test_a_denial_is_no_statement_that_a_request_has_not_run(value):
    assert decode((NOT_RUN, b"1"), status=503).not_run
    assert not decode((NOT_RUN, value), status=503).not_run


def test_a_stream_is_one_however_its_type_is_written():
    assert decode((b"content-type", b"Text/Event-Stream; a=b")).is_event_stream


def test_a_prompt_part_without_a_readable_size_is_looked_at():
    prompt = (b"x-rosemarystream-prompt-prefix", b"a:5,bad,c:1x,d:,own:3")
    call = decode_call(b"POST", b"/x", [prompt])
    names = [(part.name, part.tokens) for part in call.parts]
    assert names == [("a", 5), ("bad", 0), ("c", 0), ("d", 0), ("own", 3)]
