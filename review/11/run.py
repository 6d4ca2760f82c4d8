"""A booking that has run is refused with 503, and its caller books again.

One server fails a part of its requests after it has run them: it answers 503, without
the header that states that it has not run the request.
"""

import itertools
import time

import gevent

from review import rig3
from standins import backend_server
from standins.object_store import ObjectStore

HOSTS = 3
# One of them fails, so a share of 0.125.
SERVERS = 8
# As on the small sites, where a share of 0.14 of the servers fails so many.
FAILED_SHARE = 0.45
# As long as it lasts there; bookings go on for a moment.
FAILS_S = 6.5
BOOKINGS_S = 8.0
INTERVAL_S = 0.02
PROMISES = (408, 421, 429, 503)


class LedgerServer(rig3.Server):
    """A server that writes bookings down, and then fails a part of them."""

    failed_share = 0.0

    def _work(self, connection, protocol, run, fault, identity):
        if self.rig.random.random() >= self.failed_share:
            return super()._work(connection, protocol, run, fault, identity)
        self.rig.note("run", server=self.name, request=run.request_id, failed=True)
        self.rig.runs.append((time.monotonic(), self, run))
        gevent.sleep(self.work_s)
        headers = [*identity, (b"x-rosemarystream-response-seal", b"seal")]
        body = b"booked, but the ledger is busy"
        return backend_server._answer(connection, protocol, 503, headers, body)


class Case:
    """Callers that repeat a booking only after a promise, as the pages say."""

    def __init__(self, rig):
        self.rig = rig
        self.answers = {}
        self._numbers = itertools.count(1)

    def book(self):
        booking = f"b{next(self._numbers)}"
        for attempt in ("1", "2"):
            request = f"{booking}-{attempt}"
            reply = self.rig.call(
                self.rig.choose_host(), "/book/1", id_=request, body=booking.encode()
            )
            self.answers[request] = reply.status
            if reply.status not in PROMISES:
                return
            delay = float(reply.headers.get(b"retry-after", b"0.1"))
            gevent.sleep(min(delay, 0.5))


def check(rig):
    case = Case(rig)
    once = {"max-attempts": 1}
    routes = [rig3.make_route("book", "non_idempotent", "plain", **once)]
    rig.store.write("config", "main", rig3.make_configuration(3, routes))
    for number in range(SERVERS):
        rig.add_server(
            f"p{number}",
            "plain",
            zone="abc"[number % 3],
            work_s=0.02,
            kind=LedgerServer,
        )
    rig.spawn(rig.beat)
    for number in range(HOSTS):
        rig.add_host(f"h{number}", "abc"[number])
    rig.wait_ready()
    gevent.sleep(rig3.CONTACT_S)
    if rig.trouble:
        rig.servers["p0"].failed_share = FAILED_SHARE
    began_at = time.monotonic()
    ends_at = began_at + BOOKINGS_S
    while time.monotonic() < ends_at:
        if time.monotonic() >= began_at + FAILS_S:
            rig.servers["p0"].failed_share = 0.0
        rig.spawn(case.book)
        gevent.sleep(INTERVAL_S)
    gevent.sleep(2.0)
    ran = [run.request_id for _, _, run in rig.runs]
    refused = [x for x in ran if case.answers.get(x) in PROMISES]
    bookings = [request.partition("-")[0] for request in ran]
    doubled = sorted({x for x in bookings if bookings.count(x) > 1})
    rig.note("refused", that_ran=len(refused), first=refused[:3])
    rig.note("booked_twice", bookings=len(doubled), first=doubled[:3])
    if not refused:
        return ""
    return (
        f"REFUSED: {len(refused)} bookings were refused and had run, "
        f"{len(doubled)} were booked twice"
    )


if __name__ == "__main__":
    rig3.run_case(__file__, lambda address: ObjectStore(address=address), check)
