"""Answers that callers get when backend servers fail or misbehave."""

import gevent
import pytest

from rosemarystream._internal.decisions.placement import PREFILL_S
from rosemarystream._internal.gateway import attempt_outcomes
from rosemarystream._internal.models.log_entries.requests import AttemptBroken
from standins.backend_server import ERROR_EVENT, EVENTS, Fault
from tests.lib.entry_world import (
    Caller,
    World,
    list_event_ids,
    make_configuration,
    make_route,
    wait_until,
)


@pytest.fixture
def world():
    created = World()
    created.add_server("p1")
    created.add_server("p2")
    created.add_server("e1", "engines")
    created.add_server("e2", "engines")
    created.add_host("h1")
    wait_until(lambda: len(created.hosts["h1"].list_servers()) == 4)
    yield created
    created.stop()


@pytest.fixture
def host(world):
    return world.hosts["h1"]


def count_runs(world, request_id):
    return sum(
        run.request_id == request_id
        for server in world.servers.values()
        for run in server.runs
    )


def list_runs(world):
    return [run for server in world.servers.values() for run in server.runs]


def set_faults(world, *faults):
    """Inject faults into the first requests, whichever servers they reach."""
    shared = [*faults]
    for server in world.servers.values():
        server.faults = shared


STREAM = {"sticky": True, "resumable": True}
PROMPT = ("X-Rosemarystream-Prompt-Prefix", "a:20,b:10")


@pytest.fixture
def broken_attempts(monkeypatch):
    """Log entries of the attempts that broke."""
    entries = []
    monkeypatch.setattr(
        attempt_outcomes, "write_log_entry", lambda log, e: entries.append(e)
    )
    return entries


@pytest.mark.parametrize(
    ("path", "fault", "closed", "begun"),
    [
        ("/brief/1", Fault.CUT, True, True),
        ("/brief/1", Fault.CLOSE, True, False),
        ("/book/1", Fault.UNSEALED, False, True),
        ("/look/1", Fault.HANG, False, False),
    ],
)
def test_the_log_tells_how_far_a_broken_attempt_came(
    world, host, broken_attempts, path, fault, closed, begun
):
    set_faults(world, fault)
    host.call(path, headers=[PROMPT])
    (entry,) = [e for e in broken_attempts if isinstance(e, AttemptBroken)]
    assert entry.closed == closed
    assert (entry.answering_ms is not None) == begun
    assert entry.prompt == ["a:20", "b:10"]


STREAM_HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)


def test_a_request_is_served_whole(world, host):
    reply = host.call("/look/1?a=b", body=b"hello")
    assert reply.status == 200
    assert reply.body.startswith(b"done by p")
    assert reply.headers[b"x-rosemarystream-response-seal"] == b"seal"
    (run,) = list_runs(world)
    assert run.target == b"/look/1?a=b"
    assert run.body == b"hello"
    assert run.headers[b"x-rosemarystream-tenant"] == b"w1"
    assert b"api-key" not in run.headers


def test_headers_reserved_for_hosts_are_not_accepted_from_a_caller(world, host):
    forged = (
        ("X-Rosemarystream-Tenant", "other"),
        ("X-Rosemarystream-Hold", "1"),
        ("X-Rosemarystream-Pin-Ms", "9"),
        ("X-Rosemarystream-Kv-Backup", "1.1.1.1:1"),
        ("Kv-From", "1.1.1.1:1/x"),
        ("Kv-Fetch", "1.1.1.1:1"),
        ("X-Rosemarystream-Expect-Instance", "p9"),
        ("Connection", "X-Private"),
        ("X-Private", "1"),
    )
    assert host.call("/look/1", headers=forged).status == 200
    (run,) = list_runs(world)
    assert run.headers[b"x-rosemarystream-tenant"] == b"w1"
    for name in (b"hold", b"pin-ms", b"kv-backup"):
        assert b"x-rosemarystream-" + name not in run.headers
    for name in (b"kv-from", b"kv-fetch", b"x-private"):
        assert name not in run.headers


def test_unknown_keys_and_paths_are_refused(host):
    assert host.call("/look/1", key="wrong").status == 401
    assert host.call("/look/1", key=None).status == 401
    assert host.call("/nothing/1").status == 404


