"""Servers that all crash at once, before any host has seen another prompt answered."""

import pytest

from rosemarystream._internal.decisions.crash_holds import (
    FIRST_TRIAL_S,
    HOLD_S,
    LONGEST_TRIAL_PAUSE_S,
    MIN_CRASHES_OF_HOLD,
    SETTLE_S,
    TRIAL_PAUSE_S,
    TURN_S,
    UNDER_WAY_S,
    HostTurn,
)
from rosemarystream._internal.decisions.prompt_blocks import (
    PARTS_PER_PULL,
    PromptBlocks,
)
from tests.lib.block_hosts import exchange_updates

ROOT, BAD, OTHER = 1, 2, 3
# Requests with a part that crashes servers that may reach them after the fifth crash.
MAX_LATER = 3
STEP_S = 0.1


class Fleet:
    """Hosts that hear each other's updates at once, and servers that BAD ends."""

    def __init__(self, hosts=8):
        self.now = 100.0
        self.hosts = [
            PromptBlocks(find_turn=lambda now, n=number: HostTurn(n, hosts))
            for number in range(hosts)
        ]
        self._servers = 0

    def exchange(self):
        exchange_updates(self.hosts, self.now)

    def crash(self, *prompts):
        """Crash a server under requests with these parts, each of another host."""
        self._servers += 1
        for number, parts in enumerate(prompts):
            host = self.hosts[(self._servers + number) % len(self.hosts)]
            host.record_crash(self._servers, parts, self.now)
        self.exchange()

    def crash_all(self, *prompts, servers=MIN_CRASHES_OF_HOLD):
        for _ in range(servers):
            self.now += STEP_S
            self.crash(*prompts)

    def answer(self, *parts, host=0):
        self.hosts[host].record_answer(parts, self.now)
        self.exchange()

    def is_held(self, *parts, host=0):
        return self.hosts[host].find_blocked(parts, self.now) is not None

    def count_let_through(self, seconds, *parts, crashes):
        """Return how many requests reach servers, if one comes to each host each step.

        Parameters
        ----------
        crashes : bool
            Whether these requests crash servers; else they are answered.
        """
        count = 0
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for number in range(len(self.hosts)):
                if self.is_held(*parts, host=number):
                    continue
                count += 1
                if crashes:
                    self.crash(parts)
                else:
                    self.answer(*parts, host=number)
        return count

    def list_blocked(self):
        return [block.part for block in self.hosts[0].list_blocks()]


@pytest.fixture
def fleet():
    """A fleet all of whose servers have crashed; sound requests ran there as well."""
    fleet = Fleet()
    fleet.crash_all((ROOT, BAD), (ROOT, OTHER), servers=MIN_CRASHES_OF_HOLD - 2)
    fleet.crash_all((ROOT, BAD), servers=2)
    fleet.now += SETTLE_S
    return fleet


def start_host(fleet):
    """Let a host start, which hears what another one tells it in a pull."""
    started = PromptBlocks(find_turn=lambda now: HostTurn(0, len(fleet.hosts)))
    evidence = fleet.hosts[1].list_evidence(fleet.now)
    fleet.now += STEP_S
    started.accept_updates(evidence, fleet.now, is_forwarded=False)
    fleet.hosts[0] = started


def test_a_host_that_starts_holds_what_the_others_hold(fleet):
    """Guards against crashing requests that pass a host in its first second."""
    start_host(fleet)
    assert fleet.is_held(ROOT, BAD)
    assert not fleet.is_held(ROOT, OTHER)
    fleet.answer(ROOT, OTHER, host=2)
    assert fleet.is_held(ROOT, BAD)
    assert fleet.count_let_through(10.0, ROOT, BAD, crashes=True) <= MAX_LATER


def test_a_host_that_starts_hears_which_parts_servers_have_answered(fleet):
    fleet.answer(ROOT, BAD, host=2)
    start_host(fleet)
    assert not fleet.is_held(ROOT, BAD)


def test_what_a_host_that_starts_hears_is_bounded():
    fleet = Fleet()
    for number in range(40):
        fleet.crash_all(tuple(range(number * 1000, (number + 1) * 1000)), servers=1)
    evidence = fleet.hosts[0].list_evidence(fleet.now)
    parts = [part for _, _, row in evidence.crashes for part in row]
    # The last crashes say most.
    assert 39_999 in parts
    assert 15_000 < len(parts) <= PARTS_PER_PULL


def test_requests_with_all_that_the_crashes_have_in_common_are_held(fleet):
    for number in range(len(fleet.hosts)):
        assert fleet.is_held(ROOT, BAD, host=number)
        assert fleet.is_held(ROOT, OTHER, BAD, host=number)
        assert not fleet.is_held(ROOT, OTHER, host=number)
        assert not fleet.is_held(ROOT, host=number)


