"""Loops and tasks of an entry host that raise unexpected errors."""

import time

import gevent
import pytest
from gevent import GreenletExit

from rosemarystream._internal.gateway import supervisor as module
from rosemarystream._internal.gateway.supervisor import (
    FAILING_BOUND_S,
    FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    SOUND_AFTER_S,
    Supervisor,
)

SECRET = "body of a caller"
STEP_S = 0.05


class OddError(Exception):
    """An error that no code expects."""


class FakeTime:
    """A clock, and pauses that move it and end after a number of starts."""

    def __init__(self):
        self.now = 100.0
        self.pauses = []

    def sleep(self, seconds):
        self.pauses.append(seconds)
        self.now += seconds


@pytest.fixture
def entries(monkeypatch):
    written = []
    monkeypatch.setattr(
        module, "write_log_entry", lambda log, entry: written.append(entry)
    )
    return written


@pytest.fixture
def fake_time(monkeypatch):
    created = FakeTime()
    monkeypatch.setattr(module.gevent, "sleep", created.sleep)
    return created


def run_loop(supervisor, runs):
    """Run a loop whose starts do the given things in turn, until it is killed."""
    steps = iter(runs)

    def run():
        step = next(steps, GreenletExit())
        if isinstance(step, BaseException):
            raise step
        step()

    task = supervisor.start_loop("rounds", run, is_needed=True)
    task.join(timeout=5)
    assert task.dead


def read_count(supervisor, name, label):
    metrics = {x.name: x for x in supervisor.metrics.registry.collect()}
    samples = metrics[f"rosemarystream_{name}"].samples
    return sum(
        x.value for x in samples if x.name.endswith("_total") and label in x[1].values()
    )


def test_an_error_is_counted_and_logged_without_its_text(entries, fake_time):
    supervisor = Supervisor(clock=lambda: fake_time.now)
    run_loop(supervisor, [OddError(SECRET)])
    (entry,) = entries
    assert (entry.loop, entry.error) == ("rounds", "OddError")
    assert entry.trace[-1].endswith(" run")
    assert entry.pause_ms == FIRST_PAUSE_S * 1000
    assert SECRET not in repr(entry)
    assert read_count(supervisor, "loop_failures", "rounds") == 1


def test_pauses_grow_up_to_a_limit_and_begin_anew_after_sound_work(entries, fake_time):
    supervisor = Supervisor(clock=lambda: fake_time.now)

    def work_soundly():
        fake_time.now += SOUND_AFTER_S + 1.0
        raise OddError

    run_loop(supervisor, [OddError()] * 8 + [work_soundly])
    pauses = fake_time.pauses
    assert pauses[:8] == sorted(pauses[:8])
    assert pauses[0] == FIRST_PAUSE_S
    assert pauses[7] == LONGEST_PAUSE_S
    assert pauses[8] == FIRST_PAUSE_S


def test_a_loop_that_returns_is_started_again(entries, fake_time):
    supervisor = Supervisor(clock=lambda: fake_time.now)
    run_loop(supervisor, [lambda: None, lambda: None])
    assert [entry.error for entry in entries] == ["LoopEndedError"] * 2


def test_a_timeout_that_nobody_catches_does_not_end_a_loop(entries, fake_time):
    supervisor = Supervisor(clock=lambda: fake_time.now)
    run_loop(supervisor, [gevent.Timeout(1.0)])
    assert [entry.error for entry in entries] == ["Timeout"]


def test_a_loop_that_is_killed_ends(entries):
    supervisor = Supervisor(clock=time.monotonic)
    starts = []

    def run():
        starts.append(1)
        raise OddError

    task = supervisor.start_loop("rounds", run)
    gevent.sleep(STEP_S)
    task.kill(timeout=1)
    assert task.dead
    gevent.sleep(FIRST_PAUSE_S + STEP_S)
    assert len(starts) == 1


def test_the_host_is_unsound_while_a_needed_loop_fails_beyond_its_bound(
    entries, fake_time
):
    supervisor = Supervisor(clock=lambda: fake_time.now)
    run_loop(supervisor, [OddError()])
    assert supervisor.is_sound()
    assert supervisor.list_failing()["rounds"]["error"] == "OddError"
    while fake_time.now < 100.0 + FAILING_BOUND_S + LONGEST_PAUSE_S:
        run_loop(supervisor, [OddError()])
    assert not supervisor.is_sound()
    fake_time.now += LONGEST_PAUSE_S + SOUND_AFTER_S
    assert supervisor.is_sound()
    assert supervisor.list_failing() == {}


def test_a_loop_that_serving_does_not_need_leaves_the_host_sound(entries, fake_time):
    supervisor = Supervisor(clock=lambda: fake_time.now)
    runs = iter([OddError()] * 20)

    def run():
        raise next(runs, GreenletExit())

    supervisor.start_loop("statsd", run).join(timeout=5)
    assert supervisor.list_failing()["statsd"]["failing_s"] > FAILING_BOUND_S
    assert supervisor.is_sound()


def test_a_step_that_raises_is_dropped_and_counted_without_a_pause(entries, fake_time):
    supervisor = Supervisor(clock=lambda: fake_time.now)

    def fail():
        raise OddError(SECRET)

    assert supervisor.run_step("receive", fail) is None
    assert supervisor.run_step("receive", lambda: 7) == 7
    assert fake_time.pauses == []
    assert [(x.loop, x.pause_ms) for x in entries] == [("receive", 0.0)]
    assert SECRET not in repr(entries)
    assert read_count(supervisor, "loop_failures", "receive") == 1


def test_an_error_in_a_task_is_counted_and_logged(entries):
    supervisor = Supervisor(clock=time.monotonic)

    def fail(text):
        raise OddError(text)

    assert supervisor.start_task("pull", fail, SECRET).get(timeout=1) is None
    (entry,) = entries
    assert (entry.task, entry.error) == ("pull", "OddError")
    assert SECRET not in repr(entry)
    assert read_count(supervisor, "task_failures", "pull") == 1


def test_a_log_that_fails_too_does_not_end_a_loop(monkeypatch, fake_time):
    def fail(log, entry):
        raise OddError

    monkeypatch.setattr(module, "write_log_entry", fail)
    supervisor = Supervisor(clock=lambda: fake_time.now)
    run_loop(supervisor, [OddError(), OddError()])
    assert read_count(supervisor, "loop_failures", "rounds") == 2
    assert read_count(supervisor, "loop_failures", module.REPORTS) == 2
