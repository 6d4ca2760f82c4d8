"""The shares of all hosts that may assume ownership add up to at most one.

Network partitions within a data centre last less than the suspicion plus the
removal span here; see docs/guarantees.md for longer ones.
"""

import hypothesis.strategies as st
from hypothesis import given, settings

from bench.world import World
from tests.lib.sheets import make_sheet

HOSTS = tuple(f"h{number}" for number in range(4))
SECONDS = 30.0
STEP_SECONDS = 0.05
LONGEST_CUT_SECONDS = 5.0
GROUP = "lm/dc1/0"

cuts = st.lists(
    st.tuples(
        st.sampled_from(HOSTS),
        st.sampled_from(HOSTS),
        st.booleans(),
        st.floats(0.5, LONGEST_CUT_SECONDS),
    ),
    max_size=3,
)
events = st.lists(
    st.tuples(
        st.floats(0.0, SECONDS - 10),
        st.one_of(
            cuts,
            st.tuples(st.just("kill"), st.sampled_from(HOSTS)),
            st.tuples(st.just("add"), st.sampled_from(HOSTS)),
            st.tuples(st.just("leave"), st.sampled_from(HOSTS)),
        ),
    ),
    max_size=3,
)


def cut(world, links):
    """Cut links for a while; does nothing while other links are cut."""
    if world.blocked:
        return
    for one, other, both, seconds in links:
        pairs = {(one, other), (other, one)} if both else {(one, other)}
        world.blocked |= pairs
        world.schedule.after(seconds, lambda pairs=pairs: heal(world, pairs))


def heal(world, pairs):
    world.blocked -= pairs


def bring_about(world, event):
    if isinstance(event, list):
        cut(world, event)
        return
    kind, name = event
    if kind == "kill" and name in world.hosts:
        world.kill_host(name)
    elif kind == "add" and name not in world.hosts:
        world.add_host(name, "dc1")
    elif kind == "leave" and name in world.hosts:
        host = world.hosts[name]
        host.kernel.post(host.decisions.membership.set_leaving(), world.now)


def check_shares(world):
    shares = {
        name: host.decisions.ownership.share(GROUP, world.now)
        for name, host in world.hosts.items()
    }
    assert sum(shares.values()) <= 1.0 + 1e-9, (world.now, shares)
    return shares


@settings(max_examples=80)
@given(events=events)
def test_shares_add_up_to_at_most_one(events):
    world = World()
    for name in HOSTS:
        world.add_host(name, "dc1")
    for number in range(3):
        world.add_engine(f"e{number}", "dc1")
    world.publish(make_sheet())
    world.run(6.0)
    assert max(check_shares(world).values()) == 1.0
    for at, what in events:
        world.schedule.after(at, lambda what=what: bring_about(world, what))
    for _ in range(int(SECONDS / STEP_SECONDS)):
        world.run(STEP_SECONDS)
        check_shares(world)


def test_a_killed_owner_is_replaced_within_the_removal_span():
    world = World()
    for name in HOSTS:
        world.add_host(name, "dc1")
    world.add_engine("e0", "dc1")
    world.publish(make_sheet())
    world.run(6.0)
    shares = check_shares(world)
    world.kill_host(max(shares, key=shares.__getitem__))
    world.run(world.times.suspect + world.times.takeover + 0.5)
    assert max(check_shares(world).values()) == 0.5
    world.run(world.times.remove)
    assert max(check_shares(world).values()) == 1.0
