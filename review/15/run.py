"""A server whose limit has many decimals gets as many requests as the others."""

import itertools
import os
import time

import gevent

from review import rig3
from standins.object_store import ObjectStore

HOSTS = 3
# As a program writes ten thirds.
LIMIT = os.environ.get("LIMIT", "3.3333333333333335")
INTERVAL_S = 0.025
WATCHED_S = 12.0
WINDOW_S = 4.0
PASSED_ON_S = 0.5


def count_most(times):
    """Return the most requests in any time of the window's length."""
    return max(
        (sum(begin <= at < begin + WINDOW_S for at in times) for begin in times),
        default=0,
    )


def check(rig):
    routes = [rig3.make_route("look", "idempotent", "plain")]
    rig.store.write("config", "main", rig3.make_configuration(3, routes))
    for number in range(3):
        rig.add_server(f"p{number}", "plain", zone="abc"[number], work_s=0.02)
    rig.spawn(rig.beat)
    for number in range(HOSTS):
        rig.add_host(f"h{number}", "abc"[number])
    rig.wait_ready()

    numbers = itertools.count(1)
    hosts = {}
    passed_on = {}

    def look():
        host, request = rig.choose_host(), f"l{next(numbers)}"
        hosts[request] = host.name
        reply = rig.call(host, "/look/1", id_=request)
        if b"server-limit" in reply.headers:
            passed_on.setdefault(host.name, time.monotonic())

    def send():
        while True:
            rig.spawn(look)
            gevent.sleep(INTERVAL_S)

    rig.spawn(send)
    gevent.sleep(rig3.CONTACT_S)
    limited = rig.servers["p0"]
    if rig.trouble:
        limited.odd_headers = [(b"server-limit", LIMIT.encode())]
    rig.note("limit", server="p0", value=LIMIT)
    gevent.sleep(rig3.CONTACT_S)
    since = time.monotonic()
    gevent.sleep(WATCHED_S)
    # Only those of machines that had passed on the limit half a second before.
    times = [
        at
        for at, server, run in rig.runs
        if server is limited
        and at >= since
        and passed_on.get(hosts[run.request_id], at) <= at - PASSED_ON_S
    ]
    most = count_most(times)
    allowed = 1.5 * WINDOW_S * float(LIMIT) + 5
    rig.note("most", in_4_s=most, allowed=allowed)
    if not rig.trouble or most <= allowed:
        return ""
    return f"LIMIT: {most} requests in 4 s, {allowed:.0f} allowed"


if __name__ == "__main__":
    rig3.run_case(__file__, lambda address: ObjectStore(address=address), check)
