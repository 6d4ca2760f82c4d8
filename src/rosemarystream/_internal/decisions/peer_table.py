"""Known hosts of the fleet, with failure detection and choice of collectors.

Handles hosts that are replaced at any time, in a fleet too large for every host to
send to every other. In each data centre the first two live hosts of the rendezvous
order are its collectors: they take the reports of the other hosts and forward
them, and the first of them watches the store. Hosts may disagree for a moment; then
there are more collectors.
"""

from collections.abc import Collection
from typing import NamedTuple

from rosemarystream._internal.decisions.host_delays import HostDelays
from rosemarystream._internal.decisions.live_hosts import (
    UNCONFIRMED_TTL_S,
    LiveHosts,
    Peer,
    find_live_hosts,
)

COLLECTORS = 2
# Time since a host was last seen after which it is removed from the table.
FORGET_AFTER_S = 120.0
# Collectors of a data centre that watch the store if there are other data centres.
WATCHERS = 1
# Collectors that watch the store in a fleet of a single data centre.
SINGLE_DATA_CENTRE_WATCHERS = 2
# Hosts first in the order of a data centre that a collector names to others: enough
# for the next collectors to be known when several fail at once.
CANDIDATES = 8
# Time for which another host's count of live hosts is valid.
COUNT_TTL_S = 1.5
# The recent peak of the number of hosts covers the current period of this length and
# the one before.
PEAK_PERIOD_S = 60.0
# Data centres whose watchers wait briefly at the store.
SHORT_WAIT_DATA_CENTRES = 2
# Hosts next in order that watch the store while the collectors can't reach it.
RESERVE_WATCHERS = 1


class PeerChanges(NamedTuple):
    """Hosts that were found or lost since the last call of `take_changes`."""

    found: list[Peer]
    lost: list[Peer]


class _HostCount(NamedTuple):
    """Live hosts of a data centre, or of the fleet, as another host counts them."""

    hosts: int
    valid_until: float


