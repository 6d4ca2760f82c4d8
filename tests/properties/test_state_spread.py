"""All orders of changes, starts and pulls leave hosts with the servers of the store."""

import pytest

from rosemarystream._internal.decisions.replica import Replica
from tests.lib.spread_model import Step, run_steps, search_all, search_drawn

HOSTS = ("h1", "h2", "h3")
MORE_HOSTS = ("h1", "h2", "h3", "h4")
SHORT_KINDS = ("write", "remove", "watch", "restart", "pull")
ALL_KINDS = (*SHORT_KINDS, "compact", "ask", "deliver", "repeat")
DEPTH = 4


def describe(run):
    return None if run is None else "; ".join(str(step) for step in run)


def test_all_short_runs_leave_all_hosts_with_the_servers_of_the_store():
    assert describe(search_all(HOSTS, SHORT_KINDS, DEPTH)) is None


@pytest.mark.parametrize("seed", range(4))
def test_drawn_runs_leave_all_hosts_with_the_servers_of_the_store(seed):
    found = search_drawn(MORE_HOSTS, ALL_KINDS, runs=2_500, length=16, seed=seed)
    assert describe(found) is None


def test_a_removal_before_the_start_of_the_asked_host():
    steps = [Step("remove", "s1"), Step("restart", "h1"), Step("watch", "h1")]
    assert run_steps(HOSTS, [*steps, Step("pull", "h3", "h1")]) is None


# The mechanisms that keep the hosts alike, each switched off.


def pass_on_without_lists(monkeypatch):
    select = Replica.select_delta
    monkeypatch.setattr(
        Replica,
        "select_delta",
        lambda self, revision: select(self, revision)._replace(is_whole=False),
    )


def forget_removals_of_unknown_servers(monkeypatch):
    accept = Replica.accept_removal

    def accept_known(self, name, revision):
        return self.find_endpoint(name) is not None and accept(self, name, revision)

    monkeypatch.setattr(Replica, "accept_removal", accept_known)


def accept_outdated_entries(monkeypatch):
    monkeypatch.setattr(Replica, "_is_outdated", lambda self, entry: False)


def accept_older_entries(monkeypatch):
    def accept(self, endpoint):
        self._endpoints[endpoint.name] = endpoint
        return True

    monkeypatch.setattr(Replica, "accept_endpoint", accept)


@pytest.mark.parametrize(
    "switch_off",
    [
        pass_on_without_lists,
        forget_removals_of_unknown_servers,
        accept_outdated_entries,
        accept_older_entries,
    ],
)
def test_the_search_finds_what_each_mechanism_prevents(monkeypatch, switch_off):
    switch_off(monkeypatch)
    found = search_drawn(MORE_HOSTS, ALL_KINDS, runs=10_000, length=16, seed=1)
    print(describe(found))
    assert found is not None