@pytest.mark.parametrize(
    "fault",
    [Fault.CLOSE, Fault.CUT, Fault.GARBAGE, Fault.UNSEALED, Fault.HANG, Fault.FAIL],
)
def test_a_repeatable_request_is_served_by_another_server(world, host, fault):
    world.servers["p1"].faults = [fault] * 20
    for _ in range(6):
        reply = host.call("/look/1")
        assert reply.status == 200
        assert reply.body == b"done by p2"


@pytest.mark.parametrize("fault", [Fault.CLOSE, Fault.CUT, Fault.GARBAGE])
def test_a_request_that_may_have_run_once_is_not_sent_again(world, host, fault):
    set_faults(world, fault)
    caller = Caller(host.ip)
    request_id = caller.send("/book/1", body=b"x")
    reply = caller.read()
    assert reply.status == 502
    assert count_runs(world, request_id) == 1


def test_a_request_that_no_server_accepted_is_refused_as_not_run(world, host):
    set_faults(world, *[Fault.TURN_AWAY] * 5)
    caller = Caller(host.ip)
    request_id = caller.send("/book/1")
    reply = caller.read()
    assert reply.status == 503
    assert float(reply.headers[b"retry-after"]) >= 0
    assert count_runs(world, request_id) == 0


def test_an_answer_to_another_request_is_discarded(world, host):
    set_faults(world, Fault.LATE)
    reply = host.call("/book/1")
    assert reply.status == 200
    assert reply.body.startswith(b"done by")


def test_bytes_after_an_answer_never_reach_the_next_request(world, host):
    set_faults(world, Fault.EXTRA)
    for _ in range(8):
        reply = host.call("/look/1")
        assert reply.status == 200
        assert reply.body.startswith(b"done by")


@pytest.mark.parametrize("reused", [True, False])
def test_a_refusal_without_an_id_is_not_taken_for_this_requests(world, host, reused):
    """It may belong to an earlier request, or to none."""
    if reused:
        for name in ("p1", "p2"):
            wait_until(lambda name=name: name.encode() in host.call("/book/1").body)
    set_faults(world, Fault.LATE_REFUSAL)
    caller = Caller(host.ip)
    request_id = caller.send("/book/1")
    reply = caller.read()
    assert count_runs(world, request_id) == 1
    assert reply.status == 502


def test_a_refusal_written_once_more_is_not_taken_for_the_next_requests(world, host):
    for name in ("p1", "p2"):
        wait_until(lambda name=name: name.encode() in host.call("/book/1").body)
    set_faults(world, Fault.REPEATED_REFUSAL)
    caller = Caller(host.ip)
    request_id = caller.send("/book/1")
    reply = caller.read()
    assert count_runs(world, request_id) == 1
    assert reply.status == 200
    assert reply.body.startswith(b"done by")


@pytest.mark.parametrize("path", ["/book/1", "/brief/1"])
@pytest.mark.parametrize("fault", [Fault.HALF_HEAD, Fault.EMPTY_UNFRAMED])
def test_an_answer_that_ends_with_its_head_does_not_look_whole(
    world, host, path, fault
):
    set_faults(world, fault)
    caller = Caller(host.ip)
    request_id = caller.send(path)
    reply = caller.read()
    assert count_runs(world, request_id) == 1
    assert reply.status == 502


@pytest.mark.parametrize("path", ["/look/1", "/chat/1"])
@pytest.mark.parametrize("fault", [Fault.HALF_HEAD, Fault.EMPTY_UNFRAMED])
def test_an_answer_that_ends_with_its_head_is_replaced(world, host, path, fault):
    set_faults(world, fault)
    reply = host.call(path, headers=STREAM_HEADERS)
    assert reply.status == 200
    assert reply.complete
    assert reply.body


def test_an_answer_that_ends_with_its_connection_is_passed_on(world, host):
    set_faults(world, Fault.UNFRAMED)
    reply = host.call("/book/1")
    assert reply.status == 200
    assert reply.complete
    assert reply.body.startswith(b"done by")


