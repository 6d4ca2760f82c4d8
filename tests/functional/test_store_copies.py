"""A store that comes back from a copy some seconds old costs nobody what was known."""

import time
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace

import gevent
import pytest

from rosemarystream._internal.decisions.prompt_blocks import BLOCK_S, Block
from rosemarystream._internal.decisions.store_era import DOUBT_S, MISSING_GRACE_S
from standins.object_store import StoreFault
from tests.lib.entry_world import KEY, World, make_configuration, wait_until
from tests.lib.store_owners import write_again

# A change has to be in force this long after the store has accepted it.
IN_FORCE_S = 2.0
# Time in which a host notices that the store has come back, and lists it.
NOTICED_S = 1.0
# Time after a grace in which hosts act on its end: some rounds.
ROUNDS_S = 0.2
# Time in which hosts that were cut off from each other are in contact again.
IN_TOUCH_S = 1.5
# Time after which owners have written again what was lost.
REWRITTEN_S = 1.0
OWNED = ("servers", "config", "evacuations")
OLD_KEY = "old-key-of-w1"
PART = 0xBAD


class OwnedStore:
    """The store with what its owners want it to have, which they write again."""

    def __init__(self, store):
        self.store = store
        self._wanted = {kind: {} for kind in OWNED}
        self._copy = None
        store.stated_era = 1

    def write(self, kind, name, spec):
        self._wanted[kind][name] = spec
        self.store.write(kind, name, spec)

    def remove(self, kind, name):
        self._wanted[kind].pop(name, None)
        self.store.remove(kind, name)

    def save_copy(self):
        self._copy = self.store.save_copy()

    def lose(self, writes):
        """Write what the copy won't have."""
        for number in range(writes):
            self.store.write("others", f"o{number}", {})

    def come_back(self, away_s=0.0):
        """Be away for a moment, and come back from the copy."""
        if away_s:
            self.store.fault = StoreFault.BUSY
            self.store._notify_watches()
            gevent.sleep(away_s)
        self.store.load_copy(self._copy)
        self.store.fault = StoreFault.NONE

    def rewrite(self):
        write_again(self.store, self._wanted)


@pytest.fixture
def world():
    """Two hosts in each of two data centres, and four plain servers."""
    created = World()
    created.owned = OwnedStore(created.store)
    created.owned.write("config", "main", make_configuration(3, keys=[KEY, OLD_KEY]))
    for name in ("p1", "p2", "p3", "p4"):
        server = created.add_server(name, data_centre="b" if name == "p4" else "a")
        created.owned.write("servers", name, server.describe())
    for name, data_centre in (("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")):
        created.add_host(name, data_centre, seeds=[x for x in created.hosts][:1])
    wait_known(created, {"p1", "p2", "p3", "p4"})
    yield created
    created.stop()


def wait_known(
    world, servers, version=3, *, evacuated=(), seconds=IN_FORCE_S, is_grace=False
):
    """Wait until all hosts know just these servers and data centres.

    Parameters
    ----------
    is_grace : bool
        Whether that is so once the grace of the hosts has ended.
    """
    expected = freeze((servers, version, evacuated))

    def list_others():
        known = {name: read_known(host) for name, host in world.hosts.items()}
        return {name: x for name, x in known.items() if x != expected}

    left_s = find_time_left(world, seconds, is_grace=is_grace)
    while list_others() and left_s() > 0:
        gevent.sleep(0.01)
    assert not list_others(), f"not within {seconds} s"


def find_time_left(world, seconds, *, is_grace):
    """Return a function that tells how much is left of a time, in seconds.

    A host that was late as its grace ended reads first, for a second after the delay,
    what came meanwhile (docs/design/host-delays.md).
    """
    gateways = [host.gateway for host in world.hosts.values()]
    ends = [(x._clock, x._replica.delays, x._clock() + seconds) for x in gateways]

    def find_left(clock, delays, end):
        put_off_to = delays.put_off(end, clock()) if is_grace else end
        return put_off_to + (ROUNDS_S if put_off_to > end else 0.0) - clock()

    return lambda: max(find_left(*end) for end in ends)


def freeze(known):
    servers, version, evacuated = known
    return frozenset(servers), version, frozenset(evacuated)


