"""Prompt parts that are blocked because servers crash on them."""

import msgspec
import pytest

from rosemarystream._internal.decisions.crash_evidence import (
    ANSWER_TTL_S,
    MAX_KEPT_PARTS,
    MAX_SUSPECTS,
    MIN_CRASHES,
    MIN_CRASHES_AFTER_ANSWER,
)
from rosemarystream._internal.decisions.crash_holds import (
    LONGEST_TRIAL_PAUSE_S,
    TURN_S,
    HostTurn,
)
from rosemarystream._internal.decisions.prompt_blocks import (
    ANSWERS_PER_MESSAGE,
    BLOCK_S,
    MAX_TRIAL_TURNS,
    PARTS_PER_ROW,
    RARE_INTERVAL_S,
    SEND_ROUNDS,
    TRIAL_INTERVAL_S,
    Block,
    PromptBlocks,
)
from rosemarystream._internal.decisions.prompt_parts import hash_shared_parts
from rosemarystream._internal.gateway.peering import MAX_DATAGRAM_BYTES
from rosemarystream._internal.models.call import PromptPart
from rosemarystream._internal.models.gossip import CrashUpdates
from tests.lib.block_hosts import exchange_updates

ROOT, BAD, OTHER, COMPANION = 1, 2, 3, 4


class Fleet:
    """Hosts that hear each other's updates at once, and may take turns with trials."""

    def __init__(self, hosts=1, *, take_turns=False):
        self.now = 100.0
        alone = HostTurn(0, 1)
        turns = [HostTurn(n, hosts) if take_turns else alone for n in range(hosts)]
        self.hosts = [PromptBlocks(find_turn=lambda now, x=turn: x) for turn in turns]
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


# review/14: a part behind the first 128 crashed one server after the other.
@pytest.mark.parametrize("size", [40, 152, 2_600])
def test_all_parts_of_a_long_prompt_are_looked_at(size):
    parts = [PromptPart(f"part{number}", 9) for number in range(size)]
    assert len(hash_shared_parts(parts)) == size - 1


@pytest.mark.parametrize("size", [40, 150, 2_600])
def test_a_part_behind_many_others_is_blocked_on_all_hosts(size):
    fleet = Fleet(hosts=3)
    shared = range(100, 100 + size)
    for number in range(MIN_CRASHES_AFTER_ANSWER):
        fleet.crash(*shared, BAD, host=number % 3)
        fleet.answer(*shared, OTHER, times=1)
        fleet.now += 1.0
        for _ in range(SEND_ROUNDS * (1 + size // ANSWERS_PER_MESSAGE)):
            fleet.exchange()
    for host in range(3):
        assert fleet.is_blocked(*shared, BAD, host=host)
        assert not fleet.is_blocked(*shared, OTHER, host=host)


def test_crashes_of_many_long_prompts_fit_into_datagrams():
    host, other = PromptBlocks(), PromptBlocks()
    for server in range(40):
        parts = tuple(range(server * 10_000, server * 10_000 + 2_600))
        host.record_crash(2**40 + server, (*parts, 2**63 + server), 100.0)
    for _ in range(40 * SEND_ROUNDS):
        updates = host.take_updates(100.0, repeats_blocks=False)
        assert len(msgspec.msgpack.encode(updates)) < MAX_DATAGRAM_BYTES / 2
        assert all(len(parts) <= PARTS_PER_ROW for _, _, parts in updates.crashes)
        other.accept_updates(updates, 100.0, is_forwarded=False)
    assert host.take_updates(100.0, repeats_blocks=False) is None
    evidence, expected = other._evidence, host._evidence
    assert evidence._requests == expected._requests
    assert evidence._suspects.keys() == expected._suspects.keys()


def test_evidence_of_ever_new_long_prompts_takes_bounded_memory():
    host = PromptBlocks()
    for server in range(400):
        parts = tuple(range(server * 10_000, server * 10_000 + 6_000))
        host.record_crash(server, parts, 100.0)
    evidence = host._evidence
    assert len(evidence._suspects) <= MAX_SUSPECTS
    assert sum(len(x) for y in evidence._requests.values() for x in y) <= MAX_KEPT_PARTS


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


# review/12: sound prompts with two of the blocked parts were refused for ten minutes.
@pytest.mark.parametrize("shared", [2, 150])
def test_requests_with_all_blocked_parts_but_one_are_tried(shared):
    fleet = Fleet(hosts=2)
    parts = range(100, 100 + shared)
    fleet.crash(*parts, BAD, times=MIN_CRASHES)
    assert all(fleet.is_blocked(*parts, BAD, host=host) for host in range(2))
    fleet.now += 2 * TURN_S
    assert not fleet.is_blocked(*parts, OTHER)
    assert fleet.is_blocked(*parts, OTHER)
    assert all(fleet.is_blocked(*parts, BAD, host=host) for host in range(2))
    fleet.answer(*parts, OTHER)
    assert not any(fleet.is_blocked(*parts, OTHER, host=host) for host in range(2))
    assert all(fleet.is_blocked(*parts, BAD, host=host) for host in range(2))


def test_hosts_take_turns_with_trials_where_nothing_tells_which_part_it_is():
    fleet = Fleet(hosts=40, take_turns=True)
    fleet.crash(COMPANION, BAD, times=MIN_CRASHES)
    for host in range(40):
        assert fleet.is_blocked(COMPANION, BAD, host=host)
    tried = [h for h in range(40) if not fleet.is_blocked(BAD, OTHER, host=h)]
    assert 0 < len(tried) <= 40 / MAX_TRIAL_TURNS


def test_a_rare_request_is_tried_without_a_turn():
    fleet = Fleet(hosts=40, take_turns=True)
    fleet.crash(COMPANION, BAD, times=MIN_CRASHES)
    assert fleet.is_blocked(COMPANION, BAD)
    fleet.now += 40 * RARE_INTERVAL_S
    assert not any(fleet.is_blocked(COMPANION, OTHER, host=h) for h in range(40))


def test_parts_that_were_ever_answered_are_tried_at_once_beside_one_that_was_not():
    fleet = Fleet(hosts=40, take_turns=True)
    for host in range(40):
        fleet.answer(COMPANION, host=host)
    fleet.now += ANSWER_TTL_S + 1
    fleet.crash(COMPANION, BAD, times=MIN_CRASHES)
    assert fleet.is_blocked(COMPANION, BAD)
    assert not any(fleet.is_blocked(COMPANION, OTHER, host=h) for h in range(40))


def test_another_request_at_the_crashed_server_hides_no_part():
    # Which of the requests that ran there is to blame isn't known.
    fleet = Fleet()
    for number in range(MIN_CRASHES):
        server = next(fleet._servers)
        for parts in ((COMPANION, 700 + number), (COMPANION, BAD)):
            fleet.now += 0.01
            fleet.hosts[0].record_crash(server, parts, fleet.now)
        fleet.answer(ROOT)
    assert fleet.is_blocked(COMPANION, BAD)
    fleet.now += 2 * TURN_S
    assert not fleet.is_blocked(COMPANION, 7)


def test_a_block_of_a_part_that_was_answered_meanwhile_is_tried():
    # Its sender had no news of the answer, and this host none of its crashes.
    host = PromptBlocks()
    host.record_answer([COMPANION], 100.0)
    host.accept_block(Block(COMPANION, 101.0, 700.0), 101.0, is_forwarded=False)
    host.accept_block(Block(BAD, 101.0, 700.0), 101.0, is_forwarded=False)
    assert host.find_blocked([COMPANION], 110.0) is None
    assert host.find_blocked([BAD], 110.0) == BAD


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