def test_a_part_is_held_though_one_report_of_it_was_lost():
    fleet = Fleet()
    fleet.crash_all((ROOT, BAD))
    fleet.crash_all((ROOT, OTHER), servers=1)
    fleet.now += SETTLE_S
    assert fleet.is_held(ROOT, BAD)
    assert not fleet.is_held(ROOT, OTHER)


def test_nothing_is_held_before_an_answer_that_is_under_way_may_have_come():
    fleet = Fleet()
    fleet.crash_all((ROOT, BAD))
    fleet.now += 0.5 * SETTLE_S
    assert not fleet.is_held(ROOT, BAD)
    fleet.answer(ROOT, BAD)
    fleet.now += SETTLE_S
    assert not fleet.is_held(ROOT, BAD)


def test_sound_requests_show_which_part_it_is(fleet):
    for number in range(len(fleet.hosts)):
        for _ in range(3):
            fleet.now += 0.01
            fleet.answer(ROOT, OTHER, host=number)
    assert fleet.is_held(ROOT, BAD)
    assert not fleet.is_held(ROOT, OTHER)
    assert fleet.count_let_through(HOLD_S, ROOT, BAD, crashes=True) <= MAX_LATER
    assert fleet.list_blocked() == [BAD]


@pytest.mark.parametrize("hosts", [2, 8, 195])
def test_few_requests_reach_servers_where_all_that_comes_carries_the_part(hosts):
    fleet = Fleet(hosts)
    fleet.crash_all((ROOT, BAD))
    fleet.now += SETTLE_S
    seconds = FIRST_TRIAL_S + 3 * TRIAL_PAUSE_S
    assert fleet.count_let_through(seconds, ROOT, BAD, crashes=True) <= MAX_LATER


@pytest.mark.parametrize("hosts", [2, 8, 195])
def test_servers_that_failed_by_themselves_are_soon_used_again(hosts):
    fleet = Fleet(hosts)
    fleet.crash_all((ROOT,), (ROOT, OTHER))
    fleet.now += SETTLE_S
    assert fleet.is_held(ROOT, OTHER)
    seconds = FIRST_TRIAL_S + 2 * TURN_S
    assert fleet.count_let_through(seconds, ROOT, OTHER, crashes=False)
    assert not any(fleet.is_held(ROOT, OTHER, host=n) for n in range(hosts))
    assert fleet.list_blocked() == []


def test_a_held_part_is_not_blocked_before_a_trial_has_crashed(fleet):
    # Else a part that all chats share would be blocked once others are answered.
    for _ in range(3):
        fleet.now += 0.01
        fleet.answer(OTHER)
    assert fleet.is_held(ROOT, BAD)
    assert fleet.list_blocked() == []


def test_a_part_that_joins_the_hold_by_the_crash_of_a_trial_does_not_begin_it_anew():
    fleet = Fleet()
    fleet.crash_all((BAD,), servers=1)
    fleet.crash_all((ROOT, BAD), servers=MIN_CRASHES_OF_HOLD - 1)
    fleet.now += SETTLE_S
    assert fleet.is_held(ROOT, BAD)
    fleet.now += FIRST_TRIAL_S
    fleet.crash((ROOT, BAD))
    assert fleet.is_held(ROOT, BAD)


# Left out by the third review: after a minute too few crashes counted, and three
# requests in a row came through.
def test_a_hold_lasts_as_long_as_its_trials_crash_servers(fleet):
    seconds = 2 * HOLD_S
    assert fleet.count_let_through(seconds, ROOT, BAD, crashes=True) <= MAX_LATER


def test_a_part_is_blocked_once_what_came_beside_it_is_answered_anywhere(fleet):
    fleet.now += FIRST_TRIAL_S
    fleet.crash((ROOT, BAD))
    fleet.answer(ROOT, OTHER, host=5)
    assert fleet.is_held(ROOT, BAD)
    assert fleet.list_blocked() == [BAD]


def test_a_hold_ends_by_itself(fleet):
    fleet.now += HOLD_S
    assert not fleet.is_held(ROOT, BAD)


def test_pauses_between_trials_have_a_limit(fleet):
    for _ in range(8):
        fleet.now += UNDER_WAY_S + SETTLE_S
        fleet.crash((ROOT, BAD))
    fleet.now += LONGEST_TRIAL_PAUSE_S - STEP_S
    assert fleet.is_held(ROOT, BAD)
    seconds = TURN_S * (len(fleet.hosts) + 1)
    assert fleet.count_let_through(seconds, ROOT, BAD, crashes=True)
