"""Prompt parts that are blocked because servers crash on them."""

import pytest

from rosemarystream._internal.decisions.crash_evidence import (
    ANSWER_TTL_S,
    MIN_CRASHES,
    MIN_CRASHES_AFTER_ANSWER,
)
from rosemarystream._internal.decisions.crash_holds import (
    LONGEST_TRIAL_PAUSE_S,
    TURN_S,
)
from rosemarystream._internal.decisions.prompt_blocks import (
    BLOCK_S,
    TRIAL_INTERVAL_S,
    Block,
    PromptBlocks,
)
from rosemarystream._internal.decisions.prompt_parts import hash_shared_parts
from rosemarystream._internal.models.call import PromptPart
from rosemarystream._internal.models.gossip import CrashUpdates
from tests.lib.block_hosts import exchange_updates

ROOT, BAD, OTHER, COMPANION = 1, 2, 3, 4


class Fleet:
    """Hosts that hear each other's updates at once."""

    def __init__(self, hosts=1):
        self.now = 100.0
        self.hosts = [PromptBlocks() for _ in range(hosts)]
        self._servers = iter(range(1_000_000))

    def answer(self, *parts, host=0, times=3):
        for _ in range(times):
            self.now += 0.01
            self.hosts[host].record_answer(parts, self.now)
        self.exchange()

    def crash(self, *parts, host=0, times=1):
        """Crash a server; others of the prompt's requests are answered meanwhile."""
        for _ in range(times):
            self.now += 0.01
            self.hosts[host].record_crash(next(self._servers), parts, self.now)
            for number in range(len(self.hosts)):
                self.answer(ROOT, OTHER, host=number)

    def exchange(self):
        exchange_updates(self.hosts, self.now)

    def is_blocked(self, *parts, host=0):
        return self.hosts[host].find_blocked(parts, self.now) is not None


def test_a_part_under_which_servers_crash_is_blocked():
    fleet = Fleet()
    fleet.crash(ROOT, BAD, times=MIN_CRASHES - 1)
    assert not fleet.is_blocked(ROOT, BAD)
    fleet.crash(ROOT, BAD)
    assert fleet.is_blocked(ROOT, BAD)
    assert fleet.is_blocked(OTHER, BAD)


def test_parts_that_are_answered_between_crashes_are_not_blocked():
    fleet = Fleet()
    fleet.crash(ROOT, BAD, OTHER, times=20)
    assert fleet.is_blocked(ROOT, BAD)
    assert not fleet.is_blocked(ROOT, OTHER)


def test_a_part_that_begins_to_crash_servers_is_blocked_after_more_crashes():
    fleet = Fleet()
    fleet.answer(ROOT, BAD)
    fleet.crash(ROOT, BAD, times=MIN_CRASHES_AFTER_ANSWER - 1)
    assert not fleet.is_blocked(ROOT, BAD)
    fleet.crash(ROOT, BAD)
    assert fleet.is_blocked(ROOT, BAD)


def test_an_answer_long_ago_does_not_count():
    fleet = Fleet()
    fleet.answer(ROOT, BAD)
    fleet.now += ANSWER_TTL_S + 1
    fleet.crash(ROOT, BAD, times=MIN_CRASHES)
    assert fleet.is_blocked(ROOT, BAD)


def test_nothing_is_blocked_while_servers_crash_on_every_request():
    fleet = Fleet()
    for server in range(40):
        fleet.now += 0.1
        fleet.hosts[0].record_crash(server, (ROOT, BAD), fleet.now)
    # Requests are held back, and one is let through now and then: see test_crash_holds.
    until = fleet.now + LONGEST_TRIAL_PAUSE_S + 2 * TURN_S
    while fleet.is_blocked(ROOT, BAD):
        assert fleet.now < until
        fleet.now += TURN_S / 2
    assert fleet.hosts[0].list_blocks() == []
    fleet.answer(ROOT, BAD)
    assert not fleet.is_blocked(ROOT, BAD)


def test_all_parts_of_a_long_prompt_are_looked_at():
    parts = [PromptPart(f"part{number}", 9) for number in range(40)]
    assert len(hash_shared_parts(parts)) == 39


def test_parts_with_a_small_share_of_many_crashes_are_not_blocked():
    fleet = Fleet()
    for number in range(60):
        fleet.crash(ROOT, 100 + number % 6)
    assert not any(fleet.is_blocked(ROOT, 100 + number) for number in range(6))


@pytest.mark.parametrize("parts", [3, 4])
def test_several_parts_that_crash_servers_at_once_are_all_blocked(parts):
    fleet = Fleet()
    for number in range(MIN_CRASHES * parts):
        fleet.crash(ROOT, 100 + number % parts)
    assert all(fleet.is_blocked(ROOT, 100 + number) for number in range(parts))


def test_crashes_seen_by_different_hosts_add_up():
    fleet = Fleet(hosts=MIN_CRASHES)
    for host in range(MIN_CRASHES):
        fleet.crash(ROOT, BAD, host=host)
    for host in range(MIN_CRASHES):
        assert fleet.is_blocked(ROOT, BAD, host=host)


def test_one_crash_seen_by_many_hosts_counts_once():
    fleet = Fleet(hosts=6)
    for host in fleet.hosts:
        host.record_crash(7, (ROOT, BAD), fleet.now)
    for host in range(6):
        fleet.answer(ROOT, OTHER, host=host)
    assert not any(fleet.is_blocked(ROOT, BAD, host=host) for host in range(6))


