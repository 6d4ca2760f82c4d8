"""A store that stops answering a waiting call, without a reset."""

import time

import gevent

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.store_watches import ConfigurationWatch
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.platform.store import Listing

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
