"""Late, repeated or reordered updates never revert the replicated state."""

from rosemarystream._internal.decisions.replica import (
    MAX_TOMBSTONES,
    RECOVERY_GRACE_S,
    Replica,
)
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.position import START, Position
from rosemarystream._internal.models.route import CallerLimits, FleetConfiguration


def make_endpoint(name="s1", revision=1, state=ServerState.READY, **changes):
    endpoint = Endpoint(name, "pool", "10.0.0.1:80", "a", 64, state, 1, revision)
    return endpoint._replace(**changes)


def at(revision):
    return Position(0, revision)


def make_configuration(version):
    return FleetConfiguration(version, {}, {}, CallerLimits(), {})


def test_older_configuration_is_rejected():
    replica = Replica()
    assert replica.accept_configuration(make_configuration(7), b"7")
    assert not replica.accept_configuration(make_configuration(5), b"5")
    assert replica.version == 7
    assert replica.document == b"7"


def test_late_ready_state_does_not_revert_draining():
    replica = Replica()
    replica.accept_endpoint(make_endpoint(revision=5, state=ServerState.DRAINING))
    assert not replica.accept_endpoint(make_endpoint(revision=4))
    assert replica.list_ready("pool") == []


def test_late_entry_does_not_restore_a_removed_server():
    replica = Replica()
    replica.accept_endpoint(make_endpoint(revision=5))
    assert replica.accept_removal("s1", at(9))
    assert not replica.accept_endpoint(make_endpoint(revision=8))
    assert replica.accept_endpoint(make_endpoint(revision=10))


def test_delta_contains_all_changes_after_a_revision():
    replica = Replica()
    replica.accept_endpoint(make_endpoint("old", revision=3))
    replica.accept_endpoint(make_endpoint("new", revision=6))
    replica.accept_endpoint(make_endpoint("gone", revision=4))
    replica.accept_removal("gone", at(7))
    replica.advance(at(8))
    delta = replica.select_delta(at(5))
    assert [endpoint.name for endpoint in delta.endpoints] == ["new"]
    assert delta.removed == {"gone": at(7)}
    assert delta.position == at(8)


def test_entries_missing_after_an_outage_are_kept_for_a_grace_period():
    replica = Replica()
    replica.accept_listing([make_endpoint("s1"), make_endpoint("s2")], at(2), now=0.0)
    replica.begin_store_recovery(10.0)
    replica.accept_listing([], at(5), now=10.0)
    assert len(replica.list_ready("pool")) == 2
    replica.accept_endpoint(make_endpoint("s1", revision=6))
    assert replica.expire(10.0 + RECOVERY_GRACE_S) == ["s2"]
    assert [e.name for e in replica.list_ready("pool")] == ["s1"]


def test_removal_outside_an_outage_takes_effect_at_once():
    replica = Replica()
    replica.accept_listing([make_endpoint("s1")], at(2), now=0.0)
    assert replica.accept_listing([], at(5), now=1.0) == ["s1"]
    assert replica.list_ready("pool") == []


def test_removal_after_an_outage_takes_effect_at_once():
    replica = Replica()
    replica.accept_listing([make_endpoint("s1")], at(2), now=0.0)
    replica.begin_store_recovery(10.0)
    replica.accept_listing([make_endpoint("s1")], at(5), now=10.0)
    assert replica.accept_removal("s1", at(6))
    assert replica.list_ready("pool") == []


def test_a_removal_after_the_grace_period_reaches_a_host_that_pulled_meanwhile():
    watcher, peer = make_hosts_with_a_pending_removal()
    assert watcher.expire(100.0 + RECOVERY_GRACE_S + 0.1) == ["s1"]
    pull(peer, watcher)
    peer.expire(100.0 + RECOVERY_GRACE_S + 0.1)
    assert peer.list_endpoints() == []


def test_an_entry_registered_again_after_a_pull_outlives_its_pending_removal():
    watcher, peer = make_hosts_with_a_pending_removal()
    watcher.accept_endpoint(make_endpoint(revision=10))
    watcher.advance(at(10))
    pull(peer, watcher)
    assert peer.expire(100.0 + RECOVERY_GRACE_S + 0.1) == []
    assert [entry.revision for entry in peer.list_endpoints()] == [10]


