"""Objects that are ignored are reported once, and not longer than they last."""

from rosemarystream._internal.decisions.ignored_objects import (
    MAX_OBJECTS,
    IgnoredObjects,
)


def test_a_revision_is_reported_once():
    reported = []
    objects = IgnoredObjects(on_new=reported.append)
    assert [objects.add("servers", "s1", n, "odd") for n in (5, 5, 6, 6)] == [
        True,
        False,
        True,
        False,
    ]
    assert reported == ["servers", "servers"]


def test_objects_without_a_readable_name_are_told_apart():
    objects = IgnoredObjects()
    added = [objects.add("servers", "", n, "odd") for n in (5, 6, 5, 6)]
    assert added == [True, True, False, False]


def test_an_object_that_is_sound_again_is_no_longer_named():
    objects = IgnoredObjects()
    objects.add("servers", "s1", 5, "odd")
    objects.add("servers", "s2", 6, "odd too")
    objects.remove("servers", "s1")
    objects.remove("config", "s2")
    assert objects.list_reasons() == {"servers/s2": "odd too"}


def test_an_object_that_is_gone_from_the_list_is_no_longer_named():
    objects = IgnoredObjects()
    for kind, name in (("servers", "s1"), ("servers", "s2"), ("config", "main")):
        objects.add(kind, name, 5, "odd")
    objects.keep_listed("servers", [("s2", 5), ("s3", 7)])
    assert [*objects.list_reasons()] == ["servers/s2", "config/main"]


def test_many_odd_objects_take_a_limited_memory():
    objects = IgnoredObjects()
    for number in range(2 * MAX_OBJECTS):
        objects.add("servers", f"s{number}", 1, "odd")
    assert len(objects.list_reasons()) == MAX_OBJECTS
