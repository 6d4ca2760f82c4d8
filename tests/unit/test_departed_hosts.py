"""Records of hosts that were removed for good and still stand in the store."""

import msgspec
import pytest

from rosemarystream._internal.decisions.departed_hosts import DEPARTED_AFTER_S
from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.gateway.host_registry import (
    HOSTS_INTERVAL_S,
    HostRegistry,
)
from rosemarystream._internal.models.gossip import HostAddress
from rosemarystream._internal.platform.store import Listing
from rosemarystream._internal.platform.store_answers import StoredObject
from tests.lib.watch_model import WatchModel

REMOVED = [f"removed-{number}" for number in range(500)]
# Hosts of data centre a in the order that assigns roles; the first two collect.
FIRST, SECOND, THIRD = order_candidates("a", ["h1", "h2", "h3"])


class RecordStore:
    """Keeps the records of hosts."""

    def __init__(self):
        self.records = {}
        self.calls = []

    def put(self, kind, name, spec):
        self.calls.append(("put", name))
        self.records[name] = spec

    def delete(self, kind, name):
        self.calls.append(("delete", name))
        del self.records[name]

    def list(self, kind):
        objects = [
            StoredObject(name, 1, msgspec.json.encode(spec))
            for name, spec in self.records.items()
        ]
        return Listing(objects, 1)


class Exchange:
    """Hosts of data centre a that exchange their names through a store."""

    def __init__(self, *names):
        self.now = 1_000.0
        self.store = RecordStore()
        self.contacted = []
        self.tables, self.registries = {}, {}
        for name in names:
            self.tables[name] = PeerTable(name=name, data_centre="a")
            self.registries[name] = HostRegistry(
                this_host=HostAddress(name, "a", f"10.0.0.{name[1:]}"),
                store=self.store,
                peer_table=self.tables[name],
                ignored=IgnoredObjects(),
                clock=lambda: self.now,
                contact=self.contacted.extend,
            )

    def run(self, seconds):
        for _ in range(round(seconds / HOSTS_INTERVAL_S)):
            self.now += HOSTS_INTERVAL_S
            for name, table in self.tables.items():
                for other in self.tables:
                    table.record_alive(other, "a", f"10.0.0.{other[1:]}", self.now)
                self.registries[name]._exchange()

    def count_deleted(self):
        return sum(call == "delete" for call, _ in self.store.calls)


def write_removed(exchange, names=REMOVED, data_centre="a"):
    for number, name in enumerate(names):
        ip = f"10.1.{number // 250}.{number % 250 + 1}"
        exchange.store.records[name] = {"data_centre": data_centre, "ip": ip}


def test_a_host_that_is_only_recorded_takes_no_place_in_the_order():
    exchange = Exchange(FIRST, SECOND, THIRD)
    write_removed(exchange)
    exchange.run(HOSTS_INTERVAL_S)
    for table in exchange.tables.values():
        assert table.list_collectors("a", exchange.now) == [FIRST, SECOND]
        assert table.count_live(exchange.now) == 3
    assert len({*exchange.contacted}) == len(REMOVED)


def test_records_of_departed_hosts_are_removed_a_few_at_a_time():
    exchange = Exchange(FIRST, SECOND, THIRD)
    write_removed(exchange, REMOVED[:15])
    exchange.run(DEPARTED_AFTER_S)
    assert exchange.count_deleted() == 0
    exchange.run(HOSTS_INTERVAL_S)
    assert exchange.count_deleted() == 10
    exchange.run(DEPARTED_AFTER_S)
    assert {*exchange.store.records} == {FIRST, SECOND}
    assert exchange.count_deleted() == 15


def test_a_host_that_was_taken_for_departed_records_itself_again():
    exchange = Exchange(FIRST, SECOND)
    exchange.run(HOSTS_INTERVAL_S)
    del exchange.store.records[SECOND]
    exchange.run(2 * HOSTS_INTERVAL_S)
    assert SECOND in exchange.store.records


@pytest.mark.parametrize(("data_centre", "is_removed"), [("b", True), ("c", False)])
def test_records_of_a_data_centre_without_live_hosts_are_removed(
    data_centre, is_removed
):
    exchange = Exchange(FIRST)
    write_removed(exchange, REMOVED[:1], data_centre)
    for _ in range(20):
        exchange.tables[FIRST].record_alive("far", "c", "10.9.9.9", exchange.now + 20)
        exchange.run(HOSTS_INTERVAL_S)
    assert (REMOVED[0] not in exchange.store.records) is is_removed


def test_a_host_that_is_heard_keeps_its_address_whatever_its_record_says():
    table = PeerTable(name="h1", data_centre="a")
    table.record_alive("h2", "a", "10.0.0.2", 5.0)
    assert not table.add_recorded("h2", "a", "10.0.0.9", 5.1)
    assert table.find("h2").ip == "10.0.0.2"
    assert table.add_recorded("h2", "a", "10.0.0.9", 50.0)


# review/trial-registry-2: each time a host read the records, nobody watched for 3 s.
def test_records_of_removed_hosts_leave_no_gap_in_the_watch():
    worst = []
    for names in ([], REMOVED):
        model = WatchModel(hosts=5, data_centres=1)
        model.run(4.0)
        age = 0.0
        for turn in range(60):
            for host in model.list_live():
                if turn % 20 == 0 and host.peer_table.is_collector(model.now):
                    for name in names:
                        host.peer_table.add_recorded(name, "dc0", "10.9.9.9", model.now)
            model.run(0.1)
            age = max(age, model.measure_age())
        worst.append(age)
    assert worst[1] <= worst[0]
