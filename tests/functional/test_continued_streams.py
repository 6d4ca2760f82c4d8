"""Streams that may run only once, and whose engine fails in the middle."""

import json
import random
import time
from collections import Counter

import gevent
import msgspec
import pytest

from standins import backend_server
from standins.backend_server import EVENTS, Fault
from standins.link import reset_connection
from tests.lib.entry_world import (
    Caller,
    World,
    list_event_ids,
    make_configuration,
    wait_until,
)

# A copy has to be worth it for 10 tokens, at the lowest priority as well.
ENGINE = {
    "kv-capacity": 100_000,
    "backups": True,
    "moves": True,
    "kv-token-bytes": 1000,
    "link-mbps": 1000,
    "handle-s": 2,
}
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)
ALL_EVENTS = [*range(1, EVENTS + 1)]
DELIVERED = [1, 2, 3]


class Fleet:
    """A host before engines, one fault for whichever is asked first."""

    def __init__(self, fault, *, backups=True, engine=ENGINE, engines=2):
        self.world = World()
        configuration = make_configuration(4)
        configuration["services"][1]["engine"] = engine
        self.world.store.write("config", "main", configuration)
        faults = [fault]
        self.engines = []
        for number in range(engines):
            server = self.world.add_server(f"e{number}", "engines")
            server.faults = faults
            self.engines.append(server)
        self.host = self.world.add_host("h1", backups=backups)
        wait_until(lambda: len(self.host.list_servers()) == engines)

    def call(self, **changes):
        return self.host.call("/brief/1", headers=HEADERS, **changes)

    def list_arrivals(self):
        """Return the runs of all engines by name, those without any left out."""
        return {e.name: e.runs for e in self.engines if e.runs}

    @property
    def first(self):
        """The engine that got the request without a copy."""
        return next(
            e for e in self.engines for run in e.runs if b"kv-from" not in run.headers
        )

    @property
    def other(self):
        """The engine that isn't the first one, of two."""
        return next(e for e in self.engines if e is not self.first)

    def count_metric(self, name):
        metrics = self.host.gateway._metrics.registry
        return metrics.get_sample_value(f"rosemarystream_{name}_total")


@pytest.fixture
def make_fleet():
    fleets = []

    def make(*arguments, **changes):
        fleets.append(Fleet(*arguments, **changes))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.world.stop()


def check_whole(fleet, reply):
    """Check that a caller got one answer, and that one server ran it at a time."""
    assert (reply.status, reply.complete) == (200, True)
    assert list_event_ids(reply.body) == ALL_EVENTS
    assert reply.body.count(b"data: piece") == EVENTS


def check_broken(reply):
    assert (reply.status, reply.complete) == (200, False)
    assert list_event_ids(reply.body) == DELIVERED


def test_a_stream_goes_on_at_the_backup_server_of_a_crashed_engine(make_fleet):
    fleet = make_fleet(Fault.CRASH)
    reply = fleet.call()
    check_whole(fleet, reply)
    assert [len(runs) for runs in fleet.list_arrivals().values()] == [1, 1]
    (first,) = fleet.first.runs
    (second,) = fleet.other.runs
    assert first.headers[b"x-rosemarystream-kv-backup"].decode() == fleet.other.address
    assert second.headers[b"last-event-id"] == b"3"
    source = f"{fleet.other.address}/{first.request_id}"
    assert second.headers[b"kv-from"].decode() == source
    assert b"x-rosemarystream-kv-backup" not in second.headers
    same = (first.request_id, first.method, first.target, first.body)
    assert (second.request_id, second.method, second.target, second.body) == same
    assert fleet.count_metric("retries") == 1


def test_all_streams_of_a_crashed_engine_go_on_at_several_others(make_fleet):
    """A single backup server of all streams of an engine would be overloaded."""
    fleet = make_fleet(Fault.NONE, engines=4)
    fleet.host.gateway._router.reserve_retry = lambda service, now: True
    for engine in fleet.engines:
        engine.work_s = 0.05
    # With their copies they take 24 of the 32 slots.
    calls = [gevent.spawn(fleet.call) for _ in range(12)]
    wait_until(lambda: sum(len(e.runs) for e in fleet.engines) == 12)
    assert fleet.count_metric("streams_backed_up") == 12
    gevent.sleep(0.2)
    crashed = max(fleet.engines, key=lambda e: len(e.runs))
    crashed.crash()
    for call in calls:
        check_whole(fleet, call.get())
    continued = [
        e.name for e in fleet.engines for run in e.runs if b"kv-from" in run.headers
    ]
    assert len(continued) == len(crashed.runs) > 2
    assert crashed.name not in continued
    assert len(set(continued)) > 1