def test_a_crash_that_an_answer_has_cleared_is_not_forwarded_again():
    now = 100.0
    crashes = CrashUpdates(crashes=[(7, 50, [BAD])])
    collector = PromptBlocks()
    collector.accept_updates(crashes, now, is_forwarded=True)
    for step in range(20):
        now += 0.1
        collector.record_answer((BAD,), now)
        # Copies take other ways, so their ages differ by the time these take.
        collector.accept_updates(crashes, now + 0.001 * step, is_forwarded=True)
        updates = collector.take_updates(now, repeats_blocks=False)
    assert updates is None


def test_a_host_without_crashes_of_its_own_learns_of_a_block():
    fleet = Fleet(hosts=2)
    fleet.crash(ROOT, BAD, times=MIN_CRASHES)
    assert fleet.is_blocked(ROOT, BAD)
    joined = PromptBlocks()
    updates = fleet.hosts[0].take_updates(fleet.now, repeats_blocks=False)
    joined.accept_updates(updates, fleet.now, is_forwarded=False)
    assert joined.find_blocked((BAD,), fleet.now) == BAD


def test_a_companion_of_the_part_to_blame_is_tried_alone():
    fleet = Fleet(hosts=2)
    fleet.crash(ROOT, COMPANION, BAD, times=MIN_CRASHES)
    for host in range(2):
        assert fleet.is_blocked(ROOT, COMPANION, BAD, host=host)
        assert not fleet.is_blocked(ROOT, COMPANION, OTHER, host=host)
    assert fleet.is_blocked(ROOT, COMPANION, OTHER)
    fleet.answer(ROOT, COMPANION)
    for host in range(2):
        assert not fleet.is_blocked(ROOT, COMPANION, host=host)
        assert fleet.is_blocked(ROOT, COMPANION, BAD, host=host)


def test_a_part_is_not_tried_again_with_ever_new_companions():
    fleet = Fleet(hosts=9)
    for companion in range(MIN_CRASHES):
        fleet.crash(BAD, 1_000 + companion)
    tried = [
        number
        for number in range(len(fleet.hosts))
        if not fleet.is_blocked(BAD, 2_000 + number, host=number)
    ]
    assert tried == []


def test_a_part_that_crashes_its_trial_gets_no_other():
    fleet = Fleet()
    fleet.crash(ROOT, COMPANION, BAD, times=MIN_CRASHES)
    assert fleet.is_blocked(ROOT, COMPANION, BAD)
    assert not fleet.is_blocked(ROOT, BAD)
    fleet.crash(ROOT, BAD)
    fleet.now += TRIAL_INTERVAL_S + 1
    fleet.answer(ROOT, OTHER)
    assert fleet.is_blocked(ROOT, BAD)


def test_an_answer_under_way_lifts_a_block():
    fleet = Fleet(hosts=2)
    fleet.crash(ROOT, BAD, times=MIN_CRASHES)
    assert fleet.is_blocked(ROOT, BAD)
    fleet.exchange()
    assert fleet.is_blocked(ROOT, BAD, host=1)
    fleet.answer(ROOT, BAD, host=1)
    assert not fleet.is_blocked(ROOT, BAD)


def test_the_first_crash_after_a_block_blocks_the_part_again():
    fleet = Fleet()
    fleet.crash(ROOT, BAD, times=MIN_CRASHES)
    assert fleet.is_blocked(ROOT, BAD)
    fleet.now += BLOCK_S + 1
    fleet.hosts[0].expire(fleet.now)
    assert not fleet.is_blocked(ROOT, BAD)
    fleet.crash(ROOT, BAD)
    assert fleet.is_blocked(ROOT, BAD)


def test_repeats_that_arrive_late_do_not_prolong_a_block():
    first, second = PromptBlocks(), PromptBlocks()
    first.accept_block(Block(BAD, 0.0, BLOCK_S), 0.0, is_forwarded=False)
    for now in range(100):
        rows = CrashUpdates(blocks=first.list_rows(now))
        second.accept_updates(rows, now + 0.5, is_forwarded=False)
        rows = CrashUpdates(blocks=second.list_rows(now + 0.5))
        first.accept_updates(rows, now + 1.0, is_forwarded=False)
    assert first.measure_left(BAD, 0.0) == BLOCK_S


def test_the_last_part_of_a_prompt_is_never_blocked():
    parts = [PromptPart("a", 5), PromptPart("b", 5)]
    assert len(hash_shared_parts(parts)) == 1
    assert hash_shared_parts(parts[:1]) == ()
    assert hash_shared_parts([]) == ()


def test_a_block_that_an_answer_has_lifted_does_not_come_back():
    fleet = Fleet()
    fleet.crash(ROOT, BAD, times=MIN_CRASHES)
    assert fleet.is_blocked(ROOT, BAD)
    (block,) = fleet.hosts[0].list_blocks()
    fleet.answer(ROOT, BAD)
    fleet.now += 2 * ANSWER_TTL_S
    fleet.hosts[0].take_updates(fleet.now, repeats_blocks=False)
    # A host that was cut off repeats it, or the store still has it.
    fleet.hosts[0].accept_block(block, fleet.now, is_forwarded=True)
    assert not fleet.is_blocked(ROOT, BAD)
    updates = fleet.hosts[0].take_updates(fleet.now, repeats_blocks=False)
    cut_off = PromptBlocks()
    cut_off.accept_block(block, fleet.now, is_forwarded=False)
    cut_off.accept_updates(updates, fleet.now, is_forwarded=False)
    assert cut_off.find_blocked((BAD,), fleet.now) is None
