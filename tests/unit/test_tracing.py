"""Tracing of a request through the logs of several hosts."""

import msgspec
import pytest

from rosemarystream._internal.exceptions import RequestError
from rosemarystream._internal.models.endings import (
    AnswerProgress,
    EndingCause,
    ServerAct,
)
from rosemarystream._internal.models.judgements import Judgement
from rosemarystream._internal.models.log_entries.endings import RequestUnanswered
from rosemarystream._internal.models.log_entries.process import (
    HostDelayed,
    LogEntriesDropped,
)
from rosemarystream._internal.models.log_entries.requests import (
    AttemptBroken,
    AttemptNotRun,
    RequestEnded,
)
from rosemarystream._internal.models.log_entries.servers import (
    JudgementWithheld,
    ServerRemoved,
    ServicesUnreachable,
)
from rosemarystream._internal.models.log_entries.store import StoreLost
from rosemarystream._internal.operators import tracing
from rosemarystream._internal.operators.tracing import trace_request


def format_entry(second, entry, host="h1", prefix=""):
    common = {
        "time": f"2026-12-04T08:00:{second:06.3f}",
        "level": "info",
        "host": host,
        "logger": "relay",
        "message": entry.message,
    }
    fields = msgspec.structs.asdict(entry)
    return prefix + msgspec.json.encode({**common, **fields}).decode()


def make_end_entry(**changes):
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
    found = trace(
        [
            format_entry(1, make_end_entry()),
            format_entry(2, make_end_entry(request="r2")),
        ]
    )
    assert found.summary == (
        "h1 got request r1 (book, plain) and passed on the answer 200 of p1 after "
        "100.0 ms."
    )
    assert len(found.entries) == 1


def test_summary_of_a_refusal_states_not_run_and_the_attempts(trace):
    refused = AttemptNotRun(request="r1", server="p2", sent=False, reason="timed out")
    found = trace(
        [format_entry(9, ServicesUnreachable(services=["plain"]), host="h2")],
        [
            format_entry(7, HostDelayed(late_ms=380.5)),
            format_entry(8, ServicesUnreachable(services=["plain"])),
            format_entry(
                8.1, JudgementWithheld(judgement=Judgement.CONNECT, server="p2")
            ),
            format_entry(8.5, refused),
            format_entry(
                9, make_end_entry(outcome="no_backend", status=503, server="p2")
            ),
        ],
    )
    for part in (
        "ended it as no_backend, status 503",
        "has not run and never will",
        "p2 could not be reached (timed out)",
        "h1 could reach no server of plain",
        "h1 was late by 380.5 ms",
    ):
        assert part in found.summary
    assert [entry.host for entry in found.context] == ["h1"] * 3


def test_summary_of_an_unknown_outcome_names_the_server_to_check(trace):
    broken = AttemptBroken(
        request="r1",
        server="p1",
        reused=True,
        silent=False,
        unreachable=False,
        reason="closed without an answer",
    )
    found = trace(
        [
            format_entry(1, broken),
            format_entry(1.1, make_end_entry(outcome="outcome_unknown", status=502)),
        ]
    )
    assert "may have run; the records of p1 show whether it did" in found.summary
    assert "the answer of p1 broke off (closed without an answer)" in found.summary


def make_unanswered_entry(**changes):
    fields = {
        "request": "r1",
        "cause": EndingCause.HOST_STOPPED,
        "progress": AnswerProgress.PART,
        "status": 200,
        "ms": 900.0,
        "connection_ms": 12_000.0,
        "connection_requests": 3,
        "version_at_start": 4,
        "version": 5,
        "configuration_ms": 300.0,
        "reload_ms": 60_000.0,
        "stop_ms": 800.0,
        "server": "e1",
        "server_act": ServerAct.ANSWERING,
    }
    return RequestUnanswered(**{**fields, **changes})


def test_summary_of_an_ending_without_an_answer_names_its_cause(trace):
    found = trace(
        [
            format_entry(1, make_unanswered_entry()),
            format_entry(1.1, make_end_entry(outcome="outcome_unknown")),
        ]
    )
    for part in (
        "h1 ended it without a whole answer (part was sent): the host stopped",
        "the last act of e1: answering",
        "the configuration changed meanwhile from 4 to 5",
        "the configuration came 300.0 ms before the end",
        "SIGTERM came 800.0 ms before the end",
        "it was request 3 of a connection that was 12000.0 ms old",
    ):
        assert part in found.summary
    assert "SIGHUP" not in found.summary


def test_a_request_that_was_not_handled_is_explained(trace):
    entry = make_unanswered_entry(
        cause=EndingCause.CONNECTION_CLOSED, progress=AnswerProgress.NOTHING, server=""
    )
    found = trace([format_entry(1, entry)])
    assert "sent together with an earlier request" in found.summary
    assert "the last act" not in found.summary


@pytest.mark.parametrize("cause", [x for x in EndingCause if not x.has_answer])
def test_each_cause_is_explained(trace, cause):
    entry = make_unanswered_entry(cause=cause)
    assert tracing.CAUSE_TEXT[cause] in trace([format_entry(1, entry)]).summary


def test_entries_of_all_files_are_sorted_by_time(trace):
    broken = AttemptNotRun(request="r1", server="p1", sent=True, reason="full")
    found = trace([format_entry(3, make_end_entry())], [format_entry(2, broken)])
    assert [entry.message for entry in found.entries] == ["attempt not run", "request"]


def test_context_contains_the_hosts_entries_about_the_tried_servers(trace):
    found = trace(
        [
            format_entry(0.5, ServerRemoved(server="p9", revision=4)),
            format_entry(1, ServerRemoved(server="p1", revision=5)),
            format_entry(1, StoreLost(watched="servers", error="closed")),
            format_entry(9, make_end_entry(request="r9")),
            format_entry(2, make_end_entry(tried=["p1"])),
        ]
    )
    assert [entry.message for entry in found.context] == [
        "server removed",
        "store lost",
    ]


def test_text_before_the_json_of_an_entry_is_ignored(trace):
    found = trace([format_entry(1, make_end_entry(), prefix="36.512 edge-1 ")])
    assert len(found.entries) == 1


def test_request_without_entries_suggests_other_logs(trace):
    dropped = LogEntriesDropped(why="too many of a kind", counts={"request gone": 4})
    found = trace([format_entry(1, dropped), "no json", '{"time": 3}'])
    assert found.entries == []
    assert "name the logs of all hosts" in found.summary


def test_missing_log_file_is_reported(tmp_path):
    with pytest.raises(RequestError, match="name existing log files"):
        trace_request("r1", [tmp_path / "none.log"])