def test_a_stream_that_may_run_once_is_not_continued_with_the_setting_off(make_fleet):
    fleet = make_fleet(Fault.CRASH, backups=False)
    check_broken(fleet.call())
    ((run,),) = fleet.list_arrivals().values()
    assert not {b"x-rosemarystream-kv-backup", b"kv-from"} & set(run.headers)


def test_backups_are_switched_by_a_reload(make_fleet, tmp_path):
    fleet = make_fleet(Fault.CRASH, backups=False, engines=3)
    gateway = fleet.host.gateway
    gateway._path = tmp_path / "gateway.toml"
    sections = msgspec.to_builtins(gateway._settings)
    sections["streams"]["backups"] = True
    # Values of these kinds look alike in JSON and TOML.
    text = "".join(
        f"[{name}]\n"
        + "".join(
            f"{key} = {json.dumps(value)}\n"
            for key, value in section.items()
            if value is not None
        )
        for name, section in sections.items()
    )
    gateway._path.write_text(text)
    gateway._reload()
    check_whole(fleet, fleet.call())


@pytest.mark.parametrize(
    "engine",
    [
        {"kv-capacity": 9},
        {"backups": 1},
        {"backups": "yes", "moves": [], "kv-token-bytes": -1, "link-mbps": "fast"},
    ],
)
def test_a_service_without_backups_is_served_as_before(make_fleet, engine):
    fleet = make_fleet(Fault.CRASH, engine=engine)
    check_broken(fleet.call())
    ((run,),) = fleet.list_arrivals().values()
    assert b"x-rosemarystream-kv-backup" not in run.headers


def test_a_stream_breaks_if_its_backup_server_is_gone_too(make_fleet):
    fleet = make_fleet(Fault.CRASH)
    for engine in fleet.engines:
        engine.on_crash = lambda crashed: [e.stop() for e in fleet.engines]
    check_broken(fleet.call())
    assert len(fleet.list_arrivals()) == 1
    assert fleet.count_metric("retries") == 0


def test_a_stream_breaks_if_its_continuation_breaks(make_fleet):
    fleet = make_fleet(Fault.CRASH, engines=3)
    fleet.engines[0].faults.append(Fault.CUT)
    for engine in fleet.engines:
        engine._cut_after = 2
    reply = fleet.call()
    assert (reply.status, reply.complete) == (200, False)
    assert list_event_ids(reply.body) == [1, 2, 3, 4]
    assert len(fleet.list_arrivals()) == 2


def test_a_request_is_not_run_again_without_a_copy(make_fleet):
    fleet = make_fleet(Fault.CRASH)
    for engine in fleet.engines:
        engine.copies.has_room = False
    check_broken(fleet.call())
    assert len(fleet.list_arrivals()) == 1
    assert fleet.other.arrivals == 1


def test_a_run_is_stopped_before_it_goes_on_elsewhere(make_fleet):
    fleet = make_fleet(Fault.RESET_AND_RUN)
    active = []
    for engine in fleet.engines:
        engine.copies.on_run = lambda: active.append(
            [e.name for e in fleet.engines if e.copies.active]
        )
    check_whole(fleet, fleet.call())
    assert active == [[fleet.first.name], [fleet.other.name]]
    (move,) = fleet.first.copies.moves
    request_id = fleet.first.runs[0].request_id
    assert move == {"id": request_id, "to": fleet.other.address, "last": True}
    source = fleet.other.runs[0].headers[b"kv-from"].decode()
    assert source == f"{fleet.first.address}/h1"


def test_a_run_that_could_not_be_moved_goes_on_where_it_stopped(make_fleet):
    fleet = make_fleet(Fault.RESET_AND_RUN)
    for engine in fleet.engines:
        engine.copies.move_answers = [503]
    check_whole(fleet, fleet.call())
    (runs,) = fleet.list_arrivals().values()
    assert len(runs) == 2
    assert runs[1].headers[b"kv-from"].decode().endswith("/h1")


