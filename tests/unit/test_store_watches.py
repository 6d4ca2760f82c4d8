"""A store that stops answering a waiting call, without a reset."""

import time

import gevent

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.store_watches import (
    ConfigurationWatch,
    ServerWatch,
)
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.platform.store import Listing
from rosemarystream._internal.platform.store_answers import (
    Change,
    Changes,
    StoredObject,
)

# A change has to be in force this long after the store has accepted it.
IN_FORCE_S = 2.0
# Time in which the next host in order takes over and passes the change on.
HANDOVER_S = 0.5


class SilentStore:
    """Lists the objects, and never answers a call that waits for changes."""

    def list(self, kind):
        return Listing([], 1)

    def watch(self, kind, revision, wait_s):
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

    def watch(self, kind, revision, wait_s):
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
    assert replica.select_delta(0).removed == {"gone": 6}
    assert replica.revision == 6
