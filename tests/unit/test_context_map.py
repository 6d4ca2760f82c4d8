"""Prompt parts cached by servers, as reported by all hosts."""

from rosemarystream._internal.decisions.context_map import (
    HOLDING_TTL_S,
    UPDATES_PER_MESSAGE,
    ContextMap,
    hash_part,
)
from rosemarystream._internal.models.call import PromptPart

PARTS = (PromptPart("a", 2500), PromptPart("b", 6000), PromptPart("own", 500))
A, B = (hash_part("m", part) for part in PARTS[:2])
S1, S2 = 1, 2


def count_uncached(contexts, server, now):
    return contexts.count_uncached_tokens("m", PARTS, [server], now)[server]


def test_server_that_cached_prompt_parts_prefills_only_the_remainder():
    contexts = ContextMap()
    contexts.record_use([A, B], S1, 0.0)
    assert count_uncached(contexts, S1, 1.0) == 500
    assert count_uncached(contexts, S2, 1.0) == 9000


def test_holder_of_a_part_also_holds_preceding_parts():
    contexts = ContextMap()
    contexts.record_use([A, B], S1, 0.0)
    assert contexts.take_cache_updates() == [(B, S1)]
    other = ContextMap()
    other.accept_cache_updates([(B, S1)], 0.1)
    assert count_uncached(other, S1, 0.2) == 500


def test_part_in_steady_use_is_reported_again_before_it_expires():
    contexts, other = ContextMap(), ContextMap()
    now = 0.0
    while now < 3 * HOLDING_TTL_S:
        now += 0.2
        contexts.record_use([A, B], S1, now)
        other.accept_cache_updates(contexts.take_cache_updates(), now)
        assert count_uncached(other, S1, now) == 500


def test_cache_update_reaches_a_third_host_and_is_not_forwarded_again():
    first, second, third = ContextMap(), ContextMap(), ContextMap()
    first.record_use([A], S1, 0.0)
    second.accept_cache_updates(first.take_cache_updates(), 0.1)
    third.accept_cache_updates(second.take_cache_updates(), 0.2)
    assert count_uncached(third, S1, 0.3) == 6500
    first.accept_cache_updates(third.take_cache_updates(), 0.3)
    assert not first.take_cache_updates()
    assert not second.take_cache_updates()
    assert not third.take_cache_updates()


def test_many_cache_updates_are_all_sent_over_several_messages():
    contexts, other = ContextMap(), ContextMap()
    for part in range(5 * UPDATES_PER_MESSAGE):
        contexts.record_use([part], S1, 0.0)
    for _ in range(5):
        other.accept_cache_updates(contexts.take_cache_updates(), 0.1)
    assert all(other.is_held(part, 0.2) for part in range(5 * UPDATES_PER_MESSAGE))


def test_part_unused_for_the_ttl_counts_as_evicted():
    contexts = ContextMap()
    contexts.record_use([A], S1, 0.0)
    assert count_uncached(contexts, S1, HOLDING_TTL_S + 1) == 9000


def test_restarted_server_holds_no_parts():
    contexts = ContextMap()
    contexts.record_use([A], S1, 0.0)
    contexts.forget_server(S1)
    assert count_uncached(contexts, S1, 0.1) == 9000


def test_part_in_prefill_cannot_be_copied_yet():
    contexts = ContextMap()
    parts = [PromptPart("a", 900), PromptPart("own", 50)]
    numbers = [hash_part("m", part) for part in parts[:1]]
    contexts.record_use(numbers, 1, 10.0)
    contexts.record_use(numbers, 1, 10.3)

    def count_uncached_tokens(now):
        return contexts.count_uncached_tokens("m", parts, [1], now, min_held_s=0.6)

    assert count_uncached_tokens(10.4) == {1: 950}
    assert count_uncached_tokens(10.7) == {1: 50}


def test_a_host_that_has_just_started_takes_the_map_of_another():
    known, new = ContextMap(), ContextMap()
    known.record_use([A, B], S1, 0.0)
    known.record_use([A], S2, 5.0)
    new.record_use([B], S2, 8.0)
    new.accept_entries(known.list_entries(6.0), 106.0)
    assert count_uncached(new, S1, 106.0) == 500
    assert count_uncached(new, S2, 106.0) == 6500
    assert count_uncached(new, S1, 100.0 + HOLDING_TTL_S + 0.1) == 9000


def test_a_map_that_is_taken_over_is_not_sent_on():
    known, new = ContextMap(), ContextMap()
    known.record_use([A, B], S1, 0.0)
    new.accept_entries(known.list_entries(0.0), 0.0)
    new.record_use([A, B], S1, 1.0)
    assert new.take_cache_updates() == []


def test_entries_of_another_map_do_not_replace_newer_ones():
    contexts = ContextMap()
    contexts.record_use([A, B], S1, 50.0)
    contexts.accept_entries([(A, S1, 20_000), (B, S1, 20_000)], 50.0)
    assert count_uncached(contexts, S1, 50.0 + HOLDING_TTL_S - 1) == 500
