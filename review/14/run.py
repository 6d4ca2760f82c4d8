"""A prompt part that crashes engines is never found behind the first 128 parts.

The prompts are those of long chats, with one part for each earlier turn.
"""

import itertools
import time

import gevent

from review import rig3
from standins.object_store import ObjectStore

HOSTS = 3
ENGINES = 9
DOWN_S = 3.0
CRASHES = 5
# What the rule allows to reach servers later than the time of contact.
MOST_LATER = 3
WATCHED_S = 20.0
SOUND_INTERVAL_S = 0.25
BAD_INTERVAL_S = 0.5
# Earlier turns of the chats, which sound and bad prompts share; each is a part.
TURNS = 150


class Case:
    """Callers of a bad prompt part beside others."""

    def __init__(self, rig):
        self.rig = rig
        self.crashed_at = []
        self._numbers = itertools.count(1)

    def add_engine(self, name, address=None):
        rig = self.rig
        engine = rig.add_server(name, "engines", address=address, work_s=0.02)
        if rig.trouble:
            engine.crashing_parts = {"bad"}
        engine.on_crash = self.restart

    def restart(self, engine):
        """Start a crashed engine again under its id, after some seconds."""
        engine.is_up = False
        self.crashed_at.append(time.monotonic())
        self.rig.note("crash", server=engine.name)
        ip, _, port = engine.address.rpartition(":")
        gevent.spawn_later(DOWN_S, self.add_engine, engine.name, (ip, int(port)))

    def send_prompt(self, host, turn):
        """Send a prompt whose last part is its own."""
        parts = [f"{number:x}a" for number in range(TURNS)]
        parts += [turn, f"{next(self._numbers):x}"]
        prompt = ",".join(f"{part}:40" for part in parts)
        headers = [
            ("X-Rosemarystream-Model", "m"),
            ("X-Rosemarystream-Token-Counts", f"{40 * len(parts)},32"),
            ("X-Rosemarystream-Prompt-Prefix", prompt),
        ]
        self.rig.call(host, "/brief/1", headers=headers)

    def send_sound(self):
        for number in itertools.count():
            host = self.rig.choose_host()
            self.rig.spawn(self.send_prompt, host, f"good{number % 3}")
            gevent.sleep(SOUND_INTERVAL_S)

    def send_bad(self):
        while True:
            self.rig.spawn(self.send_prompt, self.rig.choose_host(), "bad")
            gevent.sleep(BAD_INTERVAL_S)

    def list_bad_runs(self, since):
        """Return the requests with the bad part that reached servers after a time."""
        return [
            run.request_id
            for at, _, run in self.rig.runs
            if at > since and "bad" in run.list_shared_parts()
        ]


def check(rig):
    case = Case(rig)
    once = {"max-attempts": 1}
    routes = [
        rig3.make_route("brief", "streaming", "engines", sticky=True, **once),
    ]
    rig.store.write("config", "main", rig3.make_configuration(3, routes))
    for number in range(ENGINES):
        case.add_engine(f"e{number}")
    rig.spawn(rig.beat)
    for number in range(HOSTS):
        rig.add_host(f"h{number}", "abc"[number % 3])
    rig.wait_ready()
    gevent.sleep(rig3.CONTACT_S)
    for caller in (case.send_sound, case.send_bad):
        rig.spawn(caller)
    ends_at = time.monotonic() + 15.0
    while time.monotonic() < ends_at and len(case.crashed_at) < CRASHES:
        gevent.sleep(0.02)
    gevent.sleep(rig3.CONTACT_S)
    # Also those that were sent before and arrive now are left out.
    since = time.monotonic() + 0.1
    rig.note("contact_is_over", crashes=len(case.crashed_at))
    gevent.sleep(WATCHED_S)
    later = case.list_bad_runs(since)
    rig.note("later", requests=later, crashes=len(case.crashed_at))
    if len(case.crashed_at) < CRASHES or len(later) <= MOST_LATER:
        return ""
    return f"BUDGET: {len(later)} requests with the part reached servers later"


if __name__ == "__main__":
    rig3.run_case(__file__, lambda address: ObjectStore(address=address), check)
