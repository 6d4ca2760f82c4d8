"""A model of hosts and of servers that crash on one part of a prompt.

The hosts' decisions are those of the product. Requests come at any host; sound ones
share all parts with those that crash servers but for one.
"""

import random
from typing import NamedTuple

from rosemarystream._internal.decisions.crash_holds import HostTurn
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from tests.lib.block_hosts import exchange_updates

STEP_S = 0.1
# Time that a server is down after a crash, and that it takes for an answer.
DOWN_S = 3.0
ANSWER_S = 0.3
# What may be: requests with the part that reach servers from this time after the fifth
# crash on, and the share of sound ones that begin from twice that time on.
CONTACT_S = 3.0
CRASHES = 5
MAX_LATER = 3
MIN_SHARE = 0.5
# Sound requests that the rule compares at least.
LEAST_SOUND = 20
BAD = 1_000_000
OTHERS = (900_000, 900_001)


class Trouble(NamedTuple):
    """What is drawn for a run.

    Attributes
    ----------
    shared : int
        Parts that all requests share.
    sound_per_s, bad_per_s, others_per_s : float
        Requests a second without and with the part that crashes servers, and those that
        share nothing with either and come all the time.
    calm_s, pause_s : float
        Time in which only sound requests come, and then none, before the others.
    lead_s, trouble_s : float
        Time in which only the others come, and in which both do.
    """

    hosts: int
    servers: int
    shared: int
    sound_per_s: float
    bad_per_s: float
    others_per_s: float
    calm_s: float
    pause_s: float
    lead_s: float
    trouble_s: float


class _Run(NamedTuple):
    host: PromptBlocks
    parts: tuple[int, ...]
    ends_at: float


class CrashModel:
    """Hosts, servers and what has happened."""

    def __init__(self, trouble, seed):
        self.trouble = trouble
        self.now = 1_000.0
        self.rng = random.Random(seed)
        # A turn is reckoned from the clock of each host.
        self.hosts = [
            PromptBlocks(find_turn=lambda now, n=number: HostTurn(n, trouble.hosts))
            for number in range(trouble.hosts)
        ]
        self._up_at = [0.0] * trouble.servers
        self._runs = [[] for _ in range(trouble.servers)]
        self._starts = 0
        self.crashed_at = []
        self.bad_at = []
        self.sound = []

    def play(self):
        trouble = self.trouble
        self._pass(trouble.calm_s, trouble.sound_per_s, 0.0)
        self.sound.clear()
        self._pass(trouble.pause_s, 0.0, 0.0)
        self._pass(trouble.lead_s, 0.0, trouble.bad_per_s)
        self._pass(trouble.trouble_s, trouble.sound_per_s, trouble.bad_per_s)

    def _pass(self, seconds, sound_per_s, bad_per_s):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._answer()
            if self.rng.random() < sound_per_s * STEP_S:
                self._send(1_000 + self.rng.randrange(3))
            if self.rng.random() < bad_per_s * STEP_S:
                self._send(BAD)
            for _ in range(round(self.trouble.others_per_s * STEP_S)):
                self._run(self.rng.choice(self.hosts), OTHERS)
            exchange_updates(self.hosts, self.now)

    def _answer(self):
        for number, runs in enumerate(self._runs):
            for run in [run for run in runs if run.ends_at <= self.now]:
                run.host.record_answer(run.parts, self.now)
                runs.remove(run)
            self._runs[number] = runs

    def _send(self, own):
        host = self.rng.choice(self.hosts)
        parts = (*range(1, self.trouble.shared + 1), own)
        # A request that no server can take says nothing of what is blocked.
        if not self._list_up():
            return
        server = self._run(host, parts)
        if own != BAD:
            self.sound.append((self.now, server is not None))
        elif server is not None:
            self.bad_at.append(self.now)
            self._crash(server)

    def _list_up(self):
        return [n for n, at in enumerate(self._up_at) if at <= self.now]

    def _run(self, host, parts):
        """Begin a request at a server that is up, and return the server, if any."""
        up = self._list_up()
        if not up or host.find_blocked(parts, self.now) is not None:
            return None
        server = self.rng.choice(up)
        self._runs[server].append(_Run(host, parts, self.now + ANSWER_S))
        return server

    def _crash(self, server):
        self._starts += 1
        self._up_at[server] = self.now + DOWN_S
        self.crashed_at.append(self.now)
        runs, self._runs[server] = self._runs[server], []
        for run in runs:
            run.host.record_crash(self._starts, run.parts, self.now)

    def find_fault(self):
        """Return what may not be, or None."""
        if not self.crashed_at:
            return None
        # The last one, if there are fewer.
        fifth_at = self.crashed_at[:CRASHES][-1]
        late = [at for at in self.bad_at if at > fifth_at + CONTACT_S]
        if len(late) > MAX_LATER:
            return f"{len(late)} requests with the part reached servers later"
        sound = [ok for at, ok in self.sound if at >= fifth_at + 2 * CONTACT_S]
        if len(sound) >= LEAST_SOUND and sum(sound) < MIN_SHARE * len(sound):
            return f"{sum(sound)} of {len(sound)} sound requests began"
        return None


def draw_trouble(rng):
    return Trouble(
        hosts=rng.choice([1, 2, 3, 6, 9]),
        servers=rng.choice([5, 9]),
        shared=rng.choice([1, 2, 3, 150]),
        sound_per_s=rng.choice([0.07, 0.5, 2.0, 4.0]),
        bad_per_s=rng.choice([0.5, 2.0, 4.0]),
        others_per_s=rng.choice([0.0, 20.0]),
        calm_s=rng.choice([0.0, 6.0]),
        pause_s=rng.choice([0.0, 20.0, 61.0, 200.0]),
        lead_s=rng.choice([0.0, 1.5]),
        trouble_s=90.0,
    )


def search_drawn(*, runs, seed):
    """Return a drawn run in which something happens that may not, or None."""
    rng = random.Random(seed)
    for number in range(runs):
        trouble = draw_trouble(rng)
        model = CrashModel(trouble, seed=number)
        model.play()
        fault = model.find_fault()
        if fault is not None:
            return trouble, number, fault
    return None