@pytest.mark.parametrize("path", ["/chat/1", "/brief/1"])
def test_a_stream_that_ends_with_its_connection_is_whole(world, host, path):
    for round_ in range(2):
        set_faults(world, Fault.UNFRAMED)
        reply = host.call(path)
        assert reply.status == 200
        assert reply.complete
        assert list_event_ids(reply.body) == [*range(1, EVENTS + 1)], round_
    assert len(list_runs(world)) == 2


UNFRAMED_ENDS = [Fault.CUT_UNFRAMED, Fault.RESET_UNFRAMED, Fault.EMPTY_UNFRAMED]


@pytest.mark.parametrize("fault", UNFRAMED_ENDS)
def test_a_stream_without_length_that_breaks_off_is_resumed(world, host, fault):
    set_faults(world, fault)
    reply = host.call("/chat/1")
    assert reply.complete
    assert list_event_ids(reply.body) == [*range(1, EVENTS + 1)]
    assert len(list_runs(world)) == 2


@pytest.mark.parametrize("fault", UNFRAMED_ENDS)
def test_a_stream_without_length_that_breaks_off_does_not_look_whole(
    world, host, fault
):
    set_faults(world, fault)
    reply = host.call("/brief/1")
    assert reply.status == 502 or not reply.complete
    assert len(list_runs(world)) == 1


def test_a_sealed_failure_is_passed_on_when_the_retry_fails_too(world, host):
    set_faults(world, Fault.FAIL, Fault.FAIL)
    reply = host.call("/look/1")
    assert reply.status == 500
    assert reply.headers[b"x-rosemarystream-response-seal"] == b"seal"


@pytest.mark.parametrize("fault", [Fault.NONE, Fault.CUT, Fault.CORRUPT_EVENT])
def test_a_resumable_stream_has_no_gap_and_no_repeat(world, host, fault):
    set_faults(world, fault)
    reply = host.call("/chat/1", headers=STREAM_HEADERS)
    assert reply.status == 200
    assert reply.complete
    assert list_event_ids(reply.body) == [*range(1, 9)]


@pytest.mark.parametrize(
    "fault",
    [
        Fault.FAIL,
        Fault.CONFLICT,
        Fault.CONFLICT_STREAM,
        Fault.HALF_HEAD,
        Fault.UNSEALED,
        Fault.GARBAGE,
    ],
)
def test_an_error_of_the_next_server_does_not_reach_a_stream(world, host, fault):
    set_faults(world, Fault.CUT, fault)
    reply = host.call("/chat/1", headers=STREAM_HEADERS)
    assert reply.status == 200
    assert not reply.complete
    events = reply.body.decode().split("\n\n")
    assert events == ["id: 1\ndata: piece 1", *events[1:3], ""]
    assert list_event_ids(reply.body) == [1, 2, 3]


def test_an_error_with_events_is_passed_on_whole_before_a_stream_begins(world, host):
    set_faults(world, Fault.CONFLICT_STREAM)
    reply = host.call("/chat/1", headers=STREAM_HEADERS)
    assert reply.status == 409
    assert reply.complete
    assert reply.body == ERROR_EVENT


@pytest.fixture
def short_pauses(world, host):
    """Let a stream of the route stall after a second."""
    changes = {"gap-aim-ms": 100, "timeout-ms": 4000}
    route = make_route("chat", "streaming", service="engines", **STREAM, **changes)
    world.store.write("config", "main", make_configuration(4, [route]))
    wait_until(lambda: host.get_version() == 4)


@pytest.mark.usefixtures("short_pauses")
def test_a_stalled_stream_that_sends_single_bytes_is_resumed(world, host):
    set_faults(world, Fault.TRICKLE)
    reply = host.call("/chat/1", headers=STREAM_HEADERS, wait_ms=4000)
    assert reply.complete
    assert list_event_ids(reply.body) == [*range(1, 9)]


@pytest.mark.usefixtures("short_pauses")
def test_a_slow_but_sound_stream_is_not_cut(world, host):
    """Pauses just below the stall timeout, longer in sum than that timeout."""
    for name in ("e1", "e2"):
        world.servers[name].work_s = 0.4
    reply = host.call("/chat/1", headers=STREAM_HEADERS, wait_ms=4000)
    assert reply.complete
    assert list_event_ids(reply.body) == [*range(1, 9)]
    assert sum(server.arrivals for server in world.servers.values()) == 1


