"""Some host watches the store as long as the store serves any."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lib.watch_model import WatchModel

HOSTS = 9
# The store turns away a third of the hosts at most.
MOST_AWAY = 3
SETTLED_S = 3.0
CALM_S = 10.0
# Some host knows all this long after a change at most, so that the others have it in
# time, two seconds after it.
KNOWN_S = 1.9
numbers = st.integers(0, HOSTS - 1)
# Whether hosts that are watching are turned away first, how many, whether they get no
# answer at all, and for how long, in seconds.
phases = st.tuples(
    st.booleans(),
    st.sets(numbers, max_size=MOST_AWAY),
    st.booleans(),
    st.sampled_from([0.3, 1.0, 3.0, 9.0]),
)


def choose(model, takes_watchers, drawn):
    """Return the names of as many hosts as drawn; watching ones first if so drawn."""
    names = [f"h{number}" for number in sorted(drawn)]
    if takes_watchers:
        hosts = sorted(model.list_live(), key=lambda host: -host.freshness.own_at)
        names = [host.name for host in hosts[: len(drawn)]]
    return set(names)


# review/9: with all hosts that may watch turned away, nobody watched the store.
@settings(max_examples=60)
@given(st.integers(1, 3), st.lists(phases, min_size=1, max_size=3))
def test_the_fleet_knows_in_time_what_the_store_has(data_centres, drawn):
    model = WatchModel(hosts=HOSTS, data_centres=data_centres)
    model.run(SETTLED_S)
    for takes_watchers, numbers_away, is_silent, seconds in drawn:
        away = choose(model, takes_watchers, numbers_away)
        model.silent, model.refused = (away, set()) if is_silent else (set(), away)
        for _ in range(round(seconds / 0.1)):
            model.run(0.1)
            assert model.measure_age() <= KNOWN_S


# All hosts that had tried once during an outage watched for up to a minute after it.
@given(st.sampled_from([1.6, 2.0, 2.4, 3.0, 9.0]), st.booleans())
@settings(max_examples=10)
def test_an_outage_of_the_store_makes_few_hosts_watch_after_it(seconds, is_silent):
    model = WatchModel(hosts=40, data_centres=2)
    model.run(5.0)
    before = model.calls
    model.run(CALM_S)
    calm = model.calls - before
    away = set(model.hosts)
    model.silent, model.refused = (away, set()) if is_silent else (set(), away)
    model.run(seconds)
    model.silent = model.refused = set()
    # Until attempts that are in progress have ended.
    model.run(SETTLED_S)
    before = model.calls
    model.run(CALM_S)
    assert model.calls - before <= 2 * calm
