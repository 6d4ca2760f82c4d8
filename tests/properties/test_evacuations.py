"""All orders of news of evacuations leave all hosts with the same state."""

from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.evacuations import (
    MAX_RECORDS,
    EvacuationRecord,
    Evacuations,
)

DATA_CENTRES = ("a", "b", "c")
NOW = 50.0


def run_store(changes):
    """Return what a store tells: its records, and a listing after each change.

    Each change writes the object of a data centre if there is none, else removes it.
    """
    objects, news = {}, [("listing", {}, 1)]
    for revision, name in enumerate(changes, 2):
        if name in objects:
            del objects[name]
        else:
            objects[name] = revision
        news.append(("record", name, revision, name in objects))
        news.append(("listing", dict(objects), revision))
    return objects, news


def tell(evacuations, item):
    if item[0] == "listing":
        evacuations.accept_listing(item[1], item[2], NOW)
    else:
        record = EvacuationRecord(*item[1:], NOW)
        evacuations.accept(record, source="store", now=NOW)


def list_evacuated(evacuations):
    return {name for name in DATA_CENTRES if evacuations.is_evacuated(name)}


stores = st.lists(st.sampled_from(DATA_CENTRES), max_size=8).map(run_store)


@st.composite
def stores_in_disorder(draw):
    """A store, and what it tells in any order, some of it twice or never."""
    objects, news = draw(stores)
    told = draw(st.lists(st.sampled_from(news), max_size=12))
    return objects, news, told


@given(stores_in_disorder())
def test_the_last_listing_decides_whatever_comes_before_or_after_it(drawn):
    objects, news, told = drawn
    before, after = Evacuations(), Evacuations()
    for item in [*told, news[-1]]:
        tell(before, item)
    for item in [news[-1], *told]:
        tell(after, item)
    assert list_evacuated(before) == list_evacuated(after) == set(objects)


@given(stores, st.randoms(use_true_random=False))
def test_records_alone_give_the_same_state_in_any_order(drawn, rng):
    objects, news = drawn
    records = [item for item in news if item[0] == "record"]
    told = [*records, *records]
    rng.shuffle(told)
    evacuations = Evacuations()
    for item in told:
        tell(evacuations, item)
    assert list_evacuated(evacuations) == set(objects)


@given(stores_in_disorder(), st.data())
def test_hosts_that_tell_each_other_all_records_agree(drawn, data):
    # Late rows of one host, also repeated, restore nothing that another saw to end.
    _, _, told = drawn
    hosts = [Evacuations() for _ in range(3)]
    for item in told:
        tell(hosts[data.draw(st.integers(0, 2))], item)
    late = [host.list_rows(NOW) or [] for host in hosts]
    # One round for a host to know all, and one there and back for what has ended.
    for _ in range(4):
        for rows in [*late, *(host.list_rows(NOW) or [] for host in hosts)]:
            for host in hosts:
                host.accept_rows(rows, source="h", now=NOW)
    states = [list_evacuated(host) for host in hosts]
    assert states[0] == states[1] == states[2]
    for rows in late:
        hosts[0].accept_rows(rows, source="h", now=NOW)
    assert list_evacuated(hosts[0]) == states[0]


@given(stores_in_disorder())
def test_each_begin_and_end_is_reported_once(drawn):
    evacuations, in_force = Evacuations(), set()
    for item in drawn[2]:
        tell(evacuations, item)
        for change in evacuations.take_changes():
            assert change.is_in_force == (change.data_centre not in in_force)
            in_force ^= {change.data_centre}
        assert list_evacuated(evacuations) == in_force
    assert evacuations.count_in_force() == len(in_force)


def test_a_host_knows_the_evacuations_only_once_it_has_been_told_all():
    evacuations = Evacuations()
    tell(evacuations, ("record", "a", 5, True))
    assert evacuations.list_rows(NOW) is None
    evacuations.accept_rows([], source="h", now=NOW)
    assert evacuations.list_rows(NOW + 0.5) == [("a", 5, True, 500)]


def test_ended_evacuations_take_bounded_memory_and_displace_none_in_force():
    evacuations = Evacuations()
    tell(evacuations, ("record", "a", 1, True))
    for number in range(3 * MAX_RECORDS):
        tell(evacuations, ("record", f"dc{number}", 10 + number, False))
    assert len(evacuations.list_records()) == MAX_RECORDS
    assert evacuations.list_records()[0].data_centre == "a"
