"""A server that leaves after a drill of the store gets requests for as long as it runs.

The store comes back from a copy, with lower revisions. A server whose entry is removed
then goes on serving for a while and exits, as the pages say.
"""

import itertools
import time

import gevent

from review import rig3
from review.drill_store3 import DrillStore

HOSTS = 3
COPY_AGE_S = 8.0
AWAY_S = 1.0
# The server serves for that long after the removal of its entry.
LINGERS_S = 7.0
# Room for a request that a host had read before its time was over.
UNDER_WAY_S = 0.3


class Case:
    """Callers of the plain service, and the server that leaves."""

    def __init__(self, rig):
        self.rig = rig
        self._paths = itertools.cycle(["/book/1", "/look/1"])
        self.replies = []

    def send(self):
        began_at = time.monotonic()
        path = next(self._paths)
        reply = self.rig.call(self.rig.choose_host(), path)
        self.replies.append((began_at, path, reply))

    def send_all(self):
        while True:
            self.rig.spawn(self.send)
            gevent.sleep(0.05)

    def leave(self, server):
        """Remove the entry of a server, which goes on for a while and exits."""
        self.rig.note("removed", server=server.name)
        self.rig.servers.pop(server.name)
        self.rig.store.remove_as_owner("servers", server.name)
        gevent.sleep(LINGERS_S)
        self.rig.note("exit", server=server.name)
        server.crash()


def check(rig):
    case = Case(rig)
    routes = [
        rig3.make_route("book", "non_idempotent", "plain", **{"max-attempts": 1}),
        rig3.make_route("look", "idempotent", "plain"),
    ]
    rig.store.write_as_owner("config", "main", rig3.make_configuration(3, routes))
    for number in range(4):
        rig.add_server(f"p{number}", "plain", zone="abc"[number % 3], work_s=0.1)
    rig.spawn(rig.beat)
    for number in range(HOSTS):
        rig.add_host(f"h{number}", "abc"[number % 3])
    rig.wait_ready()
    rig.spawn(case.send_all)
    gevent.sleep(rig3.CONTACT_S)
    if rig.trouble:
        rig.store.take_copy()
        rig.note("copy", revision=rig.store.revision)
    gevent.sleep(COPY_AGE_S)
    if rig.trouble:
        rig.note("drill", revision=rig.store.revision)
        rig.store.go_away()
        gevent.sleep(AWAY_S)
        rig.store.come_back()
        rig.note("drill_over", revision=rig.store.revision, era=rig.store.era)
    gevent.sleep(rig3.CONTACT_S + 0.1)
    leaving = rig.servers["p0"]
    acknowledged_at = time.monotonic()
    case.leave(leaving)
    gevent.sleep(1.0)
    ends_at = acknowledged_at + rig3.DRAIN_S + UNDER_WAY_S
    late = [run.request_id for at, x, run in rig.runs if x is leaving and at > ends_at]
    lost = [
        (path, reply.status)
        for began_at, path, reply in case.replies
        if began_at > ends_at and reply.status != 200
    ]
    rig.note("late", requests=len(late), first=late[:3], failed=lost)
    return f"DRAIN: {len(late)} requests reached a server that is gone" if late else ""


if __name__ == "__main__":
    rig3.run_case(__file__, lambda address: DrillStore(address=address), check)