def read_known(host):
    state = host.read_state()
    evacuations = state["evacuations"]
    evacuated = {name for name, x in evacuations.items() if x["in_force"]}
    return freeze((host.list_servers(), state["figures"]["version"], evacuated))


def watch_known(world, seconds):
    """Return all that hosts know at any moment of a time."""
    seen = set()
    with gevent.Timeout(seconds, False):
        while True:
            seen.update(map(read_known, world.hosts.values()))
            gevent.sleep(0.05)
    return seen


def drain(world, name):
    entry = world.servers[name].describe("draining", 2)
    world.owned.write("servers", name, entry)


def join(world, name):
    server = world.add_server(name)
    world.owned.write("servers", name, server.describe())


def change_all(world, version):
    """Make a change of each kind."""
    drain(world, "p1")
    world.owned.remove("servers", "p2")
    join(world, "p5")
    world.owned.write("config", "main", make_configuration(version))
    world.owned.write("evacuations", "b", {})


# review/13: a server that was removed after the store had come back got requests until
# it exited, as its removal had a lower revision than the entry that was known.
@pytest.mark.parametrize("away_s", [0.0, 1.0])
@pytest.mark.parametrize("lost", [2, 40])
def test_changes_after_the_store_has_come_back_are_in_force_in_time(
    world, away_s, lost
):
    world.owned.save_copy()
    world.owned.lose(lost)
    gevent.sleep(0.5)
    world.owned.come_back(away_s)
    world.owned.rewrite()
    gevent.sleep(IN_FORCE_S)
    change_all(world, 7)
    wait_known(world, {"p3", "p4", "p5"}, 7, evacuated=["b"])
    statuses = [h.call("/look/1", key=OLD_KEY).status for h in world.hosts.values()]
    assert statuses == [401] * 4


@pytest.mark.parametrize("away_s", [0.0, 1.0])
@pytest.mark.parametrize("lost", [0, 40])
def test_changes_that_the_copy_lacks_stay_in_force(world, away_s, lost):
    world.owned.write("evacuations", "c", {})
    wait_known(world, {"p1", "p2", "p3", "p4"}, evacuated=["c"])
    world.owned.save_copy()
    change_all(world, 7)
    world.owned.remove("evacuations", "c")
    world.owned.lose(lost)
    known = {"p3", "p4", "p5"}, 7, {"b"}
    wait_known(world, *known[:2], evacuated=["b"])
    world.owned.come_back(away_s)
    seen = watch_known(world, REWRITTEN_S)
    world.owned.rewrite()
    seen |= watch_known(world, DOUBT_S + 1.5)
    assert seen == {freeze(known)}


def lose_changes(world):
    """Make changes that the copy lacks, once all hosts know them."""
    world.owned.save_copy()
    change_all(world, 7)
    world.owned.lose(10)
    known = {"p3", "p4", "p5"}, 7, {"b"}
    wait_known(world, *known[:2], evacuated=["b"])
    return freeze(known)


@pytest.mark.parametrize("rewritten_after_s", [0.0, 0.5])
def test_a_host_that_was_held_up_waits_for_what_is_written_again(
    world, rewritten_after_s
):
    """Doubt and grace run out in the delay; what came meanwhile is read after it."""
    known = lose_changes(world)
    world.owned.come_back()
    seen = watch_known(world, 0.5)
    time.sleep(max(DOUBT_S, MISSING_GRACE_S))
    seen |= watch_known(world, rewritten_after_s)
    world.owned.rewrite()
    seen |= watch_known(world, 2.5)
    assert seen == {known}


def test_a_second_copy_soon_after_the_first_one_changes_nothing(world):
    known = lose_changes(world)
    world.owned.come_back()
    seen = watch_known(world, 0.5)
    world.owned.rewrite()
    seen |= watch_known(world, 0.5)
    world.owned.come_back()
    seen |= watch_known(world, REWRITTEN_S)
    world.owned.rewrite()
    seen |= watch_known(world, DOUBT_S + 1.5)
    assert seen == {known}


def test_a_host_that_starts_meanwhile_knows_what_the_others_know(world):
    known = lose_changes(world)
    world.owned.come_back()
    gevent.sleep(0.3)
    world.add_host("h5", "a", seeds=["h1", "h2"])
    seen = watch_known(world, REWRITTEN_S)
    world.owned.rewrite()
    seen |= watch_known(world, DOUBT_S)
    assert seen == {known}


