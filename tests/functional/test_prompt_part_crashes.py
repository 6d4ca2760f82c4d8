"""Prompt parts that crash each engine that begins to answer on them."""

import itertools

import gevent
import pytest

from tests.lib.entry_world import World, wait_until

ENGINES = 6
HOSTS = 4
# Crashes after which a part counts as one that crashes engines, the time in which the
# hosts have to know, and the requests that may reach engines after that.
CRASHES = 5
CONTACT_S = 3.0
MAX_LATER_REQUESTS = 3
# Those of them that one host may let through at once, if it is its turn.
MAX_TRIALS = 1
# Time after a crash until a new engine takes the address.
RESTART_S = 0.3
PAUSE_S = 0.04


class Trouble:
    """A world in which one part of some prompts crashes engines, and its callers."""

    def __init__(self, crashing_parts=("bad",)):
        self.world = World()
        self.crashing_parts = {*crashing_parts}
        self.crashes = 0
        self.refused = []
        self.sound = []
        self.route = "brief"
        self._numbers = itertools.count()
        self._tasks = []
        for number in range(ENGINES):
            engine = self.world.add_server(f"e{number}", "engines")
            engine.crashing_parts = self.crashing_parts
            engine.on_crash = self._replace
        for number in range(HOSTS):
            seeds = ["h0"] if number else []
            self.world.add_host(f"h{number}", "ab"[number % 2], seeds=seeds)
        for host in self.world.hosts.values():
            wait_until(lambda host=host: len(host.list_servers()) == ENGINES)

    def _replace(self, engine):
        self.crashes += 1
        gevent.spawn_later(RESTART_S, self.world.replace_server, engine)

    def send(self, host, *, crashing):
        """Send a request; sound and crashing ones share a key and the first part."""
        number = next(self._numbers)
        second = "bad:900" if crashing else f"good{number % 3}:900"
        prompt = f"root:200,{second},own{number}:50"
        headers = [("X-Rosemarystream-Prompt-Prefix", prompt)]
        return host.call(f"/{self.route}/1", headers=headers)

    def start_callers(self):
        self._tasks += [gevent.spawn(self._call, crashing=True)]
        self._tasks += [gevent.spawn(self._call, crashing=False) for _ in range(2)]

    def _call(self, *, crashing):
        hosts = itertools.cycle([*self.world.hosts])
        while True:
            reply = self.send(self.world.hosts[next(hosts)], crashing=crashing)
            (self.refused if crashing else self.sound).append(reply)
            gevent.sleep(PAUSE_S)

    def stop_callers(self):
        gevent.killall(self._tasks)

    def count_crashing_requests(self):
        """Count the requests with the crashing part that have reached engines."""
        return sum(
            "bad" in run.list_shared_parts()
            for server in self.world.servers.values()
            for run in server.runs
        )


@pytest.fixture(params=["brief", "chat"])
def trouble(request):
    """The trouble, some time after the fifth crash, at a route of each kind."""
    created = Trouble()
    created.route = request.param
    created.start_callers()
    wait_until(lambda: created.crashes >= CRASHES or created.refused[30:], seconds=15)
    gevent.sleep(CONTACT_S)
    yield created
    created.stop_callers()
    created.world.stop()


def test_a_prompt_part_that_crashed_five_servers_reaches_no_more(trouble):
    trouble.refused.clear()
    # Right after an answer none of these requests is on its way.
    wait_until(lambda: trouble.refused)
    trouble.refused.clear()
    before = trouble.count_crashing_requests()
    gevent.sleep(2.0)
    trouble.stop_callers()
    later = trouble.count_crashing_requests() - before
    assert later <= MAX_LATER_REQUESTS
    refused = [reply for reply in trouble.refused if reply.status == 503]
    # Each of the others has reached a server, and crashed it.
    assert {reply.status for reply in trouble.refused} <= {502, 503}
    assert len(trouble.refused) - len(refused) <= later
    assert refused
    assert all(b"retry-after" in reply.headers for reply in refused)


def test_sound_prompts_beside_one_that_crashes_servers_are_served(trouble):
    trouble.sound.clear()
    gevent.sleep(2.0)
    served = [r for r in trouble.sound if r.status == 200 and r.complete]
    unserved = [r for r in trouble.sound if r not in served]
    assert len(served) >= 0.9 * len(trouble.sound), unserved
    assert len(served) >= 20


@pytest.mark.alone
def test_a_restarted_host_knows_the_prompt_parts_that_crash_servers(trouble):
    trouble.stop_callers()
    before = trouble.count_crashing_requests()
    host = trouble.world.add_host("h9", seeds=["h0"])
    gevent.sleep(0.3)
    for _ in range(5):
        trouble.send(host, crashing=True)
    assert trouble.count_crashing_requests() - before <= MAX_TRIALS


@pytest.mark.alone
def test_hosts_restarted_together_know_the_prompt_parts_that_crash_servers(trouble):
    trouble.stop_callers()
    for host in trouble.world.hosts.values():
        host.gateway.stop()
    before = trouble.count_crashing_requests()
    for name in ("h8", "h9"):
        trouble.world.add_host(name)
    gevent.sleep(0.3)
    for name in ("h8", "h9"):
        trouble.send(trouble.world.hosts[name], crashing=True)
    assert trouble.count_crashing_requests() == before


def test_prompts_are_served_once_engines_no_longer_crash_on_all_of_them():
    trouble = Trouble(["root", "good0", "good1", "good2", "bad"])
    trouble.start_callers()
    wait_until(lambda: trouble.crashes >= 2 * CRASHES, seconds=15)
    # A plain service goes on answering, which says nothing of the engines.
    trouble.world.add_server("p1")
    host = trouble.world.hosts["h0"]
    for _ in range(20):
        host.call("/look/1")
    trouble.crashing_parts.clear()
    gevent.sleep(2 * RESTART_S)
    trouble.sound.clear()
    gevent.sleep(1.5)
    trouble.stop_callers()
    served = [r for r in trouble.sound if r.status == 200 and r.complete]
    trouble.world.stop()
    assert len(served) >= 0.9 * len(trouble.sound) > 0