class PeerTable:
    """The other hosts that one host knows.

    Collectors know all hosts of their data centre. The others know the collectors
    and the next in order; the collectors report to them how many hosts there are.

    Parameters
    ----------
    delays : HostDelays, optional
        Delays of this host, which say nothing of the others.
    """

    def __init__(
        self, *, name: str, data_centre: str, delays: HostDelays | None = None
    ) -> None:
        self._delays = delays or HostDelays()
        self._name = name
        self._data_centre = data_centre
        self._hosts: dict[str, Peer] = {}
        self._live: LiveHosts | None = None
        self._previous_live: dict[str, Peer] = {}
        self._data_centre_counts: dict[str, _HostCount] = {}
        self._fleet_count = _HostCount(0, 0.0)
        self._peak_since = 0.0
        self._peak = 0
        self._previous_peak = 0

    def add_peer(self, name: str, data_centre: str, ip: str, now: float) -> None:
        """Add a host that another host has named."""
        known = self._hosts.get(name)
        if name == self._name:
            return
        last_seen_at = known.last_seen_at if known and known.ip == ip else 0.0
        known_since = known.known_since if known and known.ip == ip else now
        self._store(Peer(name, data_centre, ip, last_seen_at, known_since))

    def add_recorded(self, name: str, data_centre: str, ip: str, now: float) -> bool:
        """Add a host of which the store has a record; return whether it was added.

        It may be gone, so it isn't live before a message of it arrives.
        """
        if name == self._name or name in self._find_live(now).names:
            return False
        known = self._hosts.get(name)
        if known is not None and known.ip == ip:
            return False
        # As if it had been named so long ago that it no longer counts.
        named_at = now - 2 * UNCONFIRMED_TTL_S
        self._store(Peer(name, data_centre, ip, 0.0, named_at))
        return True

    def record_alive(
        self, name: str, data_centre: str, ip: str, last_seen_at: float
    ) -> None:
        """Record that this host or another got a message of a host."""
        known = self._hosts.get(name)
        if name == self._name or (
            known and known.ip == ip and known.last_seen_at >= last_seen_at
        ):
            return
        known_since = known.known_since if known else last_seen_at
        self._store(Peer(name, data_centre, ip, last_seen_at, known_since))

    def _store(self, host: Peer) -> None:
        self._hosts[host.name] = host
        live = self._live
        if live is not None and (
            live.names.get(host.name) != host.data_centre
            or host.compute_deadline() < live.deadline
        ):
            self._live = None

    def remove_stale(self, now: float) -> None:
        """Remove the hosts that were not seen for `FORGET_AFTER_S`."""
        for host in [*self._hosts.values()]:
            known_until = max(host.last_seen_at, host.known_since) + FORGET_AFTER_S
            if now > self._delays.put_off(known_until, now):
                del self._hosts[host.name]
                self._live = None

    def find(self, name: str) -> Peer | None:
        """Return a host by its name, or None if it is unknown."""
        return self._hosts.get(name)

    def list_known(self) -> list[Peer]:
        """Return all known hosts."""
        return [*self._hosts.values()]

    def list_live(self, now: float) -> list[Peer]:
        """Return the hosts that are alive, or newly named and not yet confirmed."""
        return [self._hosts[name] for name in self._find_live(now).names]

    def _find_live(self, now: float) -> LiveHosts:
        """Return which hosts are live, as found before unless that may have changed."""
        live = self._live
        if live is None or not live.since <= now < live.deadline:
            live = find_live_hosts(
                self._hosts.values(),
                now,
                name=self._name,
                data_centre=self._data_centre,
                delays=self._delays,
            )
            self._live = live
        return live

    def take_changes(self, now: float) -> PeerChanges:
        """Return the hosts that were found or lost since the last call.

        Hosts that were never seen are ignored.
        """
        live = {host.name: host for host in self.list_live(now) if host.last_seen_at}
        before, self._previous_live = self._previous_live, live
        return PeerChanges(
            found=[host for name, host in live.items() if name not in before],
            lost=[host for name, host in before.items() if name not in live],
        )

    def record_data_centre_count(
        self, data_centre: str, hosts: int, now: float
    ) -> None:
        """Record the number of live hosts of another data centre, as counted there."""
        self._data_centre_counts[data_centre] = _HostCount(hosts, now + COUNT_TTL_S)

    def record_fleet_count(self, hosts: int, now: float) -> None:
        """Record how many live hosts a collector counts in the whole fleet."""
        self._fleet_count = _HostCount(hosts, now + COUNT_TTL_S)

    def count_data_centre(self, now: float) -> int:
        """Return the number of live hosts of this data centre, this one included."""
        return len(self._order_hosts(self._data_centre, now))

    def count_live(self, now: float) -> int:
        """Return the number of live hosts of the fleet, this one included.

        Hosts that send this host no messages are counted by those that get some.
        """
        orders = self._find_live(now).orders
        counts = {data_centre: len(order) for data_centre, order in orders.items()}
        for data_centre, reported in self._data_centre_counts.items():
            if now <= reported.valid_until and data_centre != self._data_centre:
                counts[data_centre] = max(counts.get(data_centre, 0), reported.hosts)
        total = sum(counts.values())
        if now <= self._fleet_count.valid_until:
            total = max(total, self._fleet_count.hosts)
        return total

    def count_recent_peak(self, now: float) -> int:
        """Return the largest recent number of live hosts.

        A quota of the fleet is divided by it. Hosts that can't be reached may still use
        their shares, so the number does not fall as soon as they are lost.
        """
        if now - self._peak_since > PEAK_PERIOD_S:
            is_recent = now - self._peak_since <= 2 * PEAK_PERIOD_S
            self._previous_peak = self._peak if is_recent else 0
            self._peak, self._peak_since = 0, now
        self._peak = max(self._peak, self.count_live(now))
        return max(self._peak, self._previous_peak)

    def _order_hosts(self, data_centre: str, now: float) -> list[str]:
        """Return the live hosts of a data centre in the order that assigns roles."""
        return self._find_live(now).orders.get(data_centre, [])

    def list_collectors(self, data_centre: str, now: float) -> list[str]:
        """Return the names of a data centre's collectors."""
        return self._order_hosts(data_centre, now)[:COLLECTORS]

    def list_candidates(self, data_centre: str, now: float, most: int) -> list[Peer]:
        """Return the other hosts of a data centre, in the order that assigns roles."""
        names = self._order_hosts(data_centre, now)[:most]
        return [self._hosts[name] for name in names if name != self._name]

    def list_unreachable(self, now: float) -> list[Peer]:
        """Return the known hosts that this host contacts, as a cut may have ended.

        A collector contacts all that aren't live: a cut may part the hosts of a data
        centre. The others contact those of data centres in which none is live.
        """
        live = self._find_live(now).names
        if self.is_collector(now):
            return [host for host in self._hosts.values() if host.name not in live]
        reached = {*live.values()}
        return [h for h in self._hosts.values() if h.data_centre not in reached]

    def is_collector(self, now: float) -> bool:
        """Return whether this host is a collector of its data centre."""
        return self._name in self.list_collectors(self._data_centre, now)

    def is_watcher(self, now: float, *, lost: Collection[str]) -> bool:
        """Return whether this host watches the store.

        Parameters
        ----------
        lost : collection of str
            Hosts that report that they can't reach the store. They keep trying,
            and the next hosts in order watch as well.
        """
        order = self._order_hosts(self._data_centre, now)
        before = order[: order.index(self._name)]
        if len(before) >= COLLECTORS + RESERVE_WATCHERS:
            return False
        is_single_data_centre = len(self._find_live(now).orders) == 1
        watching = [name for name in before if name not in lost]
        return len(watching) < (
            SINGLE_DATA_CENTRE_WATCHERS if is_single_data_centre else WATCHERS
        )

    def find_position(self, now: float) -> int:
        """Return how many live hosts precede this one in its data centre's order."""
        return self._order_hosts(self._data_centre, now).index(self._name)

    def keeps_waits_short(self, now: float) -> bool:
        """Return whether this host, as a watcher, waits briefly at the store.

        A short wait shows soon that the store is unresponsive, but costs calls. It is
        enough in a few data centres: the others miss no change unless all watchers of
        the fleet are cut off, and then these report it to them.
        """
        names = sorted(self._find_live(now).orders)
        return self._data_centre in names[:SHORT_WAIT_DATA_CENTRES]

    def list_data_centres(self) -> list[str]:
        """Return the names of the other known data centres."""
        return sorted(
            {host.data_centre for host in self._hosts.values()} - {self._data_centre}
        )

    def measure_presence(self, now: float) -> float:
        """Return the part of its data centre for which this host may give permissions.

        All of it while it hears most of the hosts that were seen there lately; else
        others may do the same, and each has the part of the hosts that it hears.
        """
        known = [h for h in self._hosts.values() if h.data_centre == self._data_centre]
        live = self.count_data_centre(now)
        seen = 1 + sum(1 for host in known if host.last_seen_at)
        return 1.0 if 2 * live > seen else live / (1 + len(known))

    def list_live_data_centres(self, now: float) -> list[str]:
        """Return the names of the other data centres of which a host is live."""
        return sorted(self._find_live(now).orders.keys() - {self._data_centre})