def test_all_hosts_but_one_start_anew_meanwhile(world):
    known = lose_changes(world)
    for name in ("h1", "h3", "h4"):
        world.hosts.pop(name).gateway.stop()
    world.owned.come_back()
    for name, data_centre in (("h6", "a"), ("h7", "b"), ("h8", "b")):
        world.add_host(name, data_centre, seeds=["h2"])
    seen = watch_known(world, REWRITTEN_S)
    world.owned.rewrite()
    seen |= watch_known(world, DOUBT_S)
    assert seen == {known}


@pytest.mark.parametrize("change_at_s", [-3.0, -1.0, -0.3, -0.05, -0.002])
@pytest.mark.parametrize("away_s", [0.0, 1.0])
def test_a_change_right_before_the_copy_is_loaded_is_not_undone(
    world, change_at_s, away_s
):
    world.owned.save_copy()
    world.owned.lose(10)
    change_all(world, 7)
    gevent.sleep(-change_at_s)
    before = {name: read_known(host) for name, host in world.hosts.items()}
    world.owned.come_back(away_s)
    seen = watch_known(world, REWRITTEN_S)
    world.owned.rewrite()
    wait_known(world, {"p3", "p4", "p5"}, 7, evacuated=["b"])
    seen |= watch_known(world, DOUBT_S)
    if all(version == 7 for _, version, _ in before.values()):
        assert {version for _, version, _ in seen} == {7}
    if not any("p2" in servers for servers, _, _ in before.values()):
        assert not any("p2" in servers for servers, _, _ in seen)


@pytest.mark.parametrize("change_at_s", [0.002, 0.05, 0.3, 1.0, 3.0])
def test_a_change_right_after_the_copy_was_loaded_is_in_force_in_time(
    world, change_at_s
):
    world.owned.save_copy()
    world.owned.lose(40)
    gevent.sleep(0.5)
    world.owned.come_back()
    gevent.sleep(change_at_s)
    change_all(world, 7)
    world.owned.rewrite()
    known = {"p3", "p4", "p5"}, 7
    wait_known(world, *known, evacuated=["b"], seconds=DOUBT_S, is_grace=True)
    assert watch_known(world, DOUBT_S) == {freeze(({"p3", "p4", "p5"}, 7, {"b"}))}


@contextmanager
def cut_off(world, data_centre):
    """Cut the hosts of a data centre off from the store and from all others."""
    gateways = [host.gateway for host in world.hosts.values()]
    inside = {h.ip for h in world.hosts.values() if get_home(h) == data_centre}
    addresses = {h.store_address for h in world.hosts.values() if h.ip in inside}

    def is_cut(gateway, ip):
        return (gateway._settings.host.ip in inside) != (ip in inside)

    def cut_messages(gateway, send):
        return lambda ip, message: None if is_cut(gateway, ip) else send(ip, message)

    def cut_pulls(gateway, exchange):
        def cut_exchange(kind, ip, request):
            if is_cut(gateway, ip):
                raise OSError("cut off")
            return exchange(kind, ip, request)

        return cut_exchange

    with pytest.MonkeyPatch.context() as patches:
        for gateway in gateways:
            peering, puller = gateway._peering, gateway._puller
            send = cut_messages(gateway, peering._send)
            patches.setattr(peering, "_send", send)
            patches.setattr(puller, "_exchange", cut_pulls(gateway, puller._exchange))
        world.store.unanswered.update(addresses)
        yield
        world.store.unanswered.difference_update(addresses)


def get_home(host):
    return host.gateway._settings.host.data_centre


def select_nearby(world, data_centre):
    """Return the part of a world in one data centre."""
    near = {n: h for n, h in world.hosts.items() if get_home(h) == data_centre}
    return SimpleNamespace(hosts=near)


