"""The live hosts of the fleet, grouped by data centre, for as long as that holds.

A host sends many messages in a second and joins or leaves rarely, so what follows from
the set of live hosts is worked out when the set changes, not at each message.
"""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.decisions.host_delays import HostDelays

# Time since a host was last seen after which it is considered dead.
DEAD_AFTER_S = 1.2
# Time for which a host that was only named by others counts as live.
UNCONFIRMED_TTL_S = 3.0


class Peer(NamedTuple):
    """Another host of the fleet.

    Attributes
    ----------
    last_seen_at : float
        When this host or another last got a message of it, by this host's clock; 0 if
        none did.
    known_since : float
        When it became known; starts again if it is named at another address.
    """

    name: str
    data_centre: str
    ip: str
    last_seen_at: float
    known_since: float

    def compute_deadline(self) -> float:
        """Return the time until which the host counts as live."""
        if self.last_seen_at:
            return self.last_seen_at + DEAD_AFTER_S
        return self.known_since + UNCONFIRMED_TTL_S


class LiveHosts(NamedTuple):
    """The hosts that were live at a moment.

    Attributes
    ----------
    since, deadline : float
        Unless a host joins or is named elsewhere, the same hosts are live from the
        first time until before the second one.
    names : dict of str to str
        Data centres of the other live hosts, by name.
    orders : dict of str to list of str
        Live hosts of each data centre in the order that assigns roles; the own data
        centre is always there, with this host.
    """

    since: float
    deadline: float
    names: dict[str, str]
    orders: dict[str, list[str]]


def find_live_hosts(
    hosts: Iterable[Peer],
    now: float,
    *,
    name: str,
    data_centre: str,
    delays: HostDelays,
) -> LiveHosts:
    """Return which of the other hosts are live, and their order with this host.

    Parameters
    ----------
    name, data_centre : str
        This host and its data centre.
    delays : HostDelays
        Delays of this host: the messages that came meanwhile are read after them.
    """
    deadline_of = {host: delays.put_off(host.compute_deadline(), now) for host in hosts}
    live = [host for host, deadline in deadline_of.items() if now <= deadline]
    groups = {data_centre: [name]}
    for host in live:
        groups.setdefault(host.data_centre, []).append(host.name)
    return LiveHosts(
        since=now,
        deadline=min(map(deadline_of.get, live), default=inf),
        names={host.name: host.data_centre for host in live},
        orders={key: order_candidates(key, names) for key, names in groups.items()},
    )
