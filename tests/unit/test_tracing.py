"""The logs of several hosts tell what happened to a request."""

import msgspec
import pytest

from rosemarystream._internal.exceptions import RequestError
from rosemarystream._internal.models.log_entries import (
    AttemptBroken,
    AttemptNotRun,
    LogEntriesDropped,
    RequestEnded,
    ServerRemoved,
    ServicesUnreachable,
    StoreLost,
)
from rosemarystream._internal.operators.tracing import trace_request


def at(second, line, host="h1", prefix=""):
    head = {
        "time": f"2026-12-04T08:00:{second:06.3f}",
        "level": "info",
        "host": host,
        "logger": "relay",
        "message": line.message,
    }
    fields = msgspec.structs.asdict(line)
    return prefix + msgspec.json.encode({**head, **fields}).decode()


def end(**changes):
    fields = {
        "request": "r1",
        "route": "book",
        "service": "plain",
        "outcome": "answered",
        "status": 200,
        "ms": 100.0,
        "server": "p1",
    }
    return RequestEnded(**{**fields, **changes})


@pytest.fixture
def trace(tmp_path):
    def write_and_trace(*files, request="r1"):
        paths = []
        for number, entries in enumerate(files):
            paths.append(tmp_path / f"h{number}.log")
            paths[-1].write_text("\n".join(entries) + "\n")
        return trace_request(request, paths)

    return write_and_trace


def test_summary_describes_an_answered_request(trace):
    found = trace([at(1, end()), at(2, end(request="r2"))])
    assert found.summary == (
        "h1 got request r1 (book, plain) and passed on the answer 200 of p1 after "
        "100.0 ms."
    )
    assert len(found.entries) == 1


def test_summary_of_a_refusal_states_not_run_and_the_attempts(trace):
    refused = AttemptNotRun(request="r1", server="p2", sent=False, reason="timed out")
    found = trace(
        [at(9, ServicesUnreachable(services=["plain"]), host="h2")],
        [
            at(8, ServicesUnreachable(services=["plain"])),
            at(8.5, refused),
            at(9, end(outcome="no_backend", status=503, server="p2")),
        ],
    )
    for part in (
        "ended it as no_backend, status 503",
        "has not run and never will",
        "p2 could not be reached (timed out)",
        "h1 could reach no server of plain",
    ):
        assert part in found.summary
    assert [line.host for line in found.context] == ["h1"]


def test_summary_of_an_unknown_outcome_names_the_server_to_check(trace):
    broke = AttemptBroken(
        request="r1",
        server="p1",
        reused=True,
        silent=False,
        unreachable=False,
        reason="closed without an answer",
    )
    found = trace([at(1, broke), at(1.1, end(outcome="outcome_unknown", status=502))])
    assert "may have run; the records of p1 tell" in found.summary
    assert "the answer of p1 broke off (closed without an answer)" in found.summary


def test_entries_of_all_files_are_sorted_by_time(trace):
    broke = AttemptNotRun(request="r1", server="p1", sent=True, reason="full")
    found = trace([at(3, end())], [at(2, broke)])
    assert [line.message for line in found.entries] == ["attempt not run", "request"]


def test_context_contains_the_hosts_entries_about_the_tried_servers(trace):
    found = trace(
        [
            at(0.5, ServerRemoved(server="p9", revision=4)),
            at(1, ServerRemoved(server="p1", revision=5)),
            at(1, StoreLost(watched="servers", error="closed")),
            at(9, end(request="r9")),
            at(2, end(tried=["p1"])),
        ]
    )
    assert [line.message for line in found.context] == ["server removed", "store lost"]


def test_text_before_the_json_of_an_entry_is_ignored(trace):
    found = trace([at(1, end(), prefix="36.512 edge-1 ")])
    assert len(found.entries) == 1


def test_request_without_entries_suggests_other_logs(trace):
    left_out = LogEntriesDropped(why="too many of a kind", counts={"request gone": 4})
    found = trace([at(1, left_out), "no json", '{"time": 3}'])
    assert found.entries == []
    assert "name the logs of all hosts" in found.summary


def test_missing_log_file_is_reported(tmp_path):
    with pytest.raises(RequestError, match="name existing log files"):
        trace_request("r1", [tmp_path / "none.log"])
