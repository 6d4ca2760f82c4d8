"""Hosts that are told to stop while callers send requests until they are gone."""

import fcntl
import itertools
import os
import random
import signal
import time
from typing import NamedTuple

import gevent
import pytest

from standins.backend_server import Fault
from tests.lib.entry_world import (
    HOST,
    KEY,
    Caller,
    Reply,
    World,
    make_configuration,
    make_route,
    wait_until,
)
from tests.lib.host_process import make_single_host

SHUTDOWN_S = 5.0
# When a host ends what is left, and by when its process has to be gone.
END_S = SHUTDOWN_S - 0.4
GONE_S = SHUTDOWN_S
# When it has begun to refuse what may last longer.
REFUSING_S = 2.7
# When a host that has nothing to finish writes its last log entries.
IDLE_S = 2.56
READ_S = 15
# Time before a deadline from which an answer counts as ended by it.
DEADLINE_TOLERANCE_S = 0.05
# Requests that are sent sooner may be in progress at the end.
BOUND_S = 3.0
CLIENTS = 16
PATHS = ["/look/1", "/book/1", "/chat/1", "/brief/1"]
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)
STREAM = {"service": "engines", "sticky": True}
FAULTS = [Fault.NONE, Fault.PAUSE, Fault.HANG]
PROMISED_NOT_RUN = (429, 503)


def make_routes(timeout_ms):
    shared = {"timeout-ms": timeout_ms, "max-attempts": 1}
    return [
        make_route("look", "idempotent", **shared),
        make_route("book", "non_idempotent", **shared),
        make_route("chat", "streaming", **STREAM, **shared),
        make_route("brief", "streaming", **STREAM, **shared),
    ]


class Stop:
    """A host process that is told to stop, and what callers and servers see of it."""

    def __init__(self, folder, *, stdout=None, timeout_ms=20_000):
        self.world = World()
        self.write_configuration(4, timeout_ms)
        for number in (1, 2, 3):
            self.world.add_server(f"p{number}")
            self.world.add_server(f"e{number}", "engines")
        self.host = make_single_host(self.world, folder, stdout=stdout)
        self.set_shutdown(SHUTDOWN_S)
        self.host.start()
        wait_until(self.host.is_ready, seconds=15.0)
        self.told_at = 0.0

    def write_configuration(self, version, timeout_ms, **limits):
        document = make_configuration(version, make_routes(timeout_ms))
        document["limits"] |= {"idle-timeout-ms": 4000} | limits
        document["limits"]["header-timeout-ms"] = 4000
        self.world.store.write("config", "main", document)

    def set_shutdown(self, seconds):
        lines = self.host.settings.read_text().splitlines(keepends=True)
        kept = [line for line in lines if not line.startswith("shutdown_ms")]
        place = kept.index("[bounds]\n") + 1
        kept.insert(place, f"shutdown_ms = {seconds * 1000:.0f}\n")
        self.host.settings.write_text("".join(kept))

    def tell(self):
        self.host.send(signal.SIGTERM)
        self.told_at = time.monotonic()

    def sleep_until(self, seconds):
        gevent.sleep(max(0.0, self.told_at + seconds - time.monotonic()))

    def set_faults(self, fault, count=1):
        for server in self.world.servers.values():
            server.faults = [fault] * count

    def set_work(self, seconds):
        for server in self.world.servers.values():
            server.work_s = seconds

    def send(self, path, *, wait_ms=20_000, **changes):
        caller = Caller(self.host.ip)
        caller.socket.settimeout(READ_S)
        caller.send(path, wait_ms=wait_ms, headers=HEADERS, **changes)
        return caller

    def list_run(self):
        servers = self.world.servers.values()
        return {run.request_id for server in servers for run in server.runs}

    def wait_gone(self):
        left_s = self.told_at + GONE_S + 0.5 - time.monotonic()
        wait_until(lambda: self.host.process.poll() is not None, seconds=left_s)
        assert self.host.process.returncode == 0, self.host.log.read_text()[-2000:]

    def end(self):
        self.host.stop()
        self.world.stop()


