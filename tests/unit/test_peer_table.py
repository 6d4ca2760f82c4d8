"""Collectors of a data centre, as hosts come, fall silent and return."""

from rosemarystream._internal.decisions.peer_table import (
    COLLECTORS,
    DEAD_AFTER_S,
    RESERVE_WATCHERS,
    WATCHERS,
    PeerTable,
)

NAMES = [f"host-{number}" for number in range(6)]


def make_views(now):
    views = {}
    for name in NAMES:
        view = PeerTable(name=name, data_centre="a")
        for other in NAMES:
            view.record_alive(other, "a", f"10.0.0.{other[-1]}", now)
        views[name] = view
    return views


def test_hosts_with_equal_peer_tables_choose_the_same_collectors():
    views = make_views(5.0)
    named = {tuple(view.list_collectors("a", 5.0)) for view in views.values()}
    assert len(named) == 1
    assert len(named.pop()) == COLLECTORS


def test_next_host_replaces_an_unresponsive_collector():
    views = make_views(5.0)
    first, second = views[NAMES[0]].list_collectors("a", 5.0)
    later = 5.0 + DEAD_AFTER_S + 0.1
    for name, view in views.items():
        for other in NAMES:
            if other not in (name, first):
                view.record_alive(other, "a", f"10.0.0.{other[-1]}", later)
    named = {
        tuple(view.list_collectors("a", later))
        for name, view in views.items()
        if name != first
    }
    assert len(named) == 1
    collectors = named.pop()
    assert collectors[0] == second
    assert first not in collectors


def test_host_without_live_peers_is_its_own_collector():
    view = make_views(5.0)[NAMES[3]]
    assert view.is_collector(5.0 + DEAD_AFTER_S + 0.1)


def list_watchers(views, lost=()):
    return [name for name, v in views.items() if v.is_watcher(5.0, lost=lost)]


def test_next_host_watches_the_store_when_a_watcher_has_lost_it():
    views = make_views(5.0)
    for view in views.values():
        view.record_alive("far", "b", "10.1.0.1", 5.0)
    (first,) = list_watchers(views)
    watching = list_watchers(views, lost={first})
    assert first in watching
    assert len(watching) == 2
    both = set(watching)
    assert len(list_watchers(views, lost=both)) == COLLECTORS + RESERVE_WATCHERS


def test_number_of_watchers_is_bounded_while_no_host_reaches_the_store():
    views = make_views(5.0)
    assert len(list_watchers(views, lost=set(NAMES))) == COLLECTORS + RESERVE_WATCHERS


def test_one_host_of_a_data_centre_watches_when_other_data_centres_exist():
    views = make_views(5.0)
    for view in views.values():
        view.record_alive("far", "b", "10.1.0.1", 5.0)
    assert len(list_watchers(views)) == WATCHERS


def test_address_of_a_replaced_host_is_updated():
    view = make_views(5.0)[NAMES[0]]
    view.record_alive(NAMES[1], "a", "10.0.9.9", 5.0)
    assert view.find(NAMES[1]).ip == "10.0.9.9"


def test_lost_and_returned_host_are_each_reported_once():
    peer_table = PeerTable(name="a1", data_centre="a")
    peer_table.record_alive("a2", "a", "10.0.0.2", 1.0)
    assert [host.name for host in peer_table.take_changes(1.0).found] == ["a2"]
    assert peer_table.take_changes(1.5) == ([], [])
    assert [host.name for host in peer_table.take_changes(3.0).lost] == ["a2"]
    peer_table.record_alive("a2", "a", "10.0.0.2", 4.0)
    assert [host.name for host in peer_table.take_changes(4.0).found] == ["a2"]
