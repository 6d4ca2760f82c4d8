"""Detection of unreachable services, whose requests are refused at once."""

from rosemarystream._internal.decisions.reachability import (
    PROBE_INTERVAL_S,
    UNREACHABLE_AFTER_S,
    Reachability,
)


def test_probes_of_an_unreachable_service_are_limited():
    reachability = Reachability()
    allowed = sum(reachability.allow_probe("pool", step * 0.01) for step in range(100))
    assert allowed <= 1 + 1.0 / PROBE_INTERVAL_S
    assert allowed >= 3


def test_service_is_listed_as_unreachable_after_the_delay():
    reachability = Reachability()
    reachability.allow_probe("pool", 0.0)
    assert reachability.list_unreachable_services(UNREACHABLE_AFTER_S / 2) == []
    assert reachability.list_unreachable_services(UNREACHABLE_AFTER_S) == ["pool"]


def test_answering_server_makes_the_service_reachable():
    reachability = Reachability()
    reachability.allow_probe("pool", 0.0)
    reachability.record_reachable("pool")
    assert reachability.list_unreachable_services(9.0) == []
    assert reachability.allow_probe("pool", 9.0)