@pytest.fixture
def stop(tmp_path):
    stop = Stop(tmp_path)
    yield stop
    stop.end()


class Exchange(NamedTuple):
    """A request of a client, and what came of it; times by the monotonic clock."""

    request_id: str
    sent_at: float
    due_at: float
    ended_at: float
    reply: Reply

    def list_problems(self, stop, run):
        """Return what the answer, or its lack, tells the caller wrongly."""
        has_run = self.request_id in run
        seen = f"{self.request_id} ran, got {self.reply.status}"
        if self.reply.status in PROMISED_NOT_RUN and has_run:
            return [f"{seen}, which promises that it has not"]
        if self.reply.complete or not has_run:
            return []
        if self.ended_at >= self.due_at - DEADLINE_TOLERANCE_S:
            return []
        may_be_cut = self.sent_at < stop.told_at + BOUND_S and self.reply.status == 200
        if may_be_cut and self.ended_at > stop.told_at + SHUTDOWN_S * 5 / 6:
            return []
        age_s = self.sent_at - stop.told_at
        return [f"{seen} and was cut, sent {age_s:.2f} s after the signal"]


@pytest.mark.parametrize("path", PATHS)
def test_a_request_that_is_due_right_before_the_end_is_answered(stop, path):
    stop.set_faults(Fault.HANG, 40)
    lasting = stop.send(path)
    stop.tell()
    stop.sleep_until(REFUSING_S)
    callers = []
    for due in range(-20, 8):
        due_s = END_S + due / 50 - (time.monotonic() - stop.told_at)
        callers.append(stop.send(path, wait_ms=int(due_s * 1000)))
    replies = [caller.read() for caller in callers]
    assert [reply.status for reply in replies if not reply.complete] == []
    assert {reply.status for reply in replies} <= {503, 504}
    lasting.close()
    stop.wait_gone()


@pytest.mark.parametrize("path", PATHS)
def test_a_request_without_any_answer_at_the_end_is_told_what_is_true(stop, path):
    stop.set_faults(Fault.HANG, 2)
    before = stop.send(path)
    gevent.sleep(0.1)
    stop.tell()
    stop.sleep_until(1.0)
    within = stop.send(path)
    for caller in (before, within):
        reply = caller.read()
        assert (reply.status, reply.complete) == (502, True), reply
        assert b'"execution":"unknown"' in reply.body
    stop.wait_gone()


@pytest.mark.parametrize("path", ["/chat/1", "/brief/1"])
def test_a_stream_that_had_begun_is_broken_visibly_at_the_end(stop, path):
    stop.set_work(1.2)
    stop.tell()
    stop.sleep_until(1.0)
    reply = stop.send(path).read()
    assert (reply.status, reply.complete) == (200, False), reply
    stop.wait_gone()


@pytest.mark.parametrize("sent", ["half_a_head", "half_a_body"])
def test_a_request_that_is_half_read_when_idle_connections_close_is_answered(
    stop, sent
):
    caller = Caller(stop.host.ip)
    caller.socket.settimeout(READ_S)
    data = (
        f"POST /look/1 HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        "X-Rosemarystream-Attempt-Id: half\r\nX-Rosemarystream-Deadline-Ms: 1500\r\n"
        "Content-Length: 1000\r\n\r\n"
    ).encode() + b"x" * 1000
    first = 40 if sent == "half_a_head" else len(data) - 500
    stop.tell()
    stop.sleep_until(2.0)
    caller.socket.sendall(data[:first])
    stop.sleep_until(REFUSING_S)
    caller.socket.sendall(data[first:])
    reply = caller.read()
    assert (reply.status, reply.complete) == (200, True), reply
    stop.wait_gone()


