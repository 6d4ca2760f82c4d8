"""A store that stops answering a waiting call, without a reset."""

import time

import gevent
import msgspec

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.server_watch import ServerWatch
from rosemarystream._internal.gateway.store_watches import ConfigurationWatch
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.position import START, Position
from rosemarystream._internal.platform.store import Listing
from rosemarystream._internal.platform.store_answers import (
    Change,
    Changes,
    StoredObject,
)
from tests.lib.entry_world import make_entry

# A change has to be in force this long after the store has accepted it.
IN_FORCE_S = 2.0
# Time in which the next host in order takes over and passes the change on.
HANDOVER_S = 0.5


class SilentStore:
    """Lists the objects, and never answers a call that waits for changes."""

    def list(self, kind):
        return Listing([], 1)

    def watch(self, kind, position, wait_s):
        gevent.sleep(60.0)

    def close(self):
        pass


def test_a_host_reports_in_time_that_the_store_no_longer_answers():
    watch = ConfigurationWatch(
        store=SilentStore(),
        clock=time.monotonic,
        replica=Replica(),
        is_watcher=lambda: True,
        on_change=lambda: None,
        supervisor=Supervisor(clock=time.monotonic),
    )
    watch.start()
    try:
        gevent.sleep(IN_FORCE_S - HANDOVER_S)
        assert watch.lost_at is not None
    finally:
        watch.stop()


class ChangingStore:
    """Lists nothing, and then tells of some changes, answer by answer."""

    def __init__(self, *answers):
        self.answers = [*answers]

    def list(self, kind):
        return Listing([], 1)

    def watch(self, kind, position, wait_s):
        if not self.answers:
            gevent.sleep(60.0)
        return self.answers.pop(0)

    def close(self):
        pass


def follow(store):
    """Return the replica of a host that has read all the answers of a store."""
    replica = Replica()
    watch = ServerWatch(
        store=store,
        clock=time.monotonic,
        replica=replica,
        is_watcher=lambda: True,
        on_change=lambda: None,
        supervisor=Supervisor(clock=time.monotonic),
    )
    watch.start()
    try:
        with gevent.Timeout(5.0):
            while store.answers:
                gevent.sleep(0.01)
    finally:
        watch.stop()
    return replica


def test_the_removal_of_an_odd_name_is_not_passed_on():
    # A host that gets one among the removals of an answer can't read the answer.
    names = ["", "o\r\nx: 1", "日", "o" * 300, "gone"]
    removals = [Change(StoredObject(name, 5, b""), True) for name in names]
    replica = follow(ChangingStore(Changes(removals, 6)))
    assert replica.select_delta(START).removed == {"gone": Position(0, 6)}
    assert replica.position == Position(0, 6)


class LosingStore(ChangingStore):
    """Never answers the first call that waits for changes."""

    def __init__(self, *answers):
        super().__init__(*answers)
        self.has_lost = False

    def watch(self, kind, position, wait_s):
        if not self.has_lost:
            self.has_lost = True
            gevent.sleep(60.0)
        return super().watch(kind, position, wait_s)


# review/7: a host without another one beside it waited 8 s for an answer that was lost.
def test_what_a_lost_answer_told_is_asked_for_again_in_time():
    began_at = time.monotonic()
    replica = follow(LosingStore(Changes([make_change("s1", 5)], 5)))
    assert [entry.name for entry in replica.list_endpoints()] == ["s1"]
    assert time.monotonic() - began_at < IN_FORCE_S - HANDOVER_S


def make_change(name, revision, *, deleted=False):
    spec = b"" if deleted else msgspec.json.encode(make_entry("127.0.0.1:80", "pool"))
    return Change(StoredObject(name, revision, spec), deleted)


def test_a_server_removed_and_registered_again_within_one_answer_is_used():
    # Whether a removed object bears the revision of its removal or of its last change.
    for removed_at in (2, 5):
        again = [make_change("s1", removed_at, deleted=True), make_change("s1", 6)]
        replica = follow(
            ChangingStore(
                Changes([make_change("s1", 2)], 2),
                Changes([*again, make_change("s2", 7)], 7),
            )
        )
        revisions = {entry.name: entry.revision for entry in replica.list_endpoints()}
        assert revisions == {"s1": 6, "s2": 7}


def test_a_server_written_and_removed_within_one_answer_is_gone():
    changes = [make_change("s1", 5), make_change("s1", 5, deleted=True)]
    replica = follow(ChangingStore(Changes(changes, 6)))
    assert replica.list_endpoints() == []
    assert replica.select_delta(Position(0, 5)).removed == {"s1": Position(0, 6)}


def test_a_revision_is_not_passed_on_before_all_its_changes_are_applied(monkeypatch):
    revisions = []
    accept = Replica.accept_endpoint

    def accept_and_note(replica, endpoint):
        revisions.append(replica.position.revision)
        return accept(replica, endpoint)

    monkeypatch.setattr(Replica, "accept_endpoint", accept_and_note)
    changes = [make_change("s1", 5), make_change("s2", 6)]
    replica = follow(ChangingStore(Changes(changes, 6)))
    assert revisions == [1, 1]
    assert replica.position == Position(0, 6)