def test_a_stream_that_is_not_resumable_ends_incomplete(world, host):
    set_faults(world, Fault.CUT)
    caller = Caller(host.ip)
    request_id = caller.send("/brief/1", headers=STREAM_HEADERS)
    reply = caller.read()
    assert not reply.complete
    assert list_event_ids(reply.body) == [1, 2, 3]
    assert count_runs(world, request_id) == 1


def test_a_stream_starts_after_the_last_event_id_of_the_caller(world, host):
    reply = host.call("/chat/1", headers=(*STREAM_HEADERS, ("Last-Event-ID", "5")))
    assert list_event_ids(reply.body) == [6, 7, 8]


def test_work_for_a_caller_that_leaves_is_cancelled(world, host):
    set_faults(world, Fault.HANG)
    caller = Caller(host.ip)
    caller.send("/book/1")
    wait_until(lambda: list_runs(world))
    caller.close()
    wait_until(lambda: list_runs(world)[0].cancelled, seconds=0.5)


def test_a_request_ends_at_its_routes_timeout(world, host):
    set_faults(world, Fault.HANG)
    with gevent.Timeout(2.5):
        reply = host.call("/book/1", wait_ms=9000)
    assert reply.status == 504


def test_a_server_at_the_address_of_another_runs_no_request(world, host):
    world.servers["p1"].name = "stranger"
    for _ in range(6):
        assert host.call("/look/1").body == b"done by p2"
    assert all(
        b"x-rosemarystream-expect-instance" in run.headers for run in list_runs(world)
    )


def test_a_draining_server_gets_no_more_requests(world, host):
    server = world.servers["p1"]
    world.store.write("servers", "p1", server.describe("draining", seq=2))
    wait_until(lambda: "p1" not in host.list_servers("plain"))
    arrivals = server.arrivals
    for _ in range(6):
        assert host.call("/look/1").body == b"done by p2"
    assert server.arrivals == arrivals


def test_malformed_server_entries_are_ignored(world, host):
    world.store.write("servers", "odd1", {"service": "plain"})
    world.store.write("servers", "odd2", "not an entry")
    entry = world.servers["p1"].describe()
    world.store.write("servers", "odd3", {**entry, "state": "resting"})
    world.store.write("servers", "odd4", {**entry, "slots": "many"})
    world.add_server("p3")
    wait_until(lambda: "p3" in host.list_servers("plain"))
    assert sorted(host.list_servers("plain")) == ["p1", "p2", "p3"]


def test_a_slow_server_is_not_treated_as_unreachable(world, host):
    world.servers["p1"].faults = [Fault.HANG]
    world.servers["p2"].faults = [Fault.HANG]
    assert host.call("/look/1", wait_ms=3000).status in (502, 504)
    for _ in range(4):
        assert host.call("/look/1").status == 200
    assert host.is_ready()


def test_a_prompt_is_copied_from_a_server_that_drains(world, host):
    assert host.call("/chat/1", headers=STREAM_HEADERS).status == 200
    first = next(name for name, server in world.servers.items() if server.runs)
    gevent.sleep(PREFILL_S)
    drained = world.servers[first]
    world.store.write("servers", first, drained.describe("draining", seq=2))
    wait_until(lambda: first not in host.list_servers("engines"))
    long = (STREAM_HEADERS[0], ("X-Rosemarystream-Prompt-Prefix", "a:900,c:1"))
    assert host.call("/chat/2", headers=long).status == 200
    run = list_runs(world)[-1]
    assert run.headers[b"kv-fetch"] == drained.address.encode()


def test_a_server_that_is_slow_at_the_moment_is_avoided(world, host):
    world.servers["p1"].load = "1,0,8,400"
    world.servers["p2"].load = "1,0,8,100"
    wait_until(lambda: b"p1" in host.call("/look/1").body)
    assert [host.call("/look/1").body for _ in range(5)] == [b"done by p2"] * 5
