"""No engine exceeds its load bound, also while hosts disagree on the owner.

The bound at the moment of a grant is ``ceil(multiple * (m + 1) / n)``, at
least 1. ``n`` is the number of servers in the data centres where the owner
knows a live host that is not leaving. ``m`` is the number of requests in progress
in the server's own group at that moment plus, for each other group, the most
in progress there at any moment of the last `WINDOW` seconds: reports of
other groups reach an owner with up to that delay.
"""

from collections import deque
from math import ceil
from random import Random

import hypothesis.strategies as st
from hypothesis import given, settings

from bench.engines import Job
from bench.world import World
from tests.lib.sheets import make_sheet
from tests.lib.works import make_work

MULTIPLE = 1.5
WINDOW = 6.0
SECONDS = 25.0
ENGINES = 6
CENTRES = ("dc1", "dc2")


class BoundChecker:
    """Compares every grant with the bound computed from the actual loads."""

    def __init__(self, world):
        self.world = world
        self.running_history = deque()
        self.grants = 0
        world.on_grant = self.check

    def count_running(self, centre):
        return sum(
            engine.carried
            for name, engine in self.world.engines.items()
            if self.world.servers[name].data_centre == centre
        )

    def check(self, owner, server):
        world = self.world
        self.grants += 1
        centres = {owner.me.data_centre} | {
            peer.host.data_centre
            for peer in owner.decisions.membership.peers()
            if peer.alive and not peer.heartbeat.leaving
        }
        running = {centre: self.count_running(centre) for centre in CENTRES}
        self.running_history.append((world.now, running))
        while self.running_history[0][0] < world.now - WINDOW:
            self.running_history.popleft()
        own_centre = owner.me.data_centre
        peak = running[own_centre] + sum(
            max(past[centre] for _, past in self.running_history)
            for centre in centres
            if centre != own_centre
        )
        servers = sum(s.data_centre in centres for s in world.servers.values())
        bound = max(1, ceil(MULTIPLE * (peak + 1) / servers - 1e-9))
        carried = world.engines[server].carried + 1
        assert carried <= bound, (world.now, owner.me.name, server, carried, bound)


def send_work(world, random, seconds, rate):
    """Send requests of chats to random hosts, all drawn from one seed."""
    names = list(world.hosts)

    def send(number):
        alive = [name for name in names if name in world.hosts]
        if alive:
            entry = world.hosts[random.choice(alive)]
            chat = f"chat-{random.randrange(40)}"
            work = make_work(number, affinity_key=chat, deadline=world.now + 20.0)
            job = Job(work.request_id, chat, 100, random.randrange(5, 100), 2)
            world.request(entry, work, job)

    time = 0.0
    for number in range(int(seconds * rate)):
        time += random.expovariate(rate)
        world.schedule.after(time, lambda number=number: send(number))


FAULTS = st.lists(
    st.tuples(
        st.floats(4.0, SECONDS - 5),
        st.sampled_from(["cut_pair", "cut_one_way", "heal", "kill", "add", "leave"]),
        st.integers(0, 5),
        st.integers(0, 5),
    ),
    max_size=6,
)


def inject(world, kind, one, other):
    """Inject one fault."""
    names = sorted(f"h{i}" for i in range(6))
    a, b = names[one], names[other]
    if kind in ("cut_pair", "cut_one_way"):
        world.blocked.add((a, b))
        if kind == "cut_pair":
            world.blocked.add((b, a))
    elif kind == "heal":
        world.blocked.clear()
    elif kind == "kill" and a in world.hosts:
        world.kill_host(a)
    elif kind == "add" and a not in world.hosts:
        world.add_host(a, CENTRES[one % 2])
    elif kind == "leave" and a in world.hosts:
        host = world.hosts[a]
        host.kernel.post(host.decisions.membership.set_leaving(), world.now)


def make_world(random, hosts=6):
    """Return a world of two data centres after its start-up phase."""
    world = World()
    for number in range(hosts):
        world.add_host(f"h{number}", CENTRES[number % 2])
    for number in range(ENGINES):
        world.add_engine(f"e{number}", CENTRES[number % 2], slots=64)
    world.publish(make_sheet(load_multiple=MULTIPLE))
    world.run(5.0)
    return world


@settings(max_examples=60)
@given(seed=st.integers(0, 2**32), rate=st.sampled_from([2.0, 20.0]), faults=FAULTS)
def test_no_engine_is_above_its_bound(seed, rate, faults):
    random = Random(seed)
    world = make_world(random)
    checker = BoundChecker(world)
    send_work(world, random, SECONDS, rate)
    for at, kind, one, other in faults:
        world.schedule.after(at, lambda k=kind, a=one, b=other: inject(world, k, a, b))
    world.run(SECONDS + 5)
    assert checker.grants > 0


def test_work_spreads_within_the_bound_and_every_request_is_answered():
    random = Random(7)
    world = make_world(random)
    checker = BoundChecker(world)
    send_work(world, random, SECONDS, 30.0)
    world.run(SECONDS + 30)
    answered = [o for o in world.outcomes if o.kind is None]
    assert len(answered) == len(world.outcomes) == int(SECONDS * 30)
    assert checker.grants >= len(answered)
