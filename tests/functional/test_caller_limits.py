"""What callers meet at the limits of a host, and within them."""

import msgspec
import pytest

from bench.callers import Fleet, Load
from rosemarystream._internal.gateway.caller_resources import UNSERVED_PER_S
from standins.backend_server import Fault
from tests.functional.test_request_endings import caller, frame, host, world
from tests.lib.entry_world import Caller, wait_until

__all__ = ["caller", "host", "world"]

SMALL_MACHINE = """[resources]
memory_mb = 160
max_descriptors = 1000
connections_per_address = 3
"""
LONGEST_BODY = 4_194_304
# Callers that leave at once, and the requests that each has sent together.
LEAVING, SENT_AHEAD = 100, 20
# Bytes behind a request: more than the process reads ahead, and no more than it and the
# receive buffer of the connection take.
PIPELINED_BYTES = 380_000
UNREAD_S = 12.0


@pytest.fixture
def fleet(tmp_path):
    created = Fleet(tmp_path, SMALL_MACHINE)
    yield created
    created.stop()


def read_entries(fleet, message):
    lines = fleet.host.log.read_bytes().splitlines()
    entries = [msgspec.json.decode(line) for line in lines if line.startswith(b"{")]
    return [entry for entry in entries if entry["message"] == message]


def test_the_longest_body_is_served_by_the_smallest_machine(fleet):
    # Guards against a budget that is too small for one request within the limits.
    caller = Caller(fleet.host.ip)
    assert caller.call("/calm/1", body=b"x" * LONGEST_BODY).status == 200
    caller.close()


def test_a_connection_beyond_those_of_its_address_is_refused_as_not_run(fleet):
    callers = [Caller(fleet.host.ip) for _ in range(3)]
    assert all(caller.call("/calm/1").status == 200 for caller in callers)
    refused = Caller(fleet.host.ip).read()
    assert (refused.status, refused.headers[b"retry-after"]) == (429, b"0.500")
    assert msgspec.json.decode(refused.body)["execution"] == "not_run"
    callers.pop().close()
    wait_until(fleet.is_answered)


def test_a_stream_that_is_not_read_is_ended_and_its_server_not_blamed(fleet):
    # Guards against a host that reads on for a caller that doesn't, or lets the server
    # cut the stream off and counts that as a failure of the server.
    process = fleet.start_load(Load("streams", 1, 300), UNREAD_S)

    def list_ended():
        return read_entries(fleet, "request without a whole answer")

    wait_until(list_ended, seconds=UNREAD_S)
    assert process.poll() is None
    (ended,) = list_ended()
    assert ended["cause"] == "caller_gone"
    assert ended["reason"] == "the caller did not read its answer in time"
    assert not read_entries(fleet, "attempt broke")


def test_a_caller_that_leaves_behind_unread_requests_is_noticed(world, host, caller):
    # Guards against work that goes on for a caller whose pipelined bytes hide its end.
    world.servers["p1"].faults = [Fault.HANG]
    caller.socket.sendall(frame("/book/1", "r1") + b"x" * PIPELINED_BYTES)
    wait_until(lambda: world.servers["p1"].runs)
    caller.close()
    # Well before the time limit of the request, of 2 s.
    wait_until(lambda: world.servers["p1"].runs[0].cancelled, seconds=1.0)


# A host that counted the unserved requests of 800 callers as they left, 32 of each,
# answered nobody for five seconds (uncontrolled_callers[unknown-800], beside load).
def test_of_many_callers_that_leave_at_once_few_requests_are_counted(world, host):
    world.servers["p1"].work_s = 1.0
    callers = [Caller(host.ip) for _ in range(LEAVING)]
    for each in callers:
        each.socket.sendall(frame("/look/1", "r") * SENT_AHEAD)
    wait_until(lambda: world.servers["p1"].arrivals)
    for each in callers:
        each.close()
    wait_until(lambda: host.read_state()["requests"]["in_progress"] == 0)
    requests = host.read_state()["requests"]
    assert requests["difference"] == 0
    # The callers leave within a second or two.
    assert LEAVING < requests["begun"] <= LEAVING + 3 * UNSERVED_PER_S
