"""Holders of prompt parts, learnt from every host."""

from rosemarystream._internal.decisions.context_map import (
    LIFE_S,
    RUMOUR_S,
    ContextMap,
)
from rosemarystream._internal.models.call import PromptPart

PARTS = (PromptPart("a", 2500), PromptPart("b", 6000), PromptPart("own", 500))


def test_a_server_that_has_read_a_prompt_reads_only_the_rest():
    contexts = ContextMap()
    contexts.note_use(["m/a", "m/b"], "s1", 0.0)
    assert contexts.count_unread("m", PARTS, "s1", 1.0) == 500
    assert contexts.count_unread("m", PARTS, "s2", 1.0) == 9000


def test_a_part_counts_only_if_all_before_it_are_held():
    contexts = ContextMap()
    contexts.note_use(["m/b"], "s1", 0.0)
    assert contexts.count_unread("m", PARTS, "s1", 1.0) == 9000


def test_news_reaches_a_third_host_and_then_dies_out():
    first, second, third = ContextMap(), ContextMap(), ContextMap()
    first.note_use(["m/a"], "s1", 0.0)
    second.accept_rumours(first.list_rumours(0.1), 0.1)
    third.accept_rumours(second.list_rumours(0.2), 0.2)
    assert third.count_unread("m", PARTS, "s1", 0.3) == 6500
    first.accept_rumours(third.list_rumours(0.3), 0.3)
    later = 0.3 + RUMOUR_S + 0.01
    assert not first.list_rumours(later)
    assert not second.list_rumours(later)
    assert not third.list_rumours(later)


def test_what_was_not_used_for_long_is_taken_as_dropped():
    contexts = ContextMap()
    contexts.note_use(["m/a"], "s1", 0.0)
    assert contexts.count_unread("m", PARTS, "s1", LIFE_S + 1) == 9000


def test_a_server_that_has_started_anew_holds_nothing():
    contexts = ContextMap()
    contexts.note_use(["m/a"], "s1", 0.0)
    contexts.forget_server("s1")
    assert contexts.count_unread("m", PARTS, "s1", 0.1) == 9000
