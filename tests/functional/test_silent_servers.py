"""Sound servers that fall silent for a second or so, and go on with their answer."""

import itertools

import gevent
import pytest

from standins.backend_server import EVENTS, Fault
from tests.lib.entry_world import (
    World,
    list_event_ids,
    make_configuration,
    make_route,
    wait_until,
)

PAUSE_S = 1.3
# Calls of a caller that is ready to wait for two such pauses.
WAIT_MS = 4000
# Interval of the configurations that come into force while servers are silent.
CONFIGURATION_S = 0.2
# Time until the retries, used up before, are free again: two time limits of an attempt.
FREE_AGAIN_S = 0.8
PATHS = ["/look/1", "/book/1", "/chat/1", "/brief/1"]
PAUSES = [Fault.PAUSE, Fault.PAUSE_IN_HEAD, Fault.PAUSE_IN_BODY]
STREAM = {"service": "engines", "sticky": True, "gap-aim-ms": 250}
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)


def make_routes(max_attempts):
    """Return routes of all kinds; a pause is longer than what a server is given."""
    shared = {"timeout-ms": WAIT_MS, "max-attempts": max_attempts}
    return [
        make_route("look", "idempotent", **shared),
        make_route("book", "non_idempotent", **shared),
        make_route("chat", "streaming", resumable=True, **STREAM, **shared),
        make_route("brief", "streaming", **STREAM, **shared),
    ]


class Fleet:
    """A host before two plain servers and two engines, all of them silent at times."""

    def __init__(self, max_attempts):
        self.world = World()
        self._versions = itertools.count(4)
        self._max_attempts = max_attempts
        self.write_configuration()
        for number in (1, 2):
            self.world.add_server(f"p{number}")
            self.world.add_server(f"e{number}", "engines")
        self.host = self.world.add_host("h1")
        wait_until(lambda: len(self.host.list_servers()) == 4)

    def write_configuration(self):
        routes = make_routes(self._max_attempts)
        document = make_configuration(next(self._versions), routes)
        self.world.store.write("config", "main", document)

    def use_up_retries(self):
        router = self.host.gateway._router
        for service in ("plain", "engines"):
            while router.take_retry(service):
                pass

    def free_retries(self):
        gateway = self.host.gateway
        gateway._router.set_bounds(gateway._settings.bounds)

    def pause_all(self, fault):
        """Let each server pause in its next answers."""
        for server in self.world.servers.values():
            server.pause_s = PAUSE_S
            server.faults = [fault] * 8


@pytest.fixture(params=[1, 2], ids=["one_attempt", "two_attempts"])
def fleet(request):
    created = Fleet(request.param)
    yield created
    created.world.stop()


@pytest.fixture(params=[False, True], ids=["retries_left", "retries_used_up"])
def uses_up_retries(request):
    return request.param


def is_whole(path, reply):
    if reply.status != 200 or not reply.complete:
        return False
    if path in ("/look/1", "/book/1"):
        return reply.body.startswith(b"done by")
    return list_event_ids(reply.body) == [*range(1, EVENTS + 1)]


@pytest.mark.parametrize("fault", PAUSES)
def test_a_pause_of_a_sound_server_costs_no_caller_the_answer(
    fleet, uses_up_retries, fault
):
    """New configurations come into force meanwhile."""
    if uses_up_retries:
        fleet.use_up_retries()
    fleet.pause_all(fault)
    calls = {
        path: gevent.spawn(fleet.host.call, path, headers=HEADERS, wait_ms=WAIT_MS)
        for path in PATHS
    }
    while not all(call.ready() for call in calls.values()):
        fleet.write_configuration()
        gevent.sleep(CONFIGURATION_S)
    lost = [path for path, call in calls.items() if not is_whole(path, call.get())]
    assert lost == []


def test_a_server_that_stays_silent_is_left_once_another_attempt_is_allowed():
    """The retries are used up when the server falls silent, and free again later."""
    fleet = Fleet(max_attempts=2)
    fleet.use_up_retries()
    faults = [Fault.HANG]
    for server in fleet.world.servers.values():
        server.faults = faults
    gevent.spawn_later(FREE_AGAIN_S, fleet.free_retries)
    reply = fleet.host.call("/look/1", wait_ms=WAIT_MS)
    fleet.world.stop()
    assert is_whole("/look/1", reply)
