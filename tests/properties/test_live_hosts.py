"""What a host knows of live hosts, while hosts join, move, go quiet and return."""

from hypothesis import example, given
from hypothesis import strategies as st

from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.decisions.live_hosts import (
    DEAD_AFTER_S,
    UNCONFIRMED_TTL_S,
)
from rosemarystream._internal.decisions.peer_table import FORGET_AFTER_S, PeerTable

THIS_HOST, OWN = "host-0", "a"
names = st.sampled_from([f"host-{number}" for number in range(5)])
data_centres = st.sampled_from("abc")
ips = st.sampled_from(["10.0.0.1", "10.0.0.2"])
# Pauses about the bounds, and ages of signs of life that other hosts pass on.
pauses = st.sampled_from(
    [0.0, 0.1, DEAD_AFTER_S / 2, DEAD_AFTER_S + 0.1, UNCONFIRMED_TTL_S, FORGET_AFTER_S]
)
ages = st.sampled_from([0.0, 0.1, DEAD_AFTER_S - 0.1, DEAD_AFTER_S + 0.1])
events = st.one_of(
    st.tuples(st.just("named"), names, data_centres, ips, ages),
    st.tuples(st.just("alive"), names, data_centres, ips, ages),
    st.tuples(st.just("stale"), names, data_centres, ips, ages),
)


def is_live(host, now):
    if host.last_seen_at:
        return now - host.last_seen_at <= DEAD_AFTER_S
    return now - host.known_since <= UNCONFIRMED_TTL_S


def check_table(table, now):
    live = [host for host in table.list_known() if is_live(host, now)]
    assert sorted(table.list_live(now)) == sorted(live)
    assert table.count_live(now) == len(live) + 1
    heard = {host.data_centre for host in live}
    assert table.list_live_data_centres(now) == sorted(heard - {OWN})
    reached = {host.name for host in live} if table.is_collector(now) else heard
    assert {host.name for host in table.list_unreachable(now)} == {
        host.name
        for host in table.list_known()
        if not reached & {host.name, host.data_centre}
    }
    for data_centre in "abc":
        group = [host.name for host in live if host.data_centre == data_centre]
        order = order_candidates(
            data_centre, group + [THIS_HOST] * (data_centre == OWN)
        )
        assert table.list_collectors(data_centre, now) == order[:2]
        others = [host.name for host in table.list_candidates(data_centre, now, 9)]
        assert others == [name for name in order if name != THIS_HOST]


# A host that is heard after it was named is dead sooner than one that is only named.
HEARD_ONCE = [
    (0.0, ("named", "host-1", "a", "10.0.0.1", 0.0)),
    (0.0, ("alive", "host-1", "a", "10.0.0.1", 0.0)),
    (DEAD_AFTER_S + 0.1, ("stale", "host-1", "a", "10.0.0.1", 0.0)),
]


@example(HEARD_ONCE)
@given(st.lists(st.tuples(pauses, events), max_size=12))
def test_live_hosts_are_those_that_the_known_signs_of_life_show(steps):
    table = PeerTable(name=THIS_HOST, data_centre=OWN)
    now = 1_000.0
    for pause, (event, name, data_centre, ip, age) in steps:
        now += pause
        if event == "named":
            table.add_peer(name, data_centre, ip, now)
        elif event == "alive":
            table.record_alive(name, data_centre, ip, now - age)
        else:
            table.remove_stale(now)
        check_table(table, now)
