"""Sound prompts are refused for minutes beside a prompt part that crashes engines.

Sound prompts have two parts in common with the bad ones. Both are blocked beside the
bad part, and a request that has two blocked parts is never let through for a trial.
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
# What the rule compares at least.
LEAST_REQUESTS = 20
SOUND_INTERVAL_S = 0.25
BAD_INTERVAL_S = 0.25
# Pause between two batches of the family's prompts.
PAUSE_S = 61.0
# Time from the first bad prompt of the second batch to its first sound one.
FIRST_SOUND_S = 1.5


class Case:
    """A caller of prompts of one family, and others on another route."""

    def __init__(self, rig):
        self.rig = rig
        self.crashed_at = []
        self.sound = []
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

    def send(self, path, *shared, id_=""):
        """Send a prompt whose last part is its own."""
        parts = [*shared, f"{next(self._numbers):x}"]
        prompt = ",".join(f"{part}:300" for part in parts)
        headers = [
            ("X-Rosemarystream-Model", "m"),
            ("X-Rosemarystream-Token-Counts", f"{300 * len(parts)},32"),
            ("X-Rosemarystream-Prompt-Prefix", prompt),
        ]
        self.rig.call(self.rig.choose_host(), path, headers=headers, id_=id_)

    def send_others(self):
        """Prompts of another route that have nothing in common with the family."""
        while True:
            number = self.rig.random.randrange(4)
            self.rig.spawn(self.send, "/chat/1", "desk", f"topic{number}")
            gevent.sleep(0.05)

    def send_sound(self):
        """One sound prompt of the family; recorded with its time."""
        number = self.rig.random.randrange(3)
        request = f"sound{len(self.sound) + 1}"
        self.sound.append((time.monotonic(), request))
        self.send("/brief/1", "form", "tool", f"good{number}", id_=request)

    def send_sound_ones(self):
        while True:
            self.rig.spawn(self.send_sound)
            gevent.sleep(SOUND_INTERVAL_S)

    def send_bad(self):
        self.rig.spawn(self.send, "/brief/1", "form", "tool", "bad")

    def send_bad_ones(self):
        while True:
            self.send_bad()
            gevent.sleep(BAD_INTERVAL_S)

    def find_contact_time(self, trouble_at):
        """Return the time from which the rule counts sound requests."""
        crashes = [trouble_at + FIRST_SOUND_S, *self.crashed_at][: CRASHES + 1]
        return crashes[-1] + 2 * rig3.CONTACT_S

    def count_begun(self, begin, end):
        """Return how many sound requests were sent in a time, and began at a server."""
        sent = [request for at, request in self.sound if begin <= at < end]
        ran = {run.request_id for _, _, run in self.rig.runs}
        return len(sent), len(ran.intersection(sent))


def check(rig):
    case = Case(rig)
    once = {"max-attempts": 1}
    routes = [
        rig3.make_route("brief", "streaming", "engines", sticky=True, **once),
        rig3.make_route("chat", "streaming", "engines", sticky=True, resumable=True),
    ]
    rig.store.write("config", "main", rig3.make_configuration(3, routes))
    for number in range(ENGINES):
        case.add_engine(f"e{number}")
    rig.spawn(rig.beat)
    for number in range(HOSTS):
        rig.add_host(f"h{number}", "abc"[number % 3])
    rig.wait_ready()
    gevent.sleep(rig3.CONTACT_S)
    rig.spawn(case.send_others)
    calm_at = time.monotonic()
    first_batch = gevent.spawn(case.send_sound_ones)
    gevent.sleep((LEAST_REQUESTS + 4) * SOUND_INTERVAL_S)
    first_batch.kill()
    gevent.sleep(PAUSE_S)
    trouble_at = time.monotonic()
    rig.note("second_batch")
    rig.spawn(case.send_bad_ones)
    gevent.sleep(FIRST_SOUND_S)
    rig.spawn(case.send_sound_ones)
    while time.monotonic() < case.find_contact_time(trouble_at):
        gevent.sleep(0.05)
    later_at = time.monotonic()
    rig.note("contact_is_over", crashes=len(case.crashed_at))
    gevent.sleep((LEAST_REQUESTS + 4) * SOUND_INTERVAL_S)
    ends_at = time.monotonic()
    gevent.sleep(1.0)
    calm, calm_begun = case.count_begun(calm_at, trouble_at)
    later, later_begun = case.count_begun(later_at, ends_at)
    rig.note("sound", calm=f"{calm_begun}/{calm}", later=f"{later_begun}/{later}")
    if min(calm, later) < LEAST_REQUESTS or not case.crashed_at:
        return ""
    if later_begun / later >= 0.5 * calm_begun / calm:
        return ""
    shares = f"{later_begun} of {later}, before {calm_begun} of {calm}"
    return f"LOST: sound requests that began: {shares}"


if __name__ == "__main__":
    rig3.run_case(__file__, lambda address: ObjectStore(address=address), check)
