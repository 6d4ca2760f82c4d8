"""Streams with events that bear no identifier, and that break off or stall."""

import pytest

from standins import backend_server
from standins.backend_server import Fault
from tests.lib.entry_world import World, make_configuration, make_route, wait_until

# Longer than a stream of the route may stall, shorter than its callers wait.
PAUSE_S = 1.3
WAIT_MS = 4000
COUNT = 8
HEADERS = (
    ("X-Rosemarystream-Model", "m"),
    ("X-Rosemarystream-Prompt-Prefix", "a:9,b:1"),
)
COMMENT = b": still at work\n\n"


def make_event(number, *, identifier=None):
    name = b"" if identifier is None else b"id: %d\n" % identifier
    return name + b"data: piece %d\n\n" % number


def make_event_with_some_ids(number):
    """Return an event; each third has an identifier, these are numbered from 1."""
    return make_event(number, identifier=None if number % 3 else number // 3)


def read_last_id(run):
    return int(run.headers.get(b"last-event-id", b"0"))


def list_without_ids(run):
    """Return all events, as no identifier says what the caller has."""
    return enumerate(make_event(n) for n in range(1, COUNT + 1))


def list_with_some_ids(run):
    """Return the events after the last that the caller has with an identifier."""
    numbers = range(3 * read_last_id(run) + 1, COUNT + 1)
    return enumerate(make_event_with_some_ids(n) for n in numbers)


def list_with_comments(run):
    """Return events with identifiers, and comments between them."""
    numbers = range(read_last_id(run) + 1, COUNT + 1)
    pairs = [(make_event(n, identifier=n), COMMENT) for n in numbers]
    return enumerate(part for pair in pairs for part in pair)


def list_with_unnamed_end(run):
    """Return events with identifiers but for the last, which says that it is."""
    numbers = range(read_last_id(run) + 1, COUNT + 1)
    events = [make_event(n, identifier=n) for n in numbers if n < COUNT]
    return enumerate([*events, make_event(COUNT)])


def list_numbers(reply):
    """Return the numbers of the pieces that a caller got whole."""
    events = reply.body.decode().split("\n\n")[:-1]
    words = [event.rpartition("data: piece ")[2] for event in events]
    return [int(word) for word in words if word.isdigit()]


class Fleet:
    """A host before two engines, one fault for whichever is asked first."""

    def __init__(self, fault, cut_after):
        self.world = World()
        shared = {"timeout-ms": WAIT_MS, "max-attempts": 2, "gap-aim-ms": 100}
        stream = {"service": "engines", "sticky": True, "resumable": True}
        routes = [make_route("chat", "streaming", **stream, **shared)]
        self.world.store.write("config", "main", make_configuration(4, routes))
        faults = [fault]
        for name in ("e1", "e2"):
            server = self.world.add_server(name, "engines")
            server.faults = faults
            server.pause_s = PAUSE_S
            server._cut_after = cut_after
        self.host = self.world.add_host("h1")
        wait_until(lambda: len(self.host.list_servers()) == 2)

    def call(self):
        return self.host.call("/chat/1", headers=HEADERS, wait_ms=WAIT_MS)

    def count_runs(self):
        return sum(len(server.runs) for server in self.world.servers.values())


@pytest.fixture
def make_fleet(monkeypatch):
    fleets = []

    def make(list_events, fault, cut_after=3):
        monkeypatch.setattr(backend_server, "_list_events", list_events)
        fleets.append(Fleet(fault, cut_after))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.world.stop()


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.TRICKLE, Fault.CORRUPT_EVENT])
def test_a_stream_without_ids_breaks_off_and_repeats_nothing(make_fleet, fault):
    fleet = make_fleet(list_without_ids, fault)
    reply = fleet.call()
    assert (reply.status, reply.complete) == (200, False)
    assert list_numbers(reply) == [1, 2, 3]
    assert fleet.count_runs() == 1


def test_a_stream_without_ids_is_not_left_when_it_stalls(make_fleet):
    fleet = make_fleet(list_without_ids, Fault.PAUSE_IN_BODY)
    reply = fleet.call()
    assert reply.complete
    assert list_numbers(reply) == [*range(1, COUNT + 1)]
    assert fleet.count_runs() == 1


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.PAUSE])
def test_a_stream_without_ids_goes_elsewhere_before_its_first_event(make_fleet, fault):
    fleet = make_fleet(list_without_ids, fault, cut_after=0)
    reply = fleet.call()
    assert reply.complete
    assert list_numbers(reply) == [*range(1, COUNT + 1)]
    assert fleet.count_runs() == 2


@pytest.mark.parametrize("cut_after", [3, 6])
@pytest.mark.parametrize("fault", [Fault.CUT, Fault.TRICKLE])
def test_a_stream_goes_on_right_after_an_event_with_an_id(make_fleet, fault, cut_after):
    fleet = make_fleet(list_with_some_ids, fault, cut_after)
    reply = fleet.call()
    assert reply.complete
    assert list_numbers(reply) == [*range(1, COUNT + 1)]


@pytest.mark.parametrize("cut_after", [1, 4, 5])
@pytest.mark.parametrize("fault", [Fault.CUT, Fault.TRICKLE])
def test_a_stream_breaks_off_after_an_event_without_id(make_fleet, fault, cut_after):
    fleet = make_fleet(list_with_some_ids, fault, cut_after)
    reply = fleet.call()
    assert (reply.status, reply.complete) == (200, False)
    assert list_numbers(reply) == [*range(1, cut_after + 1)]
    assert fleet.count_runs() == 1


@pytest.mark.parametrize("cut_after", [3, 4])
def test_a_comment_without_id_does_not_keep_a_stream_from_going_on(
    make_fleet, cut_after
):
    fleet = make_fleet(list_with_comments, Fault.CUT, cut_after)
    reply = fleet.call()
    assert reply.complete
    assert list_numbers(reply) == [*range(1, COUNT + 1)]
    assert fleet.count_runs() == 2


def test_a_last_event_without_id_follows_those_of_the_first_server(make_fleet):
    fleet = make_fleet(list_with_unnamed_end, Fault.CUT)
    reply = fleet.call()
    assert reply.complete
    assert list_numbers(reply) == [*range(1, COUNT + 1)]
