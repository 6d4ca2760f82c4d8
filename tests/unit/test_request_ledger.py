"""Counts of requests and their endings, and the check of their balance."""

import time

import pytest

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway import request_ledger
from rosemarystream._internal.gateway.host_times import HostTimes
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.gateway.request_ledger import RequestLedger
from rosemarystream._internal.gateway.request_reader import Request
from rosemarystream._internal.models.endings import EndingCause
from rosemarystream._internal.models.log_entries.base import REQUEST_ENTRIES_PER_S
from rosemarystream._internal.models.log_entries.endings import (
    RequestsUnbalanced,
    RequestUnanswered,
)

REQUEST = Request(b"GET", b"/", [(b"host", b"x")], b"the body", 0.0)


@pytest.fixture
def entries(monkeypatch):
    written = []
    monkeypatch.setattr(
        request_ledger, "write_log_entry", lambda log, entry: written.append(entry)
    )
    return written


@pytest.fixture
def ledger():
    return RequestLedger(
        metrics=GatewayMetrics(),
        replica=Replica(),
        times=HostTimes(clock=time.monotonic),
        clock=time.monotonic,
    )


def begin(ledger):
    return ledger.begin(REQUEST, connected_at=0.0, connection_requests=1)


def test_requests_in_progress_are_those_that_have_not_ended(ledger, entries):
    begun = [begin(ledger) for _ in range(3)]
    ledger.end(begun[0], EndingCause.SERVER_ANSWERED)
    ledger.check_balance(2)
    balance = ledger.read_balance(2)
    assert (balance["begun"], balance["difference"]) == (3, 0)
    assert balance["ended"]["server_answered"] == 1
    assert not entries


def test_an_ending_that_is_not_counted_is_logged_as_an_error(ledger, entries):
    begin(ledger)
    ledger.check_balance(0)
    assert entries == [
        RequestsUnbalanced(begun=1, ended=0, in_progress=0, difference=1)
    ]


def test_an_ending_that_is_counted_twice_is_logged_as_an_error(ledger, entries):
    begun = begin(ledger)
    for _ in range(2):
        ledger.end(begun, EndingCause.HOST_ANSWERED)
    ledger.check_balance(0)
    assert entries == [
        RequestsUnbalanced(begun=1, ended=2, in_progress=0, difference=-1)
    ]


def test_a_difference_is_logged_once_until_it_changes(ledger, entries):
    for _ in range(2):
        begin(ledger)
        ledger.check_balance(0)
        ledger.check_balance(0)
    assert [entry.difference for entry in entries] == [1, 2]


def test_a_request_whose_headers_are_unreadable_is_logged_without_them(ledger, entries):
    odd = REQUEST._replace(headers=[(b"x-rosemarystream-deadline-ms", b"\xff")])
    begun = ledger.begin(odd, connected_at=0.0, connection_requests=1)
    ledger.end(begun, EndingCause.ERROR)
    (entry,) = entries
    assert isinstance(entry, RequestUnanswered)
    assert "the body" not in repr(entry)


def test_a_flood_of_one_cause_leaves_room_for_the_others(ledger, entries):
    for cause in (EndingCause.CALLER_GONE, EndingCause.ERROR):
        ledger.end(begin(ledger), cause)
    kinds = [entry.kind for entry in entries]
    assert len({*kinds}) == 2
    assert all(entry.limit_per_s <= REQUEST_ENTRIES_PER_S for entry in entries)