@pytest.mark.parametrize("pause_s", [0.02, 0.1, 0.3])
def test_a_caller_that_pauses_before_its_first_request_is_answered(stop, pause_s):
    """Guards against closing a connection as idle that has just been accepted."""
    stop.set_faults(Fault.HANG, 40)
    lasting = stop.send("/look/1")
    stop.tell()
    stop.sleep_until(REFUSING_S)
    callers = []
    for _ in range(5):
        callers.append(Caller(stop.host.ip))
        gevent.sleep(0.02)
    gevent.sleep(pause_s)
    for caller in callers:
        caller.socket.settimeout(READ_S)
        caller.send("/look/1")
    replies = [caller.read() for caller in callers]
    assert [(reply.status, reply.complete) for reply in replies] == [(503, True)] * 5
    # One that sends nothing is closed after all.
    silent = Caller(stop.host.ip)
    silent.socket.settimeout(1.0)
    assert silent.socket.recv(1) == b""
    lasting.close()
    stop.wait_gone()


def test_a_request_that_is_half_read_at_the_end_is_refused(stop):
    caller = Caller(stop.host.ip)
    caller.socket.settimeout(READ_S)
    stop.tell()
    stop.sleep_until(1.5)
    head = f"POST /look/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 9\r\n\r\n"
    caller.socket.sendall(head.encode() + b"half")
    reply = caller.read()
    assert (reply.status, reply.complete) == (503, True), reply
    stop.wait_gone()


def test_a_caller_that_still_sends_at_the_end_reads_the_refusal(stop):
    caller = Caller(stop.host.ip)
    caller.socket.settimeout(READ_S)
    stop.tell()
    head = f"POST /look/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 90000\r\n\r\n"
    caller.socket.sendall(head.encode())
    sending = gevent.spawn(_send_slowly, caller)
    reply = caller.read()
    sending.kill()
    assert (reply.status, reply.complete) == (503, True), reply
    stop.wait_gone()


def _send_slowly(caller):
    while True:
        caller.socket.sendall(b"x")
        gevent.sleep(0.002)


def test_a_host_whose_log_is_not_read_takes_nothing_on_at_its_end(tmp_path):
    reading, writing = os.pipe()
    stop = Stop(tmp_path, stdout=writing)
    stop.set_work(0.5)
    flags = fcntl.fcntl(writing, fcntl.F_GETFL)
    fcntl.fcntl(writing, fcntl.F_SETFL, flags | os.O_NONBLOCK)
    try:
        with pytest.raises(BlockingIOError):
            while True:
                os.write(writing, b"x")
        stop.tell()
        problems = []
        stop.sleep_until(IDLE_S)
        while stop.host.process.poll() is None:
            try:
                caller = stop.send("/book/1", wait_ms=1000)
            except OSError:
                gevent.sleep(0.01)
                continue
            gevent.spawn(_judge, stop, caller, problems)
            gevent.sleep(0.02)
        gevent.sleep(0.2)
        assert problems == []
    finally:
        stop.end()
        os.close(reading)
        os.close(writing)


def _judge(stop, caller, problems):
    reply = caller.read()
    if not reply.complete and reply.status == 0:
        problems.append(f"no answer {time.monotonic() - stop.told_at:.2f} s")


class Client:
    """Sends one request after the other on a kept connection until the host is gone."""

    def __init__(self, stop, number):
        self._stop = stop
        self._rng = random.Random(number)
        self._numbers = itertools.count(1)
        self._number = number
        self.exchanges = []

    def run(self):
        caller = None
        while self._stop.host.process.poll() is None:
            try:
                if caller is None:
                    caller = Caller(self._stop.host.ip)
                    caller.socket.settimeout(READ_S)
                sent_at = time.monotonic()
                wait_ms = self._rng.choice([150, 400, 800, 1500, 3000, 20_000])
                due_at = sent_at + wait_ms / 1000
                request_id = self._send(caller, wait_ms)
            except OSError:
                caller = None
                gevent.sleep(0.02)
                continue
            reply = caller.read()
            self.exchanges.append(
                Exchange(request_id, sent_at, due_at, time.monotonic(), reply)
            )
            if not reply.complete or reply.headers.get(b"connection") == b"close":
                caller.close()
                caller = None

    def _send(self, caller, wait_ms):
        return caller.send(
            self._rng.choice(PATHS),
            request_id=f"c{self._number}-{next(self._numbers)}",
            wait_ms=wait_ms,
            headers=HEADERS,
            body=b"x" * self._rng.choice([0, 10, 50_000]),
        )