def test_a_handle_that_is_not_used_is_freed(make_fleet):
    """Otherwise the memory of the run stays taken until the handle expires."""
    fleet = make_fleet(Fault.RESET_AND_RUN)
    for engine in fleet.engines:
        engine.copies.take_source = lambda headers, request_id: (
            b"kv-from" not in headers
        )
    check_broken(fleet.call())
    assert fleet.other.arrivals == 1
    assert fleet.first.copies.moves
    assert not fleet.first.copies.handles


def test_a_server_that_is_busy_with_a_run_is_asked_again(make_fleet):
    fleet = make_fleet(Fault.RESET_AND_RUN)
    for engine in fleet.engines:
        engine.copies.move_answers = [409, None, 409]
    check_whole(fleet, fleet.call())
    assert len(fleet.first.copies.moves) == 4


@pytest.mark.parametrize("status", [400, 409, 429, 500])
def test_a_stream_breaks_if_its_server_does_not_say_that_it_stopped(make_fleet, status):
    fleet = make_fleet(Fault.RESET_AND_RUN)
    for engine in fleet.engines:
        engine.copies.move_answers = [status] * 100
    check_broken(fleet.call())
    assert len(fleet.list_arrivals()) == 1
    assert fleet.count_metric("streams_not_continued") == 1


def test_a_stream_breaks_if_its_server_cannot_be_asked(make_fleet):
    """A server that accepts connections and answers nothing may be at work."""
    fleet = make_fleet(Fault.RESET_AND_RUN)
    for engine in fleet.engines:
        engine.copies.move_delay_s = 30.0
    check_broken(fleet.call())
    assert len(fleet.list_arrivals()) == 1


def test_a_server_that_moves_no_runs_counts_as_at_work_while_it_accepts(make_fleet):
    fleet = make_fleet(Fault.RESET_AND_RUN, engine={**ENGINE, "moves": False})
    check_broken(fleet.call())
    assert len(fleet.list_arrivals()) == 1
    assert not fleet.first.copies.moves


def test_another_server_at_the_address_of_a_crashed_one_is_not_taken_for_it(make_fleet):
    fleet = make_fleet(Fault.CRASH)
    for engine in fleet.engines:
        engine.on_crash = fleet.world.replace_server
    check_whole(fleet, fleet.call())


def test_a_stream_ends_with_its_time_while_its_server_is_asked(make_fleet):
    fleet = make_fleet(Fault.RESET_AND_RUN)
    for engine in fleet.engines:
        engine.copies.move_delay_s = 0.5
    began = time.monotonic()
    check_broken(fleet.call(wait_ms=300))
    assert time.monotonic() - began < 0.5
    assert len(fleet.list_arrivals()) == 1


def test_a_caller_that_leaves_meanwhile_has_nothing_continued(make_fleet):
    fleet = make_fleet(Fault.RESET_AND_RUN)
    for engine in fleet.engines:
        engine.copies.move_delay_s = 0.3
    caller = Caller(fleet.host.ip)
    caller.send("/brief/1", headers=HEADERS)
    wait_until(lambda: any(e.copies.moves for e in fleet.engines))
    reset_connection(caller.socket)
    gevent.sleep(0.6)
    assert len(fleet.list_arrivals()) == 1
    assert not fleet.host.gateway._router.backups.table.copies
    assert fleet.count_metric("retries") == 0


def test_a_continuation_is_cancelled_when_its_caller_leaves(make_fleet):
    fleet = make_fleet(Fault.CRASH)
    for engine in fleet.engines:
        engine.work_s = 0.05
    caller = Caller(fleet.host.ip)
    caller.send("/brief/1", headers=HEADERS)
    received = b""
    while b"id: 4" not in received:
        received += caller.socket.recv(65_536)
    reset_connection(caller.socket)
    wait_until(lambda: fleet.other.runs[0].cancelled)
    assert fleet.count_metric("retries") == 1


def test_two_requests_with_one_id_are_not_continued(make_fleet):
    """A copy may belong to either of them, as servers tell runs apart by id."""
    fleet = make_fleet(Fault.NONE)
    for engine in fleet.engines:
        engine.work_s = 0.1
    callers = [Caller(fleet.host.ip) for _ in range(2)]
    fleet.engines[0].faults[:] = [Fault.CRASH, Fault.NONE]
    for caller in callers:
        caller.send("/brief/1", headers=HEADERS, request_id="same")
    replies = [caller.read() for caller in callers]
    assert [reply.complete for reply in replies].count(False) >= 1
    assert all(b"kv-from" not in run.headers for e in fleet.engines for run in e.runs)


