"""Log entries of an entry host: format, size limit and a stalled log reader."""

import os
import time

import gevent
import logbook
import msgspec
import pytest

from rosemarystream._internal.gateway import logs
from rosemarystream._internal.gateway.logs import (
    MAX_ENTRY_BYTES,
    MAX_OVERFLOW_ENTRIES,
    MAX_QUEUED_ENTRIES,
    LogFilter,
    QueuedJsonHandler,
    write_log_entry,
)
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.log_entries.base import LogEntry
from rosemarystream._internal.models.log_entries.catalogue import LOG_ENTRIES
from rosemarystream._internal.models.log_entries.servers import (
    ServerRemoved,
    ServersListed,
)
from rosemarystream._internal.models.log_entries.store import StoreLost

# Time for two restarts of a loop and a write.
WRITTEN_S = 1.0

log = logbook.Logger("rosemarystream._internal.gateway.tested")


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


@pytest.fixture
def handler(pipe, monkeypatch):
    handler = QueuedJsonHandler(host="h1", level="info", descriptor=pipe[1])
    monkeypatch.setattr(logs, "log_filter", LogFilter())
    with handler.applicationbound():
        yield handler


def read_all(pipe, handler):
    handler.flush_queue()
    return [msgspec.json.decode(x) for x in os.read(pipe[0], 1_000_000).splitlines()]


def test_log_entry_has_common_fields_and_its_own(pipe, handler):
    write_log_entry(log, ServerRemoved(server="e1", revision=7))
    (entry,) = read_all(pipe, handler)
    assert entry.pop("time")
    assert entry == {
        "level": "info",
        "host": "h1",
        "logger": "tested",
        "message": "server removed",
        "server": "e1",
        "revision": 7,
    }


def test_entries_are_written_after_an_unexpected_error(pipe, handler, monkeypatch):
    flush_queue, errors = handler.flush_queue, [KeyError(), KeyError()]

    def fail_at_first():
        if errors:
            raise errors.pop()
        flush_queue()

    monkeypatch.setattr(handler, "flush_queue", fail_at_first)
    supervisor = Supervisor(clock=time.monotonic)
    loop = supervisor.start_loop("log_writes", handler.write_queued)
    try:
        write_log_entry(log, ServerRemoved(server="e1", revision=7))
        gevent.sleep(WRITTEN_S)
    finally:
        loop.kill()
    entries = [msgspec.json.decode(x) for x in os.read(pipe[0], 65_536).splitlines()]
    assert [x["message"] for x in entries] == ["server removed"] + ["loop failed"] * 2


def test_long_log_entry_is_truncated(pipe, handler):
    write_log_entry(log, StoreLost(watched="x", error="e" * 100_000))
    write_log_entry(
        log, ServersListed(updates=[f"server-{n}" for n in range(9_000)], revision=1)
    )
    for entry in read_all(pipe, handler):
        assert len(msgspec.json.encode(entry)) < MAX_ENTRY_BYTES


def test_count_of_dropped_log_entries_is_logged(pipe, handler):
    for number in range(StoreLost.limit_per_s + 20):
        write_log_entry(log, StoreLost(watched=str(number), error=""))
    handler._log_dropped_counts()
    *entries, summary = read_all(pipe, handler)
    assert len(entries) == StoreLost.limit_per_s
    assert summary["message"] == "log entries dropped"
    assert summary["counts"] == {"store lost": 20}
    assert logs.log_filter.dropped == 20


def test_log_entries_below_the_level_are_neither_written_nor_counted(pipe, handler):
    logs.log_filter.minimum_level = logbook.WARNING
    for _ in range(5_000):
        write_log_entry(log, ServerRemoved(server="e1", revision=7))
    write_log_entry(log, StoreLost(watched="x", error=""))
    assert len(read_all(pipe, handler)) == 1
    assert logs.log_filter.dropped == 0


def test_stalled_log_reader_drops_entries_without_blocking(handler, monkeypatch):
    monkeypatch.setattr(StoreLost, "limit_per_s", 10 * MAX_QUEUED_ENTRIES)
    writer = gevent.spawn(handler.write_queued)
    with gevent.Timeout(5):
        for number in range(3 * MAX_QUEUED_ENTRIES):
            write_log_entry(log, StoreLost(watched=str(number), error="e" * 100))
            gevent.sleep(0)
        handler.flush_at_end()
    writer.kill()
    assert logs.log_filter.dropped > 0
    assert len(handler._queue) <= MAX_QUEUED_ENTRIES + 1


def test_entries_that_have_to_be_logged_find_room_in_a_full_queue(handler, monkeypatch):
    monkeypatch.setattr(StoreLost, "limit_per_s", 10 * MAX_QUEUED_ENTRIES)
    for number in range(2 * MAX_QUEUED_ENTRIES):
        write_log_entry(log, StoreLost(watched=str(number), error=""))
    assert len(handler._queue) == MAX_QUEUED_ENTRIES
    monkeypatch.setattr(ServerRemoved, "limit_per_s", 10 * MAX_QUEUED_ENTRIES)
    monkeypatch.setattr(ServerRemoved, "may_overflow", True)
    for number in range(2 * MAX_OVERFLOW_ENTRIES):
        write_log_entry(log, ServerRemoved(server="e1", revision=number))
    assert len(handler._queue) == MAX_QUEUED_ENTRIES + MAX_OVERFLOW_ENTRIES
    assert logs.log_filter.dropped == MAX_QUEUED_ENTRIES + MAX_OVERFLOW_ENTRIES


@pytest.mark.parametrize("kind", LOG_ENTRIES.values(), ids=LOG_ENTRIES)
def test_no_field_of_an_entry_shadows_a_common_field(kind):
    common = {"time", "level", "host", "logger", "message", "exception"}
    assert not common & {field.name for field in msgspec.structs.fields(kind)}
    assert issubclass(kind, LogEntry)