def disturb_nothing(stop):
    return


def signal_again(stop):
    """Signal and reload within the grace, with a shorter one in the settings."""
    stop.set_shutdown(1.0)
    for _ in range(8):
        stop.host.send(signal.SIGTERM)
        stop.host.send(signal.SIGHUP)
        gevent.sleep(0.5)


def change_configuration(stop):
    """Lengthen the timeouts and shorten the idle time within the grace."""
    for version in range(10, 18):
        stop.write_configuration(
            version, 20_000 + version, **{"idle-timeout-ms": 2000 - 100 * version}
        )
        gevent.sleep(0.5)


@pytest.mark.alone
@pytest.mark.parametrize(
    "disturb", [disturb_nothing, signal_again, change_configuration]
)
def test_callers_that_go_on_until_the_process_is_gone_lose_no_answer(stop, disturb):
    rng = random.Random(7)
    works = itertools.cycle([0.005, 0.05, 0.3])
    for server in stop.world.servers.values():
        server.work_s = next(works)
        server.pause_s = 1.2
        server.faults = rng.choices(FAULTS, [40, 5, 1], k=5000)
    clients = [Client(stop, number) for number in range(CLIENTS)]
    running = [gevent.spawn(client.run) for client in clients]
    gevent.sleep(0.5)
    stop.tell()
    disturbing = gevent.spawn(disturb, stop)
    stop.wait_gone()
    gevent.joinall([*running, disturbing], timeout=READ_S)
    run = stop.list_run()
    exchanges = [exchange for client in clients for exchange in client.exchanges]
    problems = [
        problem
        for exchange in exchanges
        for problem in exchange.list_problems(stop, run)
    ]
    statuses = [exchange.reply.status for exchange in exchanges]
    assert problems == []
    assert statuses.count(200) > CLIENTS


# A reload that a busy host was told of together with its stop shortened the grace.
def test_a_stop_goes_by_the_settings_before_a_reload_that_arrives_with_it(stop):
    stop.set_work(2.0)
    reply = gevent.spawn(stop.send("/look/1").read)
    gevent.sleep(0.3)
    stop.host.send(signal.SIGSTOP)
    stop.tell()
    stop.set_shutdown(1.0)
    stop.host.send(signal.SIGHUP)
    stop.host.send(signal.SIGCONT)
    reply.join(timeout=READ_S)
    assert (reply.value.status, reply.value.complete) == (200, True)
    stop.wait_gone()


@pytest.mark.parametrize("after_s", [0.2, 0.5, 0.8, 1.1])
def test_a_host_that_is_told_to_stop_while_it_starts_loses_no_answer(stop, after_s):
    stop.host.stop()
    stop.set_work(0.3)
    stop.host.start()
    clients = [Client(stop, number) for number in range(CLIENTS)]
    running = [gevent.spawn(client.run) for client in clients]
    gevent.sleep(after_s)
    stop.tell()
    wait_until(lambda: stop.host.process.poll() is not None, seconds=GONE_S + 0.5)
    gevent.joinall(running, timeout=READ_S)
    run = stop.list_run()
    exchanges = [exchange for client in clients for exchange in client.exchanges]
    assert [x for e in exchanges for x in e.list_problems(stop, run)] == []
    # Before the process has set its handler, the signal ends it at once.
    assert stop.host.process.returncode in (0, -signal.SIGTERM)
    assert stop.host.process.returncode == 0 or not run