# Positions meet when the cut heals: what one side knows of the old era must neither
# keep changes of the new one away nor bring back what the other has seen removed.
@pytest.mark.parametrize("is_cut_first", [False, True])
@pytest.mark.parametrize("healed_after_s", [0.3, DOUBT_S + 1.0])
def test_a_data_centre_that_is_cut_off_over_the_drill_meets_the_others_after_it(
    world, is_cut_first, healed_after_s
):
    with ExitStack() as cut:
        if is_cut_first:
            cut.enter_context(cut_off(world, "b"))
            gevent.sleep(0.3)
        world.owned.save_copy()
        change_all(world, 7)
        world.owned.lose(10)
        known = freeze(({"p3", "p4", "p5"}, 7, {"b"}))
        nearby = select_nearby(world, "a")
        wait_known(nearby, {"p3", "p4", "p5"}, 7, evacuated=["b"])
        if not is_cut_first:
            gevent.sleep(0.5)
            cut.enter_context(cut_off(world, "b"))
        world.owned.come_back()
        seen = watch_known(nearby, REWRITTEN_S)
        world.owned.rewrite()
        seen |= watch_known(nearby, healed_after_s)
        world.owned.remove("servers", "p3")
        world.owned.write("config", "main", make_configuration(8))
        seen |= watch_known(nearby, IN_FORCE_S)
        changed = freeze(({"p4", "p5"}, 8, {"b"}))
        assert changed in seen
        assert {servers for servers, *_ in seen} == {known[0], changed[0]}
        assert {(version, evacuated) for _, version, evacuated in seen} == {
            (version, known[2]) for version in (7, 8)
        }
    # What its store lacks may have lapsed while it was cut off, or be written again.
    seconds = IN_TOUCH_S + MISSING_GRACE_S
    wait_known(world, {"p4", "p5"}, 8, evacuated=["b"], seconds=seconds, is_grace=True)
    assert watch_known(world, DOUBT_S) == {changed}


def test_hosts_that_the_store_turns_away_hear_of_it_from_others(world):
    refused = [world.hosts[name].store_address for name in ("h3", "h4")]
    world.owned.save_copy()
    world.owned.lose(40)
    world.owned.come_back()
    world.store.refused.update(refused)
    world.owned.rewrite()
    gevent.sleep(IN_FORCE_S)
    change_all(world, 7)
    wait_known(world, {"p3", "p4", "p5"}, 7, evacuated=["b"])


def test_a_server_that_the_store_keeps_is_used_once_doubt_is_over(world):
    world.owned.save_copy()
    world.store.remove("servers", "p2")
    world.owned.lose(10)
    wait_known(world, {"p1", "p3", "p4"})
    world.owned.come_back()
    seen = watch_known(world, 1.5)
    assert seen == {freeze(({"p1", "p3", "p4"}, 3, ()))}
    assert world.hosts["h1"].read_state()["store"]["withheld"] == ["p2"]
    wait_known(world, {"p1", "p2", "p3", "p4"}, seconds=DOUBT_S, is_grace=True)


def test_a_server_that_the_store_lacks_and_nobody_writes_is_gone_soon(world):
    world.owned.save_copy()
    join(world, "p5")
    wait_known(world, {"p1", "p2", "p3", "p4", "p5"})
    world.owned.remove("servers", "p5")
    world.owned.come_back()
    seconds = MISSING_GRACE_S + NOTICED_S
    wait_known(world, {"p1", "p2", "p3", "p4"}, seconds=seconds, is_grace=True)


def test_blocked_parts_that_the_store_has_lost_are_written_again(world):
    gateway = world.hosts["h1"].gateway
    world.owned.save_copy()
    now = gateway._clock()
    block = Block(PART, now, now + BLOCK_S)
    gateway._blocks.accept_block(block, now, is_forwarded=True)
    records = world.store._objects.setdefault("rosemarystream-blocked-parts", {})
    wait_until(lambda: records)
    world.owned.come_back()
    lost = world.store._objects.setdefault("rosemarystream-blocked-parts", {})
    assert not lost
    wait_until(lambda: [*lost] == [f"{PART:016x}"])
    assert all(h.read_state()["blocked_parts"] for h in world.hosts.values())


@pytest.mark.parametrize("era", [None, "", "-1", "0", "9" * 30, "2.5", "\xb2", "99999"])
def test_an_era_that_cannot_be_used_keeps_no_change_away(world, era):
    # The store has stated 1 before, and 99999 is more than it can have risen to.
    world.store.stated_era = era
    drain(world, "p1")
    wait_known(world, {"p2", "p3", "p4"})
    assert world.hosts["h1"].read_state()["store"]["era"] == 1
    metrics = world.hosts["h1"].gateway._metrics.format_text().decode()
    fault = "missing" if era is None else "lower" if era == "0" else None
    if fault:
        assert f'store_eras_unusable_total{{fault="{fault}"}}' in metrics
