"""Pulls of newer state between two hosts, over TCP."""

import time

import gevent

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.decisions.replica import RECOVERY_GRACE_S, Replica
from rosemarystream._internal.gateway.state_pulls import StatePuller
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.endpoint import Endpoint, ServerState

PORT = 18_097
SOURCE_IP, PEER_IP = "127.0.0.61", "127.0.0.62"


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
        replica.advance(5)
    now = time.monotonic()
    source.begin_store_recovery(now)
    source.accept_listing([], 9, now)
    pullers = [
        make_puller(SOURCE_IP, source, time.monotonic),
        make_puller(PEER_IP, peer, lambda: time.monotonic() + offset_s),
    ]
    try:
        pullers[1].pull_servers(SOURCE_IP)
        with gevent.Timeout(5.0):
            while peer.revision != 9:
                gevent.sleep(0.01)
    finally:
        for puller in pullers:
            puller.stop()
    removed_at = now + offset_s + RECOVERY_GRACE_S
    assert peer.expire(removed_at - 0.1) == []
    assert peer.expire(removed_at + 1.0) == ["s1"]
