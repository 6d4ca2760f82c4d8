"""Servers that answer late, while the host is about to ask another one as well."""

import gevent
import pytest

from rosemarystream._internal.exceptions import ConnectError
from standins.backend_server import EVENTS, Fault
from tests.lib.entry_world import (
    World,
    list_event_ids,
    make_configuration,
    make_route,
    wait_until,
)

WAIT_MS = 5000
# The attempts of these routes may be silent for 0.6 and 1 s.
PAUSES_S = {"/look/1": 0.8, "/chat/1": 1.2}
# Longer than the pause lasts from there on.
PREPARATION_S = 1.5
FAULTS = {"/look/1": Fault.PAUSE, "/chat/1": Fault.PAUSE_IN_BODY}
SERVICES = {"/look/1": "plain", "/chat/1": "engines"}
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)


class Fleet:
    """A host before two servers; the one that is asked first pauses."""

    def __init__(self, path):
        self.path = path
        self.service = SERVICES[path]
        self.world = World()
        shared = {"timeout-ms": WAIT_MS, "max-attempts": 2}
        stream = {
            "service": "engines",
            "sticky": True,
            "resumable": True,
            "gap-aim-ms": 100,
        }
        routes = [
            make_route("look", "idempotent", **shared),
            make_route("chat", "streaming", **stream, **shared),
        ]
        self.world.store.write("config", "main", make_configuration(4, routes))
        faults = [FAULTS[path]]
        for name in ("s1", "s2"):
            server = self.world.add_server(name, self.service)
            server.faults = faults
            server.pause_s = PAUSES_S[path]
        self.host = self.world.add_host("h1")
        wait_until(lambda: len(self.host.list_servers()) == 2)

    @property
    def gateway(self):
        return self.host.gateway

    def call(self):
        return self.host.call(self.path, headers=HEADERS, wait_ms=WAIT_MS)

    def count_arrivals(self):
        return sum(server.arrivals for server in self.world.servers.values())

    def count_retries(self):
        return self.gateway._router.list_gauges()[self.service]["retries_left"]

    def use_up_retries(self):
        while self.gateway._router.take_retry(self.service):
            pass

    def replace_second(self, owner, name, replacement):
        """Replace a function from the moment at which the first server is asked."""
        original = getattr(owner, name)

        def call(*arguments):
            is_first = not self.count_arrivals()
            return (original if is_first else replacement)(*arguments)

        setattr(owner, name, call)


@pytest.fixture(params=[*FAULTS])
def fleet(request):
    created = Fleet(request.param)
    yield created
    created.world.stop()


def assert_whole(fleet, reply):
    assert (reply.status, reply.complete) == (200, True), reply
    if fleet.path == "/look/1":
        assert reply.body.startswith(b"done by")
    else:
        assert list_event_ids(reply.body) == [*range(1, EVENTS + 1)]


@pytest.mark.parametrize("place", ["permission", "connection"])
def test_an_answer_is_passed_on_while_another_server_is_prepared(fleet, place):
    """The other server then isn't asked, and no retry is counted."""
    ended = []

    def prepare(*_):
        gevent.sleep(PREPARATION_S)
        ended.append(True)
        if place == "connection":
            raise ConnectError("not in time")
        return True

    if place == "permission":
        fleet.replace_second(fleet.gateway._gate, "admit", prepare)
    else:
        fleet.replace_second(fleet.gateway._pool, "open", prepare)
    retries = fleet.count_retries()
    reply = fleet.call()
    assert_whole(fleet, reply)
    assert not ended
    gevent.sleep(PREPARATION_S)
    assert fleet.count_arrivals() == 1
    assert fleet.count_retries() >= retries


def test_a_permission_is_used_though_others_use_up_the_retries_meanwhile(fleet):
    permissions = []

    def permit(_):
        fleet.use_up_retries()
        permissions.append(True)
        return True

    fleet.replace_second(fleet.gateway._gate, "admit", permit)
    reply = fleet.call()
    assert_whole(fleet, reply)
    assert len(permissions) == fleet.count_arrivals() - 1 == 1


def test_no_permission_is_asked_for_without_a_retry(fleet):
    permissions = []
    fleet.replace_second(fleet.gateway._gate, "admit", permissions.append)
    fleet.use_up_retries()
    assert_whole(fleet, fleet.call())
    assert permissions == []


@pytest.mark.parametrize("place", ["permission", "connection"])
def test_a_retry_that_is_not_made_is_left_to_others(fleet, place):
    refused = []

    def refuse(*_):
        refused.append(True)
        if place == "connection":
            raise ConnectError("nobody listens")
        return False

    if place == "permission":
        fleet.replace_second(fleet.gateway._gate, "admit", refuse)
    else:
        fleet.replace_second(fleet.gateway._pool, "open", refuse)
    retries = fleet.count_retries()
    assert_whole(fleet, fleet.call())
    assert refused
    assert fleet.count_retries() >= retries
