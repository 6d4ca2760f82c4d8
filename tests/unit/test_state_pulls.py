"""Pulls of newer state between two hosts, over TCP."""

import time

import gevent
import msgspec
import pytest
from gevent import socket

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.replica import RECOVERY_GRACE_S, Replica
from rosemarystream._internal.gateway.state_pulls import StatePuller
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.position import START, Position
from rosemarystream._internal.models.route import CallerLimits, FleetConfiguration
from tests.lib.entry_world import make_configuration
from tests.lib.networks import take_network

PORT = 18_097
NET = take_network()
SOURCE_IP, PEER_IP, SUSPENDED_IP = (f"{NET}.{number}" for number in (1, 2, 3))
# Interval at which hosts announce their state.
ANNOUNCED_EVERY_S = 0.1
# A change has to be in force this long after the store has accepted it; half of that is
# left once the host that heard of it first has been suspended.
IN_FORCE_S = 2.0


def make_puller(ip, replica, clock):
    puller = StatePuller(
        address=(ip, PORT),
        clock=clock,
        replica=replica,
        contexts=ContextMap(),
        blocks=PromptBlocks(),
        on_change=lambda: None,
        supervisor=Supervisor(clock=clock),
    )
    puller.start()
    return puller


def test_a_pending_removal_is_pulled_with_the_time_that_is_left():
    # The clocks of two hosts have nothing in common.
    offset_s = 1_000.0
    source, peer = Replica(), Replica()
    for replica in (source, peer):
        state = ServerState.READY
        endpoint = Endpoint("s1", "pool", "10.0.0.1:80", "a", 64, state, 1, 5)
        replica.accept_endpoint(endpoint)
        replica.advance(Position(0, 5))
    now = time.monotonic()
    source.begin_store_recovery(now)
    source.accept_listing([], Position(0, 9), now)
    pullers = [
        make_puller(SOURCE_IP, source, time.monotonic),
        make_puller(PEER_IP, peer, lambda: time.monotonic() + offset_s),
    ]
    try:
        pullers[1].pull_servers(SOURCE_IP)
        with gevent.Timeout(5.0):
            while peer.position != Position(0, 9):
                gevent.sleep(0.01)
    finally:
        for puller in pullers:
            puller.stop()
    removed_at = now + offset_s + RECOVERY_GRACE_S
    assert peer.expire(removed_at - 0.1) == []
    assert peer.expire(removed_at + 1.0) == ["s1"]


@pytest.fixture
def suspended():
    """A host that is suspended: its system accepts connections, and nothing follows."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((SUSPENDED_IP, PORT))
        listener.listen()
        yield SUSPENDED_IP


@pytest.mark.parametrize("kind", ["document", "servers"])
def test_a_suspended_host_does_not_keep_newer_state_of_others_away(suspended, kind):
    source, peer = Replica(), Replica()
    document = msgspec.json.encode(make_configuration(7))
    source.accept_configuration(
        FleetConfiguration(7, {}, {}, CallerLimits(), {}), document
    )
    endpoint = Endpoint("s1", "pool", "10.0.0.1:80", "a", 64, ServerState.READY, 1, 5)
    source.accept_listing([endpoint], Position(0, 9), time.monotonic())
    pullers = [
        make_puller(SOURCE_IP, source, time.monotonic),
        make_puller(PEER_IP, peer, time.monotonic),
    ]
    pull = getattr(pullers[1], f"pull_{kind}")
    try:
        with gevent.Timeout(IN_FORCE_S / 2):
            while not (peer.version if kind == "document" else peer.position > START):
                pull(suspended)
                pull(SOURCE_IP)
                gevent.sleep(ANNOUNCED_EVERY_S)
    finally:
        for puller in pullers:
            puller.stop()
