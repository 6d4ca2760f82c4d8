"""Servers of evacuated data centres, where servers are chosen."""

from math import inf

import msgspec
import pytest

from rosemarystream._internal.decisions.context_map import ContextMap, hash_part
from rosemarystream._internal.decisions.evacuations import (
    EvacuationRecord,
    Evacuations,
)
from rosemarystream._internal.decisions.load_table import Load, LoadTable
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.server_availability import (
    Obstacle,
    ServerAvailability,
)
from rosemarystream._internal.decisions.server_speeds import ServerSpeeds
from rosemarystream._internal.gateway.context_placer import ContextPlacer
from rosemarystream._internal.gateway.era_codec import encode_evacuations
from rosemarystream._internal.gateway.evacuation_watch import EvacuationWatch
from rosemarystream._internal.gateway.gossip_decoder import decode_gossip
from rosemarystream._internal.models.call import Call, PromptPart
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.gossip import (
    GossipMessage,
    HostAddress,
    LoadScope,
)
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.platform.store_answers import decode_page
from tests.lib.odd_objects import OBJECTS

NOW = 10.0
PARTS = (PromptPart("root", 9_000), PromptPart("own", 5))


def make_server(name, data_centre):
    state = ServerState.READY
    return Endpoint(name, "pool", "10.0.0.1:80", data_centre, 8, state, 1_000, 5)


A1, A2, B1 = (make_server(n, n[0]) for n in ("a1", "a2", "b1"))


@pytest.fixture
def replica():
    created = Replica()
    for server in (A1, A2, B1):
        created.accept_endpoint(server)
    return created


@pytest.fixture
def availability(replica):
    created = ServerAvailability(replica=replica)
    record = EvacuationRecord("b", Position(0, 7), True, NOW)
    created.evacuations.accept(record, source="store", now=NOW)
    return created


def test_an_evacuation_is_the_first_obstacle_and_ends_at_no_known_time(availability):
    availability.retries.record(B1, 3.0, NOW)
    availability.leaving.record(B1.number, B1.incarnation)
    assert availability.check(B1, NOW) == (Obstacle.EVACUATED, inf)
    assert not availability.is_wanted(B1, NOW)
    assert availability.is_wanted(A1, NOW)


def test_an_evacuated_server_is_not_waited_for_asked_or_probed(availability):
    # Guards against waits for its time or its limit, and against probes of it.
    availability.retries.record(B1, 3.0, NOW)
    availability.limits.record(B1.number, 1.0, NOW)
    assert availability.list_waiting("pool", NOW) == []
    assert availability.find_retry_time("pool", NOW) is None
    assert availability.list_limited("pool") == []
    assert availability.measure_limit_wait("pool", exclude=(), now=NOW) is None
    for server in (A1, A2):
        availability.health.record_unreachable(server.name, NOW)
    ready = [A1, A2, B1]
    probed = availability.select_open("pool", ready, exclude=(), now=NOW)
    assert probed == [A1, A2]
    assert availability.list_probed("pool", NOW) == [A1, A2]
    assert availability.list_unreachable_services(NOW + 0.4) == ["pool"]


def test_a_service_without_other_servers_is_not_unreachable(availability, replica):
    # Guards against hosts that all report that they aren't ready.
    for name in ("a1", "a2"):
        replica.accept_removal(name, Position(0, 9))
    assert availability.is_all_evacuated("pool")
    assert availability.select_open("pool", [], exclude=(), now=NOW) == []
    assert availability.list_unreachable_services(NOW + 5.0) == []


def test_a_context_held_only_there_counts_as_not_held_and_may_be_copied(
    availability, replica
):
    # Guards against hosts that spread such a prompt over all engines at once: those
    # that none holds go to one home server. The holder may still be read from.
    contexts, loads = ContextMap(), LoadTable()
    placer = ContextPlacer(
        replica=replica,
        availability=availability,
        contexts=contexts,
        loads=loads,
        speeds=ServerSpeeds(),
        read_epoch_s=lambda: 1_000.0,
    )
    contexts.record_use([hash_part("m", PARTS[0])], B1.number, 0.0)
    call = Call("r", b"POST", b"/", "h", "/", [], None, None, "m", PARTS, b"")
    homes = set()
    for busy in (A1, A2):
        # Less than what the prompt costs where it isn't assumed to be held.
        load = Load({e.number: 0 for e in (A1, A2, B1)}, {A1.number: 0, A2.number: 0})
        load.counts[busy.number] = 3
        ready = availability.list_ready("pool")
        placement = placer.place(
            call, ready, ready, load, NOW, objective_s=1.0, share=1.0, load_multiple=4.0
        )
        assert placement.endpoint.name == placement.home
        assert placement.source == B1
        homes.add(placement.home)
    assert len(homes) == 1


@pytest.mark.parametrize("odd", OBJECTS)
def test_an_odd_object_hides_no_evacuation_and_breaks_no_message(odd):
    # What can be read of its name is in force: it is all that matters.
    whole = b'{"metadata":{"name":"b","revision":5},"spec":{}}'
    body = b'{"items":[%s,%s],"current-rev":9}' % (OBJECTS[odd], whole)
    page, evacuations = decode_page(body), Evacuations()
    watch = EvacuationWatch(
        evacuations=evacuations,
        store=None,
        clock=lambda: NOW,
        replica=None,
        is_watcher=lambda: True,
        on_change=lambda: None,
        supervisor=None,
    )
    watch._accept_listing(page.objects, Position(0, page.revision))
    assert evacuations.is_evacuated("b")
    if b'"odd"' in OBJECTS[odd]:
        assert evacuations.is_evacuated("odd")
    host = HostAddress("h1", "a", "10.0.0.1")
    rows, _ = encode_evacuations(evacuations.list_rows(NOW), 0)
    message = GossipMessage(host, 1, 0, 0, 0, LoadScope.NONE, evacuations=rows)
    assert decode_gossip(msgspec.msgpack.encode(message)).evacuations == rows
