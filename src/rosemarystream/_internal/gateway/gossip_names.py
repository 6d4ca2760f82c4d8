"""The hosts that a gossip message names to make them known to others."""

from rosemarystream._internal.decisions.live_hosts import Peer
from rosemarystream._internal.decisions.peer_table import (
    CANDIDATES,
    COLLECTORS,
    PeerTable,
)
from rosemarystream._internal.models.gossip import HostAddress

# Hosts named besides those next in order, other ones in each message.
OTHER_NAMES = 4
# Age of a host of which no message has arrived.
NEVER_SEEN_AGE_MS = -1
_MS_PER_S = 1000


def list_names(
    table: PeerTable, data_centre: str, nearby: str, now: float, turn: int
) -> list[HostAddress]:
    """Return the hosts to name: those next in order, and some others in turn.

    Parameters
    ----------
    data_centre : str
        Data centre of this host.
    nearby : str
        Data centre of the receiver; most of the hosts are from there.
    turn : int
        Number of the message; selects the others.
    """
    data_centres = {*table.list_data_centres(), data_centre}
    named = table.list_candidates(nearby, now, CANDIDATES)
    for other in sorted(data_centres - {nearby}):
        named += table.list_candidates(other, now, COLLECTORS)
    names = {host.name for host in named}
    others = [
        host
        for host in table.list_live(now)
        if host.data_centre == nearby and host.name not in names
    ]
    # Known only by name: the receiver gets no later updates about them.
    reserves = [
        HostAddress(host.name, host.data_centre, host.ip, NEVER_SEEN_AGE_MS)
        for host in take_turn(others, turn, OTHER_NAMES)
    ]
    return [_make_name(host, now) for host in named] + reserves


def take_turn(hosts: list[Peer], turn: int, count: int) -> list[Peer]:
    """Return `count` of the hosts, the next ones at each turn."""
    if len(hosts) <= count:
        return hosts
    start = turn * count % len(hosts)
    return [*hosts, *hosts][start : start + count]


def _make_name(host: Peer, now: float) -> HostAddress:
    age_ms = NEVER_SEEN_AGE_MS
    if host.last_seen_at:
        age_ms = int((now - host.last_seen_at) * _MS_PER_S)
    return HostAddress(host.name, host.data_centre, host.ip, age_ms)
