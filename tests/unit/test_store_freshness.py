"""Hosts that watch the store in reserve: when they begin, go on and end."""

import pytest

from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.store_freshness import (
    ATTEMPT_S,
    RETRY_S,
    STALE_AFTER_S,
    TERM_S,
    StoreFreshness,
    WatchReserve,
    find_turn,
)

KINDS = ("config", "servers")
CHECK_S = 0.1


class Reserve:
    """A host that checks several times a second whether it has to watch."""

    def __init__(self):
        self.now = 100.0
        self.freshness = StoreFreshness(data_centre="a", kinds=KINDS)
        table = PeerTable(name="h1", data_centre="a")
        self._reserve = WatchReserve(
            freshness=self.freshness, peer_table=table, probe="config"
        )

    def check(self, kind="config"):
        return self._reserve.is_due(kind, self.now)

    def run(self, seconds, *, is_served=False, others=False):
        """Return the times at which it watched."""
        watched = []
        for _ in range(round(seconds / CHECK_S)):
            self.now += CHECK_S
            for kind in KINDS:
                if self.check(kind):
                    watched.append(self.now)
                    if is_served:
                        self.freshness.record_answer(kind, self.now)
            if others:
                self.freshness.accept_report("h2", "a", self.now)
        return watched


def test_a_host_does_not_watch_while_another_one_knows_all():
    assert Reserve().run(20.0, others=True) == []


def test_a_host_that_has_just_started_waits_for_reports():
    assert not Reserve().run(STALE_AFTER_S - CHECK_S)
    assert Reserve().run(STALE_AFTER_S + 2 * CHECK_S)


def test_a_paused_host_waits_for_reports():
    reserve = Reserve()
    reserve.run(3.0, others=True)
    reserve.now += 30.0
    assert not reserve.check()
    assert not reserve.run(STALE_AFTER_S - CHECK_S)


def test_one_kind_is_tried_before_the_others():
    reserve = Reserve()
    reserve.run(STALE_AFTER_S + 2 * CHECK_S)
    assert reserve.check("config")
    assert not reserve.check("servers")
    reserve.freshness.record_answer("config", reserve.now)
    assert reserve.check("servers")


def test_a_host_that_is_not_served_tries_now_and_then():
    watched = Reserve().run(60.0)
    assert len(watched) * CHECK_S <= 60.0 / RETRY_S * (ATTEMPT_S + 2 * CHECK_S)


def test_a_host_that_is_served_goes_on_while_no_other_one_knows_all():
    reserve = Reserve()
    reserve.run(STALE_AFTER_S + 2 * ATTEMPT_S, is_served=True)
    assert reserve.run(30.0, is_served=True)[-1] == reserve.now
    assert reserve.run(2 * TERM_S, is_served=True, others=True)[-1] < reserve.now


def test_a_host_that_is_served_ends_its_attempt_if_another_one_knows_all():
    reserve = Reserve()
    reserve.run(STALE_AFTER_S + 0.5, is_served=True)
    reserve.run(ATTEMPT_S, is_served=True, others=True)
    assert not reserve.check()


def test_reports_of_a_host_are_passed_on_to_others_only():
    freshness = StoreFreshness(data_centre="a", kinds=KINDS)
    freshness.accept_report("h2", "a", 9.0)
    freshness.accept_report("h3", "b", 9.5)
    freshness.accept_report("h2", "a", 8.0)
    freshness.accept_relayed(9.9)
    assert freshness.find_heard(but="h3") == 9.0
    assert freshness.find_heard(but="h2") == 9.5
    assert freshness.find_heard_nearby() == 9.0
    assert freshness.find_others() == 9.9
    freshness.accept_relayed_far(9.7)
    assert freshness.find_heard(but="h3") == 9.7
    assert freshness.find_heard_nearby() == 9.0


@pytest.mark.parametrize(
    ("position", "turn"),
    [(0, (0, 0)), (3, (0, 0)), (4, (1, 0)), (5, (1, 1)), (6, (2, 0)), (9, (2, 3))],
)
def test_more_hosts_try_at_each_step(position, turn):
    assert find_turn(position) == turn