def test_a_request_of_another_route_with_the_same_id_counts_too(make_fleet):
    """A move by the id could stop the other one, and leave this one at work."""
    fleet = make_fleet(Fault.NONE)
    for engine in fleet.engines:
        engine.work_s = 0.1
    other, caller = Caller(fleet.host.ip), Caller(fleet.host.ip)
    other.send("/chat/1", headers=HEADERS, request_id="same")
    wait_until(fleet.list_arrivals)
    fleet.engines[0].faults[:] = [Fault.RESET_AND_RUN]
    caller.send("/brief/1", headers=HEADERS, request_id="same")
    check_broken(caller.read())
    assert other.read().complete
    assert not any(engine.copies.moves for engine in fleet.engines)


FAULTS = (Fault.NONE, Fault.RESET_AND_RUN, Fault.CUT, Fault.CORRUPT_EVENT)
MOVE_ANSWERS = (200, 200, 404, 409, 503, 500, None)


@pytest.mark.parametrize("seed", range(3))
def test_whatever_fails_no_event_is_lost_and_no_run_is_at_two_servers(make_fleet, seed):
    draw = random.Random(seed)
    fleet = make_fleet(Fault.NONE, engines=4)
    fleet.host.gateway._router.reserve_retry = lambda service, now: True
    twice = []

    def note_runs_at_two_servers():
        active = Counter(name for e in fleet.engines for name in e.copies.active)
        twice.extend(name for name, count in active.items() if count > 1)

    fleet.engines[0].faults[:] = draw.choices(FAULTS, k=200)
    for engine in fleet.engines:
        # A run that is only cut is cancelled: 404 is due for it, never for others.
        engine.copies.move_answers = [
            status if status != 404 else 200
            for status in draw.choices(MOVE_ANSWERS, k=200)
        ]
        engine.copies.has_room = draw.random() < 0.8
        engine.copies.on_run = note_runs_at_two_servers
    calls = [gevent.spawn(fleet.call) for _ in range(60)]
    replies = [call.get() for call in calls]
    assert not twice
    for reply in replies:
        events = list_event_ids(reply.body)
        assert events == ALL_EVENTS[: len(events)]
        assert reply.body.count(b"data: piece") == len(events)
        assert reply.complete == (events == ALL_EVENTS)
    assert fleet.count_metric("streams_continued") > 0
    assert fleet.count_metric("streams_not_continued") > 0
    assert not fleet.host.gateway._router.backups.table.copies


def test_a_continuation_needs_the_retry_budget(make_fleet):
    fleet = make_fleet(Fault.CRASH)
    fleet.host.gateway._router.reserve_retry = lambda service, now: False
    check_broken(fleet.call())
    assert len(fleet.list_arrivals()) == 1


def make_gap(run):
    """Return events of which a continuation leaves the first out."""
    first = int(run.headers.get(b"last-event-id", b"-1")) + 2
    return enumerate(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, EVENTS + 1)
    )


def make_from_start(run):
    """Return all events, also of a continuation, which has to begin later."""
    return enumerate(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in ALL_EVENTS)


def make_unnumbered_repeats(run):
    """Return all events; those between two numbers can't be told from new ones."""
    names = {1: b"id: 1\n", 3: b"id: 2\n", 8: b"id: 3\n"}
    return enumerate(
        b"%sdata: piece %d\n\n" % (names.get(n, b""), n) for n in ALL_EVENTS
    )


def test_a_continuation_with_a_gap_ends_broken(make_fleet, monkeypatch):
    monkeypatch.setattr(backend_server, "_list_events", make_gap)
    check_broken(make_fleet(Fault.CRASH).call())


def test_events_that_the_caller_has_are_not_repeated(make_fleet, monkeypatch):
    monkeypatch.setattr(backend_server, "_list_events", make_from_start)
    fleet = make_fleet(Fault.CRASH)
    check_whole(fleet, fleet.call())


def test_events_without_numbers_are_not_repeated_either(make_fleet, monkeypatch):
    monkeypatch.setattr(backend_server, "_list_events", make_unnumbered_repeats)
    reply = make_fleet(Fault.CRASH).call()
    assert not reply.complete
    assert reply.body.count(b"data: piece") == 3
