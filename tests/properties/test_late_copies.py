"""No order of refusals, answers and second copies of both breaks a promise to callers.

Guards against a second copy that is taken for the answer to another send of a request:
a caller is then told "not run" of a request that runs, or it runs twice. A seed fixes
what is drawn; the times are real ones.
``python -m tests.properties.test_late_copies FIRST COUNT`` tries other seeds; of a
single one it prints what servers and callers saw.
"""

import contextlib
import random
import re
import sys
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple
from unittest.mock import patch

import gevent
import msgspec
import pytest
from gevent.pool import Pool

from rosemarystream._internal.decisions import timeouts
from rosemarystream._internal.gateway.answer_writer import CallerDisconnectedError
from rosemarystream._internal.gateway.process import Gateway
from rosemarystream._internal.gateway.request_errors import HostStoppedError
from rosemarystream._internal.gateway.request_reader import Request
from rosemarystream._internal.gateway.settings import GatewaySettings
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.platform.documents import decode_configuration
from rosemarystream._internal.platform.headers import REQUEST_ID
from tests.lib.entry_world import HOST, make_configuration, make_route
from tests.lib.late_copies import (
    COPIES,
    Step,
    SteppedServer,
    draw_step,
    make_answer_writer,
)

CASES = 400
CASES_AT_ONCE = 16
# Statuses that promise that the request has not run and won't.
PROMISES = (408, 421, 429, 503)
# Numbers of requests in the head and the body of an answer.
MARKS = rb"(?:x-number|data): (\d+)"
REPEATABLE = "look"
# Time of an attempt after which another server is asked as well.
ATTEMPT_TIMEOUT_S = 0.02
SETTLING_S = 0.005
BOUNDS = {"timeout-ms": 250, "max-attempts": 3, "slo-ms": 1}
KINDS = {"book": "non_idempotent", "brief": "streaming", REPEATABLE: "idempotent"}
ROUTES = [make_route(name, kind, **BOUNDS) for name, kind in KINDS.items()]
CONFIGURATION = msgspec.json.encode(make_configuration(3, ROUTES, keys=()))
HOST_SECTION = {
    "name": "h1",
    "data_centre": "a",
    "ip": "127.0.0.1",
    "caller_address": "127.0.0.1:1",
    "ready_address": "127.0.0.1:2",
    "peer_port": 3,
    "metrics_port": 4,
}
DOCUMENT = {"host": HOST_SECTION, "platform": {"address": "127.0.0.1:5"}}
SETTINGS = msgspec.convert(DOCUMENT, GatewaySettings)
SUPERVISOR = Supervisor(clock=time.monotonic)


class Sending(NamedTuple):
    """A caller's request.

    Attributes
    ----------
    begins_ms : int
        Time after the one before has begun, or has ended if `waits`.
    repeats, keeps_id : bool
        Whether the caller sends it again if the answer promises that it hasn't run, and
        whether it then has the same id.
    ending : type or None
        What ends it after `ends_ms`: the caller leaves, or the host stops.
    """

    route: str
    method: str
    begins_ms: int
    waits: bool
    repeats: bool
    keeps_id: bool
    ending: type | None
    ends_ms: int


class Case(NamedTuple):
    """Steps of each server, the requests, and times until permissions are given."""

    steps: list[list[Step]]
    sendings: list[Sending]
    permission_ms: list[int]


def draw_case(seed):
    draw = random.Random(seed)
    # Most copies of a case come alike, so that each kind meets all that follows.
    usual_copy = draw.choice(COPIES)

    def draw_sending():
        return Sending(
            route=draw.choice(["book", "book", "brief", REPEATABLE]),
            method=draw.choice([*["POST"] * 4, "GET", "HEAD"]),
            begins_ms=draw.choice([0, 0, 1, 4, 10]),
            waits=draw.random() < 0.6,
            repeats=draw.random() < 0.6,
            keeps_id=draw.random() < 0.5,
            ending=draw.choice(
                [*[None] * 8, CallerDisconnectedError, HostStoppedError]
            ),
            ends_ms=draw.choice([2, 8, 20]),
        )

    return Case(
        steps=[
            [draw_step(draw, usual_copy) for _ in range(8)]
            for _ in range(draw.choice([1, 1, 2]))
        ],
        sendings=[draw_sending() for _ in range(draw.randint(2, 6))],
        permission_ms=[draw.choice([0, 0, 0, 3, 12]) for _ in range(12)],
    )


