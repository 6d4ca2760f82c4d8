"""All orders of news of evacuations leave all hosts with the same state."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.evacuations import (
    MAX_RECORDS,
    EvacuationRecord,
    Evacuations,
)
from rosemarystream._internal.decisions.store_era import DOUBT_S, StoreEra
from rosemarystream._internal.models.position import START, Position
from tests.lib.evacuation_model import COPY_KINDS, DATA_CENTRES, search_drawn

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


def at(revision):
    return Position(0, revision)


def tell(evacuations, item):
    if item[0] == "listing":
        listed = {name: at(revision) for name, revision in item[1].items()}
        evacuations.accept_listing(listed, at(item[2]), NOW)
    else:
        _, name, revision, is_in_force = item
        record = EvacuationRecord(name, at(revision), is_in_force, NOW)
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
    assert evacuations.list_rows(NOW + 0.5) == [("a", at(5), True, 500)]


def test_ended_evacuations_take_bounded_memory_and_displace_none_in_force():
    evacuations = Evacuations()
    tell(evacuations, ("record", "a", 1, True))
    for number in range(3 * MAX_RECORDS):
        tell(evacuations, ("record", f"dc{number}", 10 + number, False))
    assert len(evacuations.list_records()) == MAX_RECORDS
    assert evacuations.list_records()[0].data_centre == "a"


# Orders of watches, messages, pulls, restarts and outages of the store


@pytest.mark.parametrize("seed", range(4))
def test_all_runs_leave_all_hosts_with_the_evacuations_of_the_store(seed):
    assert search_drawn(runs=2_500, seed=seed) is None


@pytest.mark.parametrize("seed", range(4))
def test_runs_with_copies_of_the_store_begin_and_end_no_evacuation(seed):
    assert search_drawn(runs=2_500, seed=seed, kinds=COPY_KINDS) is None


def restore_by_late_records(monkeypatch):
    monkeypatch.setattr(EvacuationRecord, "is_newer", lambda self, other: True)


def ignore_listings(monkeypatch):
    accept = Evacuations.accept_listing

    def accept_present(self, listed, position, now):
        self._listed_at = START
        absent = {r.data_centre: r.position for r in self.list_records()}
        return accept(self, {**absent, **listed}, START, now)

    monkeypatch.setattr(Evacuations, "accept_listing", accept_present)


def forget_ended(monkeypatch):
    accept = Evacuations.accept

    def accept_and_forget(self, record, *, source, now):
        accepted = accept(self, record, source=source, now=now)
        self._records = {k: r for k, r in self._records.items() if r.is_in_force}
        return accepted

    monkeypatch.setattr(Evacuations, "accept", accept_and_forget)


def tell_before_told(monkeypatch):
    accept = Evacuations.accept

    def accept_and_know(self, record, *, source, now):
        self.is_known = True
        return accept(self, record, source=source, now=now)

    monkeypatch.setattr(Evacuations, "__init__", _known_at_start(Evacuations.__init__))
    monkeypatch.setattr(Evacuations, "accept", accept_and_know)


def _known_at_start(init):
    def start(self, **arguments):
        init(self, **arguments)
        self.is_known = True

    return start


@pytest.mark.parametrize(
    "switch_off",
    [restore_by_late_records, ignore_listings, forget_ended, tell_before_told],
)
def test_the_runs_find_what_each_mechanism_prevents(monkeypatch, switch_off):
    switch_off(monkeypatch)
    assert search_drawn(runs=2_500, seed=1) is not None


# Withheld records had been ordered by position alone, for a time.
@pytest.mark.parametrize("is_listed_first", [False, True])
def test_of_two_withheld_records_at_a_position_the_one_in_force_wins(is_listed_first):
    era = StoreEra()
    evacuations = Evacuations(era=era)

    def accept(era_number, revision, is_in_force):
        position = Position(era_number, revision)
        record = EvacuationRecord("b", position, is_in_force, NOW)
        evacuations.accept(record, source="h2", now=NOW)

    era.record_answer(Position(1, 20), NOW)
    accept(1, 21, True)
    era.record_answer(Position(2, 6), NOW)
    if is_listed_first:
        evacuations.accept_listing({}, Position(2, 5), NOW)
    accept(1, 22, False)
    accept(2, 5, True)
    assert not evacuations.is_evacuated("b")
    evacuations.release(NOW + DOUBT_S)
    assert evacuations.is_evacuated("b")
