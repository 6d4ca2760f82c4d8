"""All orders of changes, starts and pulls leave hosts with the servers of the store."""

import pytest

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.store_era import StoreEra
from rosemarystream._internal.decisions.withheld_states import WithheldStates
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.position import Position
from tests.lib.spread_model import Step, run_steps, search_all, search_drawn

HOSTS = ("h1", "h2", "h3")
MORE_HOSTS = ("h1", "h2", "h3", "h4")
SHORT_KINDS = ("write", "remove", "watch", "restart", "pull")
ALL_KINDS = (*SHORT_KINDS, "compact", "ask", "deliver", "repeat")
COPY_KINDS = (*ALL_KINDS, "greet", "lapse", "copy", "load", "wait", "wait")
LIST_KINDS = (*COPY_KINDS, "list", "deliver")
DEPTH = 4


def describe(run):
    return None if run is None else "; ".join(str(step) for step in run)


def test_all_short_runs_leave_all_hosts_with_the_servers_of_the_store():
    assert describe(search_all(HOSTS, SHORT_KINDS, DEPTH)) is None


@pytest.mark.parametrize("seed", range(4))
def test_drawn_runs_leave_all_hosts_with_the_servers_of_the_store(seed):
    found = search_drawn(MORE_HOSTS, ALL_KINDS, runs=2_500, length=16, seed=seed)
    assert describe(found) is None


@pytest.mark.parametrize("seed", range(4))
def test_drawn_runs_with_copies_of_the_store_restore_nothing(seed):
    found = search_drawn(MORE_HOSTS, COPY_KINDS, runs=2_500, length=24, seed=seed)
    assert describe(found) is None


@pytest.mark.parametrize("kinds", [LIST_KINDS, (*ALL_KINDS, "list", "deliver")])
@pytest.mark.parametrize("seed", range(4))
def test_drawn_runs_with_lists_that_come_late_restore_nothing(kinds, seed):
    found = search_drawn(MORE_HOSTS, kinds, runs=2_500, length=24, seed=seed)
    assert describe(found) is None


def test_a_list_that_comes_late_brings_no_server_back():
    # The host has pulled the list of one that was without the server, and watches no
    # more, so that nothing would ever correct it.
    steps = [Step("restart", "h2"), Step("list", "h2"), Step("remove", "s1")]
    steps += [Step("restart", "h1"), Step("watch", "h1"), Step("pull", "h2", "h1")]
    assert run_steps(HOSTS, [*steps, Step("deliver")]) is None


def test_a_removal_before_the_start_of_the_asked_host():
    steps = [Step("remove", "s1"), Step("restart", "h1"), Step("watch", "h1")]
    assert run_steps(HOSTS, [*steps, Step("pull", "h3", "h1")]) is None


# The mechanisms that keep the hosts alike, each switched off.


def pass_on_without_lists(monkeypatch):
    select = Replica.select_delta
    monkeypatch.setattr(
        Replica,
        "select_delta",
        lambda self, position: select(self, position)._replace(is_whole=False),
    )


def forget_removals_of_unknown_servers(monkeypatch):
    accept = Replica.accept_removal

    def accept_known(self, name, position):
        return self.find_endpoint(name) is not None and accept(self, name, position)

    monkeypatch.setattr(Replica, "accept_removal", accept_known)


def accept_outdated_entries(monkeypatch):
    monkeypatch.setattr(Replica, "_is_outdated", lambda self, entry: False)


def accept_older_entries(monkeypatch):
    def accept(self, endpoint):
        self._endpoints[endpoint.name] = endpoint
        return True

    monkeypatch.setattr(Replica, "accept_endpoint", accept)


def order_by_revision_alone(monkeypatch):
    position = property(lambda self: Position(0, self.revision))
    monkeypatch.setattr(Endpoint, "position", position)


def believe_copies(monkeypatch):
    monkeypatch.setattr(StoreEra, "is_doubtful", lambda self, position: False)


def remove_what_copies_lack(monkeypatch):
    monkeypatch.setattr(StoreEra, "may_be_missing", lambda self, position, now: False)


def pass_on_nothing_lost(monkeypatch):
    monkeypatch.setattr(WithheldStates, "put", lambda self, name, state: None)


@pytest.mark.parametrize(
    "switch_off",
    [
        order_by_revision_alone,
        believe_copies,
        remove_what_copies_lack,
        pass_on_nothing_lost,
        pass_on_without_lists,
        forget_removals_of_unknown_servers,
        accept_outdated_entries,
        accept_older_entries,
    ],
)
def test_the_search_finds_what_each_mechanism_prevents(monkeypatch, switch_off):
    switch_off(monkeypatch)
    found = search_drawn(MORE_HOSTS, ALL_KINDS, runs=10_000, length=16, seed=1)
    found = found or search_drawn(
        MORE_HOSTS, COPY_KINDS, runs=10_000, length=24, seed=1
    )
    print(describe(found))
    assert found is not None