def test_a_pending_removal_does_not_touch_a_later_entry():
    watcher, peer = Replica(), Replica()
    watcher.accept_endpoint(make_endpoint(revision=5))
    peer.accept_endpoint(make_endpoint(revision=10))
    watcher.begin_store_recovery(100.0)
    watcher.accept_listing([], at(9), 100.0)
    pull(peer, watcher)
    assert peer.expire(100.0 + RECOVERY_GRACE_S + 0.1) == []


def make_hosts_with_a_pending_removal():
    """Return a watcher that misses an entry after an outage, and a peer that pulled."""
    watcher, peer = Replica(), Replica()
    for replica in (watcher, peer):
        replica.accept_endpoint(make_endpoint(revision=5))
        replica.advance(at(5))
    watcher.begin_store_recovery(100.0)
    watcher.accept_listing([], at(9), 100.0)
    pull(peer, watcher)
    return watcher, peer


def pull(replica, source, now=100.0):
    replica.accept_delta(source.select_delta(replica.position), now)


def list_names(replica):
    return sorted(endpoint.name for endpoint in replica.list_endpoints())


def make_listed(names, revision):
    """Return a replica that has listed the store at a revision."""
    replica = Replica()
    entries = [make_endpoint(name, revision=at) for name, at in names.items()]
    replica.accept_listing(entries, at(revision), now=1.0)
    return replica


def test_a_removal_before_the_start_of_a_host_reaches_those_that_pull_from_it():
    # The host that started knows the revision, but not what was removed before it.
    peer = make_listed({"s1": 3, "s2": 4}, 5)
    started = make_listed({"s2": 4}, 9)
    pull(peer, started)
    assert list_names(peer) == ["s2"]
    assert peer.position == at(9)


def test_a_removal_reaches_a_host_past_two_that_have_just_started():
    peer = make_listed({"s1": 3, "s2": 4}, 5)
    first, second = make_listed({"s2": 4}, 9), Replica()
    pull(second, first)
    pull(peer, second)
    assert list_names(peer) == ["s2"]


def test_the_removal_of_a_server_that_came_and_went_between_two_pulls_is_passed_on():
    watcher = make_listed({"s2": 4}, 5)
    peer, other = make_listed({"s2": 4}, 5), make_listed({"s2": 4}, 5)
    watcher.accept_endpoint(make_endpoint("s1", revision=6))
    watcher.advance(at(6))
    pull(peer, watcher)
    watcher.accept_removal("s1", at(7))
    watcher.advance(at(7))
    pull(other, watcher)
    pull(peer, other)
    assert list_names(peer) == ["s2"]


def test_an_older_list_that_comes_late_does_not_restore_a_removed_server():
    older = make_listed({"s1": 3, "s2": 4}, 5).select_delta(START)
    replica = make_listed({"s2": 4}, 9)
    replica.accept_delta(older, now=1.0)
    assert list_names(replica) == ["s2"]
    assert replica.position == at(9)


def test_a_late_whole_list_keeps_what_has_come_since():
    peer = make_listed({"s1": 3}, 5)
    whole = make_listed({}, 7).select_delta(at(5))
    peer.accept_endpoint(make_endpoint("s2", revision=8))
    peer.advance(at(8))
    peer.accept_delta(whole, now=1.0)
    assert list_names(peer) == ["s2"]
    assert peer.position == at(8)


def test_a_removal_that_is_no_longer_recorded_reaches_a_host_far_behind():
    peer, watcher = make_listed({"s0": 3}, 5), make_listed({"s0": 3}, 5)
    for number in range(MAX_TOMBSTONES + 1):
        watcher.accept_removal(f"s{number}", at(6 + number))
    watcher.advance(at(6 + MAX_TOMBSTONES))
    pull(peer, watcher)
    assert list_names(peer) == []


def test_entries_missing_from_a_whole_list_after_an_outage_are_kept_for_a_while():
    peer = make_listed({"s1": 3, "s2": 4}, 5)
    started = Replica()
    started.begin_store_recovery(100.0)
    started.accept_listing([make_endpoint("s2", revision=4)], at(9), 100.0)
    pull(peer, started)
    assert list_names(peer) == ["s1", "s2"]
    assert peer.expire(100.0 + RECOVERY_GRACE_S) == ["s1"]


def test_only_changes_are_passed_on_to_a_host_that_is_little_behind():
    watcher = make_listed({"s1": 3, "s2": 4}, 5)
    watcher.accept_endpoint(make_endpoint("s3", revision=6))
    watcher.advance(at(6))
    delta = watcher.select_delta(at(5))
    assert not delta.is_whole
    assert [endpoint.name for endpoint in delta.endpoints] == ["s3"]
