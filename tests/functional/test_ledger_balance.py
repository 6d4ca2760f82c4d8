"""The ledger of a real process beside the lists of its callers and servers."""

import itertools
import random
import signal

import gevent
import msgspec
import pytest

from standins.backend_server import Fault
from standins.link import reset_connection
from tests.lib.entry_world import (
    METRICS_PORT,
    Caller,
    Reply,
    World,
    get,
    make_configuration,
    wait_until,
)
from tests.lib.host_process import make_single_host
from tests.lib.ledger_checks import (
    is_of_server,
    list_balance_problems,
    list_log_problems,
    read_host_log,
)

SECONDS = 6.0
CALLERS = 12
PATHS = ["/look/1", "/book/1", "/chat/1", "/brief/1", "/nowhere/1"]
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)
FAULTS = [
    Fault.CUT,
    Fault.CLOSE,
    Fault.FAIL,
    Fault.TURN_AWAY,
    Fault.PAUSE,
    Fault.PAUSE_IN_BODY,
    Fault.TRICKLE,
]
FAULT_INTERVAL_S = 0.1
CONFIGURATION_INTERVAL_S = 0.4
LEAVING_SHARE = 0.02
# What these faults, and callers that leave, bring about.
CAUSES = {"server_broke_off", "timed_out", "caller_gone"}
NOT_RUN_STATUSES = (401, 404, 429, 503)


class Run:
    """Callers of one host process, and what they and the servers have seen."""

    def __init__(self, folder):
        self.world = World()
        for number in (1, 2):
            self.world.add_server(f"p{number}")
            self.world.add_server(f"e{number}", "engines")
        self.host = make_single_host(self.world, folder)
        self.host.start()
        wait_until(self.host.is_ready, seconds=15.0)
        self.replies = {}
        self.left = set()
        self.is_over = False
        self._rng = random.Random(1)
        self._numbers = itertools.count(1)

    def call_until_over(self):
        caller = Caller(self.host.ip)
        while not self.is_over:
            reply = self._call(caller)
            if not reply.complete or reply.headers.get(b"connection") == b"close":
                caller.close()
                caller = Caller(self.host.ip)
            gevent.sleep(self._rng.random() * 0.02)
        caller.close()

    def _call(self, caller):
        name = f"balance-{next(self._numbers)}"
        caller.send(
            self._rng.choice(PATHS), headers=HEADERS, request_id=name, wait_ms=800
        )
        if self._rng.random() < LEAVING_SHARE:
            # The host has read the request, whatever becomes of it.
            gevent.sleep(0.004)
            reset_connection(caller.socket)
            self.left.add(name)
            self.replies[name] = Reply(0, {}, b"", False)
        else:
            self.replies[name] = caller.read()
        return self.replies[name]

    def disturb_until_over(self):
        while not self.is_over:
            server = self._rng.choice([*self.world.servers.values()])
            server.faults.append(self._rng.choice(FAULTS))
            gevent.sleep(FAULT_INTERVAL_S)

    def reconfigure_until_over(self):
        for version in itertools.count(4):
            if self.is_over:
                return
            self.world.store.write("config", "main", make_configuration(version))
            self.host.send(signal.SIGHUP)
            gevent.sleep(CONFIGURATION_INTERVAL_S)

    def play(self):
        tasks = [gevent.spawn(self.call_until_over) for _ in range(CALLERS)]
        tasks.append(gevent.spawn(self.disturb_until_over))
        tasks.append(gevent.spawn(self.reconfigure_until_over))
        gevent.sleep(SECONDS)
        self.is_over = True
        gevent.joinall(tasks, timeout=10.0, raise_error=True)
        for fault in (Fault.CUT, Fault.TRICKLE):
            self._break_stream(fault)
        wait_until(lambda: not self.read_balance()["in_progress"])

    def _break_stream(self, fault):
        """Bring about an ending that the faults may not have met."""
        for server in self.world.servers.values():
            server.faults = [fault]
        caller = Caller(self.host.ip)
        name = f"balance-{next(self._numbers)}"
        caller.send("/brief/1", headers=HEADERS, request_id=name, wait_ms=800)
        self.replies[name] = caller.read()
        caller.close()

    def read_balance(self):
        body = get(self.host.ip, METRICS_PORT, "/v1/state").body
        return msgspec.json.decode(body)["requests"]

    def list_run(self):
        servers = self.world.servers.values()
        return {run.request_id for server in servers for run in server.runs}

    def end(self):
        self.host.stop()
        self.world.stop()


@pytest.fixture
def run(tmp_path):
    created = Run(tmp_path)
    yield created
    created.end()


def test_the_ledger_is_the_callers_list_and_that_of_the_servers(run):
    run.play()
    balance = run.read_balance()
    run.host.send(signal.SIGTERM)
    wait_until(lambda: run.host.process.poll() is not None, seconds=15.0)
    log = read_host_log(run.host.log)
    assert not log.left_out
    assert not list_balance_problems(balance, run.replies, log.unanswered, run.left)
    assert not list_log_problems(log, run.replies, CAUSES)
    (counted,) = log.counted
    assert counted["begun"] == balance["begun"]
    # Each kind of ending was met, so that it was compared.
    assert {*log.unanswered.values()} == CAUSES
    whole = {name: reply for name, reply in run.replies.items() if reply.complete}
    of_servers = {name for name, reply in whole.items() if is_of_server(reply)}
    has_run = run.list_run()
    assert of_servers <= has_run
    assert has_run <= {*run.replies}
    refused = [name for name, x in whole.items() if x.status in NOT_RUN_STATUSES]
    assert not has_run.intersection(refused) - of_servers
