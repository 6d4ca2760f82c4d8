"""A host that is cut off from a service refuses at once and says so."""

from rosemarystream._internal.decisions.reachability import (
    PROBE_INTERVAL_S,
    UNREACHABLE_AFTER_S,
    Reachability,
)


def test_probes_of_an_unreachable_service_are_limited():
    reach = Reachability()
    allowed = sum(reach.allow_probe("pool", step * 0.01) for step in range(100))
    assert allowed <= 1 + 1.0 / PROBE_INTERVAL_S
    assert allowed >= 3


def test_service_is_listed_as_unreachable_after_the_delay():
    reach = Reachability()
    reach.allow_probe("pool", 0.0)
    assert reach.list_unreachable_services(UNREACHABLE_AFTER_S / 2) == []
    assert reach.list_unreachable_services(UNREACHABLE_AFTER_S) == ["pool"]


def test_answering_server_makes_the_service_reachable():
    reach = Reachability()
    reach.allow_probe("pool", 0.0)
    reach.record_reachable("pool")
    assert reach.list_unreachable_services(9.0) == []
    assert reach.allow_probe("pool", 9.0)
