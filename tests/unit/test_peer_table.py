"""Collectors and watchers of a data centre while hosts join, fail and return."""

import pytest

from rosemarystream._internal.decisions import hashing
from rosemarystream._internal.decisions.host_delays import CATCH_UP_S, HostDelays
from rosemarystream._internal.decisions.live_hosts import DEAD_AFTER_S
from rosemarystream._internal.decisions.peer_table import (
    COLLECTORS,
    FORGET_AFTER_S,
    PEAK_PERIOD_S,
    RESERVE_WATCHERS,
    SHORT_WAIT_DATA_CENTRES,
    WATCHERS,
    PeerTable,
)

NAMES = [f"host-{number}" for number in range(6)]


def make_peer_tables(now):
    tables = {}
    for name in NAMES:
        table = PeerTable(name=name, data_centre="a")
        for other in NAMES:
            table.record_alive(other, "a", f"10.0.0.{other[-1]}", now)
        tables[name] = table
    return tables


def test_hosts_with_equal_peer_tables_choose_the_same_collectors():
    tables = make_peer_tables(5.0)
    chosen = {tuple(table.list_collectors("a", 5.0)) for table in tables.values()}
    assert len(chosen) == 1
    assert len(chosen.pop()) == COLLECTORS


def test_next_host_replaces_an_unresponsive_collector():
    tables = make_peer_tables(5.0)
    first, second = tables[NAMES[0]].list_collectors("a", 5.0)
    later = 5.0 + DEAD_AFTER_S + 0.1
    for name, table in tables.items():
        for other in NAMES:
            if other not in (name, first):
                table.record_alive(other, "a", f"10.0.0.{other[-1]}", later)
    chosen = {
        tuple(table.list_collectors("a", later))
        for name, table in tables.items()
        if name != first
    }
    assert len(chosen) == 1
    collectors = chosen.pop()
    assert collectors[0] == second
    assert first not in collectors


def test_host_without_live_peers_is_its_own_collector():
    table = make_peer_tables(5.0)[NAMES[3]]
    assert table.is_collector(5.0 + DEAD_AFTER_S + 0.1)


@pytest.mark.parametrize("late_s", [DEAD_AFTER_S + 0.1, 2 * FORGET_AFTER_S])
def test_a_host_that_was_late_takes_no_other_for_dead_before_it_has_read(late_s):
    delays = HostDelays()
    table = PeerTable(name="a1", data_centre="a", delays=delays)
    delays.record_tick(5.0)
    for number in (2, 3):
        table.record_alive(f"a{number}", "a", f"10.0.0.{number}", 5.0)
    assert len(table.take_changes(5.0).found) == 2
    now = 5.0 + late_s
    # What is due in the delay may be judged before or after the tick.
    assert table.count_live(now) == 3
    delays.record_tick(now)
    table.remove_stale(now)
    assert table.take_changes(now) == ([], [])
    assert not table.list_unreachable(now)
    table.record_alive("a2", "a", "10.0.0.2", now + 0.1)
    for tick in range(1, 12):
        delays.record_tick(now + tick / 10)
    lost = table.take_changes(now + CATCH_UP_S + 0.1).lost
    assert [host.name for host in lost] == ["a3"]


def list_watchers(tables, lost=()):
    return [name for name, v in tables.items() if v.is_watcher(5.0, lost=lost)]


def test_next_host_watches_the_store_when_a_watcher_has_lost_it():
    tables = make_peer_tables(5.0)
    for table in tables.values():
        table.record_alive("far", "b", "10.1.0.1", 5.0)
    (first,) = list_watchers(tables)
    watching = list_watchers(tables, lost={first})
    assert first in watching
    assert len(watching) == 2
    both = set(watching)
    assert len(list_watchers(tables, lost=both)) == COLLECTORS + RESERVE_WATCHERS


def test_number_of_watchers_is_bounded_while_no_host_reaches_the_store():
    tables = make_peer_tables(5.0)
    assert len(list_watchers(tables, lost=set(NAMES))) == COLLECTORS + RESERVE_WATCHERS


def test_one_host_of_a_data_centre_watches_when_other_data_centres_exist():
    tables = make_peer_tables(5.0)
    for table in tables.values():
        table.record_alive("far", "b", "10.1.0.1", 5.0)
    assert len(list_watchers(tables)) == WATCHERS


def test_address_of_a_replaced_host_is_updated():
    table = make_peer_tables(5.0)[NAMES[0]]
    table.record_alive(NAMES[1], "a", "10.0.9.9", 5.0)
    assert table.find(NAMES[1]).ip == "10.0.9.9"


def test_lost_and_returned_host_are_each_reported_once():
    peer_table = PeerTable(name="a1", data_centre="a")
    peer_table.record_alive("a2", "a", "10.0.0.2", 1.0)
    assert [host.name for host in peer_table.take_changes(1.0).found] == ["a2"]
    assert peer_table.take_changes(1.5) == ([], [])
    assert [host.name for host in peer_table.take_changes(3.0).lost] == ["a2"]
    peer_table.record_alive("a2", "a", "10.0.0.2", 4.0)
    assert [host.name for host in peer_table.take_changes(4.0).found] == ["a2"]


def test_shares_of_a_quota_do_not_grow_as_soon_as_hosts_are_lost():
    table = PeerTable(name="a1", data_centre="a")
    for number in range(2, 11):
        table.record_alive(f"a{number}", "a", f"10.0.0.{number}", 5.0)
    assert table.count_recent_peak(5.0) == 10
    assert table.count_live(20.0) == 1
    assert table.count_recent_peak(20.0) == 10
    assert table.count_recent_peak(5.0 + 3 * PEAK_PERIOD_S) == 1


def test_a_few_data_centres_notice_a_silent_store_soon_also_when_cut_off():
    names = [f"dc{number}" for number in range(7)]
    tables = {name: PeerTable(name=f"host-{name}", data_centre=name) for name in names}
    for name, table in tables.items():
        for other in names:
            if other != name:
                table.record_alive(f"host-{other}", other, "10.0.0.1", 5.0)
    short = [name for name, table in tables.items() if table.keeps_waits_short(5.0)]
    assert len(short) == SHORT_WAIT_DATA_CENTRES
    alone_at = 5.0 + DEAD_AFTER_S + 0.1
    assert all(table.keeps_waits_short(alone_at) for table in tables.values())


def test_signs_of_life_of_live_hosts_order_no_data_centre_anew(monkeypatch):
    scored = []
    score = hashing.score_candidate
    monkeypatch.setattr(
        hashing,
        "score_candidate",
        lambda key, candidate: scored.append(candidate) or score(key, candidate),
    )
    names = [f"host-{number}" for number in range(30)]
    table = PeerTable(name=names[0], data_centre="a")
    rounds = 10
    for number in range(rounds):
        now = 5.0 + number * 0.1
        for name in names[1:]:
            table.record_alive(name, "a", "10.0.0.1", now)
            table.is_collector(now)
    # Once as each host joins, and once more in a second for those that may be lost.
    joins = sum(range(1, len(names) + 1))
    assert len(scored) <= joins + len(names)
