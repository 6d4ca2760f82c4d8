"""Messages of a broken or older host harm no other host."""

import math
import zlib

import msgspec
import pytest

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.pull_plan import StateKind
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway import state_pulls
from rosemarystream._internal.gateway.state_pulls import StatePuller
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.gossip import (
    GossipMessage,
    HostAddress,
    LoadScope,
    PullAnswer,
    PullRequest,
)
from tests.lib.gossip_world import GossipWorld

IP = "10.0.0.2"
DEEP = 5_000
LARGE = 2**64 - 1
MESSAGE = GossipMessage(
    sender=HostAddress("h1", "dc0", IP),
    sequence=5,
    version=0,
    revision=0,
    store_lost_ms=0,
    scope=LoadScope.HOST,
)
FIELDS = GossipMessage.__struct_fields__
ODD_FIELDS = [
    ("sender", ["h1", "dc0", "10.0.0.400"]),
    ("sender", ["h1", "dc0", "0.0.0.0"]),
    ("sender", ["h1", "dc0", "some.host.example"]),
    ("sender", ["h" * 60_000, "dc0", IP]),
    ("sender", ["", "dc0", IP]),
    ("sender", ["h1", "d" * 60_000, IP]),
    ("sequence", LARGE),
    ("sequence", -LARGE // 2),
    ("version", LARGE),
    ("version", -1),
    ("revision", LARGE),
    ("revision", -1),
    ("store_lost_ms", LARGE),
    ("store_lost_ms", -1),
    ("counts", {1: LARGE}),
    ("counts", {1: -1}),
    ("counts", {-1: 1}),
    ("prefill", {1: LARGE}),
    ("prefill", {1: -1}),
    ("ejected", [-1]),
    ("cache_updates", [[-1, 1]]),
    ("known_hosts", [["h7", "dc0", IP, LARGE]]),
    ("known_hosts", [["h7" * 9_000, "dc0", IP, 1]]),
    ("live_hosts", LARGE),
    ("live_hosts", -1),
    ("slowness", {1: [math.nan, 1]}),
    ("slowness", {1: [math.inf, 1]}),
    ("slowness", {1: [-1.0, 1]}),
    ("slowness", {1: [2.0, -LARGE // 2]}),
    ("limits", {1: [math.nan, 1]}),
    ("limits", {1: [-1.0, 1]}),
    ("limits", {1: [1.0, -5]}),
    ("crash_updates", [[[1, -5, [1]]]]),
    ("crash_updates", [[], [], [[1, 1, LARGE]]]),
    ("quota_question", [LARGE, 1, True]),
    ("quota_answer", [1, False, math.nan]),
    ("quota_answer", [1, False, -1.0]),
    ("evacuations", [["dc0", LARGE, True, 1]]),
    ("evacuations", [["dc0", -1, True, 1]]),
    ("evacuations", [["dc0", 5, True, -1]]),
    ("evacuations", [["dc0", 5, "yes", 1]]),
    ("evacuations", [["d" * 9_000, 5, True, 1]]),
    ("evacuations", [["", 5, True, 1]]),
    ("cold", {1: [LARGE, True]}),
    ("cold", {1: [-1, True]}),
]


def encode_message(**changes):
    return msgspec.msgpack.encode(
        [changes.get(name, getattr(MESSAGE, name)) for name in FIELDS]
    )


@pytest.fixture
def world():
    created = GossipWorld(hosts=3, data_centres=1)
    created.run(0.3)
    return created


@pytest.mark.parametrize(("field", "value"), ODD_FIELDS)
def test_a_message_with_a_field_out_of_its_range_changes_nothing(
    world, monkeypatch, field, value
):
    unreadable = []
    monkeypatch.setattr(
        "rosemarystream._internal.gateway.peering.write_log_entry",
        lambda log, entry: unreadable.append(entry.kind),
    )
    host = world.hosts["h0"]
    host.peering.accept_datagram(encode_message(**{field: value}), IP)
    assert len(unreadable) == 1
    world.run(1.0)
    assert host.loads.sum_fleet(world.now).counts.total() == 0


def test_a_sound_message_is_accepted(world):
    host = world.hosts["h0"]
    limits = {7: [4.0, 1], 8: [math.inf, 1]}
    host.peering.accept_datagram(encode_message(limits=limits), IP)
    assert host.limits.is_limited(7)
    assert not host.limits.is_limited(8)


@pytest.mark.parametrize("ip", ["10.0.0.400", "", "0.0.0.0", "a.example", "::1"])
def test_a_host_named_with_an_unusable_address_costs_no_other_one(world, ip):
    host = world.hosts["h0"]
    known = [["h7", "dc0", ip, 5], ["h8", "dc0", "10.0.0.9", 5]]
    host.peering.accept_datagram(encode_message(known_hosts=known), IP)
    assert host.peer_table.find("h7") is None
    assert host.peer_table.find("h8") is not None


@pytest.mark.parametrize("inner", [b"\x91", b"\x81\xa1a"])
def test_a_message_that_nests_deeply_changes_nothing(world, inner):
    # A field that this build doesn't know is skipped, at any depth.
    known = msgspec.msgpack.decode(encode_message())
    head = bytes([0xDC, 0, len(known) + 1])
    fields = b"".join(msgspec.msgpack.encode(value) for value in known)
    data = head + fields + inner * DEEP + b"\xc0"
    world.hosts["h0"].peering.accept_datagram(data, IP)
    world.run(0.3)


SOUND = Endpoint("s1", "pool", "10.0.0.1:80", "a", 64, ServerState.READY, 1, 5)
ODD_ENDPOINTS = {
    "port_too_large": SOUND._replace(name="odd", address="10.0.0.1:70000"),
    "address": SOUND._replace(name="odd", address="1.2.3:80"),
    "ip": SOUND._replace(name="odd", address="0.0.0.0:80"),
    "no_slots": SOUND._replace(name="odd", slots=0),
    "many_slots": SOUND._replace(name="odd", slots=LARGE),
    "born": SOUND._replace(name="odd", incarnation=-1),
    "revision": SOUND._replace(name="odd", revision=LARGE),
    "service": SOUND._replace(name="odd", service=""),
    "state": SOUND._replace(name="odd", state="resting"),
    "name": SOUND._replace(name="o\r\nx: 1"),
    "long_name": SOUND._replace(name="o" * 100_000),
    "short": ["odd", "pool"],
    "number": 17,
    "none": None,
}


class Pulls:
    """A puller that gets a prepared answer."""

    def __init__(self, monkeypatch, answer):
        self.replica = Replica()
        self.ignored = IgnoredObjects()
        self.puller = StatePuller(
            address=("127.0.0.1", 1),
            clock=lambda: 50.0,
            replica=self.replica,
            contexts=ContextMap(),
            blocks=PromptBlocks(),
            on_change=lambda: None,
            ignored=self.ignored,
            supervisor=Supervisor(clock=lambda: 50.0),
        )
        monkeypatch.setattr(
            state_pulls.socket, "create_connection", lambda *arguments: _Opened()
        )
        monkeypatch.setattr(state_pulls, "send_frame", lambda *arguments: None)
        monkeypatch.setattr(state_pulls, "receive_frame", lambda *arguments: answer)

    def pull(self):
        self.puller._pull(StateKind.SERVERS, IP, PullRequest(None, 0))


class _Opened:
    def __enter__(self):
        return self

    def __exit__(self, *error):
        return None


def encode_answer(endpoints, *further, **changes):
    answer = {
        "document": b"",
        "endpoints": endpoints,
        "removed": {},
        "revision": 9,
        "contexts": [],
        "blocks": [],
        "lapsing": {},
        "is_whole": False,
        "grace_ms": 0,
        "evacuations": None,
        "cold": [],
        "era": None,
        "rise": None,
        "evacuation_eras": {},
        "removal_eras": {},
        "lapse_eras": {},
        "cold_eras": {},
        "crash_evidence": None,
        **changes,
    }
    fields = [answer[name] for name in PullAnswer.__struct_fields__]
    return msgspec.msgpack.encode([*fields, *further])


@pytest.mark.parametrize("odd", ODD_ENDPOINTS)
def test_an_odd_entry_that_a_host_passes_on_costs_no_other_one(monkeypatch, odd):
    later = SOUND._replace(name="s2")
    answer = encode_answer([SOUND, ODD_ENDPOINTS[odd], later])
    pulls = Pulls(monkeypatch, answer)
    pulls.pull()
    assert [entry.name for entry in pulls.replica.list_endpoints()] == ["s1", "s2"]
    assert pulls.replica.position.revision == 9
    assert len(pulls.ignored.list_reasons()) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"revision": LARGE},
        {"revision": -1},
        {"removed": {"s1": LARGE}},
        {"removed": {"s1" * 9_000: 3}},
        {"lapsing": {"s1": [3, LARGE]}},
        {"contexts": [[1, 1, -5]]},
        {"blocks": [[1, 1, LARGE]]},
        {"evacuations": [["dc0", LARGE, True, 1]]},
        {"evacuations": [["d" * 9_000, 5, True, 1]]},
        {"cold": [[1, 1, LARGE, 0]]},
        {"cold": [[1, 1, 0, -1]]},
        {"crash_evidence": [[[1, LARGE, [1]]]]},
        {"crash_evidence": [[], [[1, -1]]]},
    ],
)
def test_an_answer_to_a_pull_with_a_number_out_of_its_range_is_refused(
    monkeypatch, changes
):
    pulls = Pulls(monkeypatch, encode_answer([SOUND], **changes))
    pulls.pull()
    assert pulls.replica.position.revision == 0


def test_an_answer_to_a_pull_that_nests_deeply_is_refused(monkeypatch):
    nested = msgspec.Raw(b"\x91" * DEEP + b"\xc0")
    pulls = Pulls(monkeypatch, encode_answer([SOUND], nested))
    pulls.pull()
    assert pulls.replica.position.revision == 0


@pytest.mark.parametrize(
    "document",
    [b"junk", zlib.compress(b" " * 10**8), zlib.compress(b"[" * 10**6)],
)
def test_a_document_of_another_host_that_is_none_is_refused(monkeypatch, document):
    pulls = Pulls(monkeypatch, encode_answer([SOUND], document=document))
    pulls.pull()
    assert pulls.replica.configuration is None
    assert pulls.replica.position.revision == 9
    assert [*pulls.ignored.list_reasons()] == ["config/main"]
