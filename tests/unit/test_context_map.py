"""Holders of prompt parts, learnt from every host."""

from rosemarystream._internal.decisions.context_map import (
    LIFE_S,
    RUMOURS_PER_BEAT,
    ContextMap,
    number_part,
)
from rosemarystream._internal.models.call import PromptPart

PARTS = (PromptPart("a", 2500), PromptPart("b", 6000), PromptPart("own", 500))
A, B = (number_part("m", part) for part in PARTS[:2])
S1, S2 = 1, 2


def count_unread(contexts, server, now):
    return contexts.list_unread("m", PARTS, [server], now)[server]


def test_a_server_that_has_read_a_prompt_reads_only_the_rest():
    contexts = ContextMap()
    contexts.note_use([A, B], S1, 0.0)
    assert count_unread(contexts, S1, 1.0) == 500
    assert count_unread(contexts, S2, 1.0) == 9000


def test_who_holds_a_part_holds_those_before_it():
    contexts = ContextMap()
    contexts.note_use([A, B], S1, 0.0)
    assert contexts.take_rumours() == [(B, S1)]
    other = ContextMap()
    other.accept_rumours([(B, S1)], 0.1)
    assert count_unread(other, S1, 0.2) == 500


def test_a_part_in_steady_use_is_told_again_before_others_forget_it():
    contexts, other = ContextMap(), ContextMap()
    now = 0.0
    while now < 3 * LIFE_S:
        now += 0.2
        contexts.note_use([A, B], S1, now)
        other.accept_rumours(contexts.take_rumours(), now)
        assert count_unread(other, S1, now) == 500


def test_news_reaches_a_third_host_and_then_dies_out():
    first, second, third = ContextMap(), ContextMap(), ContextMap()
    first.note_use([A], S1, 0.0)
    second.accept_rumours(first.take_rumours(), 0.1)
    third.accept_rumours(second.take_rumours(), 0.2)
    assert count_unread(third, S1, 0.3) == 6500
    first.accept_rumours(third.take_rumours(), 0.3)
    assert not first.take_rumours()
    assert not second.take_rumours()
    assert not third.take_rumours()


def test_much_news_at_once_is_all_told_in_turn():
    contexts, other = ContextMap(), ContextMap()
    for part in range(5 * RUMOURS_PER_BEAT):
        contexts.note_use([part], S1, 0.0)
    for _ in range(5):
        other.accept_rumours(contexts.take_rumours(), 0.1)
    assert all(other.is_held(part, 0.2) for part in range(5 * RUMOURS_PER_BEAT))


def test_what_was_not_used_for_long_is_taken_as_dropped():
    contexts = ContextMap()
    contexts.note_use([A], S1, 0.0)
    assert count_unread(contexts, S1, LIFE_S + 1) == 9000


def test_a_server_that_has_started_anew_holds_nothing():
    contexts = ContextMap()
    contexts.note_use([A], S1, 0.0)
    contexts.forget_server(S1)
    assert count_unread(contexts, S1, 0.1) == 9000


def test_a_part_that_is_still_being_read_is_not_there_to_be_copied():
    contexts = ContextMap()
    parts = [PromptPart("a", 900), PromptPart("own", 50)]
    numbers = [number_part("m", part) for part in parts[:1]]
    contexts.note_use(numbers, 1, 10.0)
    contexts.note_use(numbers, 1, 10.3)

    def list_unread(now):
        return contexts.list_unread("m", parts, [1], now, held_for_s=0.6)

    assert list_unread(10.4) == {1: 950}
    assert list_unread(10.7) == {1: 50}