class CaseRun:
    """One case, on an entry host of its own that is given requests without sockets."""

    def __init__(self, seed):
        self.seed, self.trace, self.replies = seed, [], []
        self._case = draw_case(seed)
        self._began_at = time.monotonic()
        self._permission_ms = iter(self._case.permission_ms)
        self._servers = [
            SteppedServer(f"s{number}", steps, self._record)
            for number, steps in enumerate(self._case.steps)
        ]
        self._host = Gateway(settings=SETTINGS, path=Path(), supervisor=SUPERVISOR)
        replica = self._host._replica
        replica.accept_configuration(decode_configuration(CONFIGURATION), b"")
        for server in self._servers:
            entry = (server.name, "plain", server.address, "a", 64)
            replica.accept_endpoint(Endpoint(*entry, ServerState.READY, 1, 5))
        self._host._gate.admit = self._admit

    def _record(self, line):
        self.trace.append(f"{(time.monotonic() - self._began_at) * 1000:6.1f} {line}")

    def _admit(self, _):
        gevent.sleep(next(self._permission_ms, 0) / 1000)
        return True

    def run(self):
        calls = []
        for number, sending in enumerate(self._case.sendings):
            if sending.waits:
                gevent.joinall(calls)
            gevent.sleep(sending.begins_ms / 1000)
            calls.append(gevent.spawn(self._call, sending, f"r{number}"))
        gevent.joinall(calls, raise_error=True)
        self._host._pool.close_others([])
        # Until the servers have read what was sent last.
        gevent.sleep(SETTLING_S)
        for server in self._servers:
            server.stop()
        return self

    def _call(self, sending, request_id):
        status = self._send(sending, request_id)
        if sending.repeats and status in PROMISES:
            new_id = request_id if sending.keeps_id else f"{request_id}-again"
            self._send(sending._replace(ending=None), new_id)

    def _send(self, sending, request_id):
        number, sent = len(self.replies) + 1, bytearray()
        self.replies.append((number, sending.route, 0, b""))
        self._record(f"caller sends {number} as {request_id}: {sending}")
        method = sending.method.encode()
        answer = make_answer_writer(method, sent)
        headers = [(b"host", HOST.encode()), (REQUEST_ID, request_id.encode())]
        target, body = f"/{sending.route}/{number}", b"x" * (method == b"POST")
        request = Request(method, target.encode(), headers, body, time.monotonic())
        serving = gevent.spawn(self._serve, request, answer)
        serving.join(sending.ends_ms / 1000 if sending.ending else None)
        if sending.ending is not None:
            serving.kill(sending.ending)
        self._record(f"caller gets {answer.status} for {number}: {bytes(sent)!r}")
        self.replies[number - 1] = (number, sending.route, answer.status, bytes(sent))
        return answer.status

    def _serve(self, request, answer):
        with contextlib.suppress(CallerDisconnectedError, HostStoppedError):
            self._host._relay.serve(request, answer)

    def find_faults(self):
        """Return what breaks a rule, by what servers ran and callers got."""
        runs = Counter(number for server in self._servers for number in server.runs)
        faults = []
        for number, route, status, sent in self.replies:
            if {number} < {number, *map(int, re.findall(MARKS, sent))}:
                faults.append(f"{number} got the answer to another request")
            if b"unexpected error" in sent:
                faults.append(f"{number} met an unexpected error of the host")
            if route != REPEATABLE and status in PROMISES and runs[number]:
                faults.append(f"{number} was answered {status} and has run")
            if route != REPEATABLE and runs[number] > 1:
                faults.append(f"{number} ran {runs[number]} times")
        return faults


def try_cases(seeds):
    """Run cases, some at once; yield each in the order of the seeds."""
    with patch.object(timeouts, "MIN_ATTEMPT_TIMEOUT_S", ATTEMPT_TIMEOUT_S):
        yield from Pool(CASES_AT_ONCE).imap(lambda seed: CaseRun(seed).run(), seeds)


@pytest.mark.long
def test_no_order_of_second_copies_breaks_a_promise():
    for case in try_cases(range(CASES)):
        faults = case.find_faults()
        assert not faults, "\n".join([f"seed {case.seed}", *faults, *case.trace])


def main():
    first, count = map(int, sys.argv[1:])
    statuses, broken = Counter(), 0
    for case in try_cases(range(first, first + count)):
        statuses.update(status for _, _, status, _ in case.replies)
        if faults := case.find_faults():
            broken += 1
            print(case.seed, *faults, sep="; ", flush=True)
        if count == 1:
            print(*case.trace, sep="\n")
    print(f"{broken} of {count} break a rule; statuses {sorted(statuses.items())}")


if __name__ == "__main__":
    main()
