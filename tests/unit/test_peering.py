"""Host names that a collector sends to the hosts of its data centre."""

from types import SimpleNamespace

from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.gateway.peering import Peering
from rosemarystream._internal.models.gossip import HostAddress

HOSTS = 76


def make_peering(name, peer_table):
    return Peering(
        this_host=HostAddress(name, "a", "127.0.0.1"),
        port=1,
        seeds=[],
        first_sequence=1,
        clock=lambda: 10.0,
        replica=None,
        peer_table=peer_table,
        loads=None,
        contexts=None,
        puller=None,
        list_ejected=list,
        on_ejections=print,
        metrics=SimpleNamespace(),
    )


def test_hosts_of_a_large_fleet_know_how_many_there_are():
    collector = PeerTable(name="h0", data_centre="a")
    for number in range(1, HOSTS):
        collector.record_alive(
            f"h{number}", "abcd"[number % 4], f"10.0.0.{number}", 9.9
        )
    names = make_peering("h0", collector)._list_names(10.0)
    host = PeerTable(name="h4", data_centre="a")
    host.record_alive("h0", "a", "10.0.0.0", 9.9)
    make_peering("h4", host)._accept_known_hosts(names, 10.0)
    assert host.count_live(10.0) == HOSTS
