"""Which hosts are alive, and which of a data centre collect and spread news.

Answers the pattern of hosts replaced at any time in a fleet too large for all
to tell all: in each data centre two collectors, the first in the rendezvous
order of its live hosts, take the others' reports and pass them on, and the
first of them watches the store. Hosts may disagree for a moment; then there are
more collectors.
"""

from collections.abc import Collection
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import order_candidates

COLLECTORS = 2
# Silence after which a host is taken for dead.
DEAD_AFTER_S = 1.2
# Hosts that have never been heard are tried this long after they were named.
TRIAL_S = 3.0
FORGET_AFTER_S = 120.0
# Collectors of a data centre that watch the store while others also do.
WATCHERS = 1
# Collectors that watch it in a fleet of a single data centre.
LONE_WATCHERS = 2
# Hosts after the collectors that watch it while those can't reach the store.
RESERVE_WATCHERS = 1


class Neighbour(NamedTuple):
    """A host of the fleet.

    Attributes
    ----------
    heard_at : float
        When it last gave a sign of life, by the own clock; 0 if never.
    named_at : float
        When it was last named by somebody else.
    """

    name: str
    data_centre: str
    ip: str
    heard_at: float
    named_at: float


class Turnover(NamedTuple):
    """Hosts that are heard now and were not before, and the reverse."""

    found: list[Neighbour]
    lost: list[Neighbour]


class Neighbours:
    """The hosts known to one host."""

    def __init__(self, *, name: str, data_centre: str) -> None:
        self._name = name
        self._data_centre = data_centre
        self._hosts: dict[str, Neighbour] = {}
        self._heard: dict[str, Neighbour] = {}

    def name_host(self, name: str, data_centre: str, ip: str, now: float) -> None:
        """Note a host that somebody else has named."""
        known = self._hosts.get(name)
        if name == self._name:
            return
        heard_at = known.heard_at if known and known.ip == ip else 0.0
        named_at = known.named_at if known and known.ip == ip else now
        self._hosts[name] = Neighbour(name, data_centre, ip, heard_at, named_at)

    def hear_host(self, name: str, data_centre: str, ip: str, heard_at: float) -> None:
        """Note a sign of life of a host."""
        known = self._hosts.get(name)
        if name == self._name or (
            known and known.ip == ip and known.heard_at >= heard_at
        ):
            return
        named_at = known.named_at if known else heard_at
        self._hosts[name] = Neighbour(name, data_centre, ip, heard_at, named_at)

    def forget_old(self, now: float) -> None:
        """Drop hosts of which nothing was heard for long."""
        for host in [*self._hosts.values()]:
            if now - max(host.heard_at, host.named_at) > FORGET_AFTER_S:
                del self._hosts[host.name]

    def find(self, name: str) -> Neighbour | None:
        """Return a host by its name."""
        return self._hosts.get(name)

    def list_known(self) -> list[Neighbour]:
        """Return all known hosts."""
        return [*self._hosts.values()]

    def list_live(self, now: float) -> list[Neighbour]:
        """Return hosts that are alive, or new and not yet heard."""
        return [host for host in self._hosts.values() if _is_live(host, now)]

    def take_changes(self, now: float) -> Turnover:
        """Return the hosts that were found or lost since the last call."""
        heard = {host.name: host for host in self.list_live(now) if host.heard_at}
        before, self._heard = self._heard, heard
        return Turnover(
            found=[host for name, host in heard.items() if name not in before],
            lost=[host for name, host in before.items() if name not in heard],
        )

    def count_live(self, now: float) -> int:
        """Return the number of live hosts, this one included."""
        return 1 + len(self.list_live(now))

    def _order_hosts(self, data_centre: str, now: float) -> list[str]:
        """Return a data centre's live hosts in the order of their duties."""
        names = [
            host.name for host in self.list_live(now) if host.data_centre == data_centre
        ]
        if data_centre == self._data_centre:
            names.append(self._name)
        return order_candidates(data_centre, names)

    def list_collectors(self, data_centre: str, now: float) -> list[str]:
        """Return the names of a data centre's collectors."""
        return self._order_hosts(data_centre, now)[:COLLECTORS]

    def is_collector(self, now: float) -> bool:
        """Whether this host collects for its data centre."""
        return self._name in self.list_collectors(self._data_centre, now)

    def is_watcher(self, now: float, *, lost: Collection[str]) -> bool:
        """Whether this host watches the store.

        Parameters
        ----------
        lost : collection of str
            Hosts that have said that they can't reach the store; the next in
            order stands in for them while they go on trying.
        """
        order = self._order_hosts(self._data_centre, now)
        before = order[: order.index(self._name)]
        if len(before) >= COLLECTORS + RESERVE_WATCHERS:
            return False
        alone = all(
            host.data_centre == self._data_centre for host in self.list_live(now)
        )
        watching = [name for name in before if name not in lost]
        return len(watching) < (LONE_WATCHERS if alone else WATCHERS)

    def list_data_centres(self) -> list[str]:
        """Return the other data centres that are known."""
        return sorted(
            {host.data_centre for host in self._hosts.values()} - {self._data_centre}
        )


def _is_live(host: Neighbour, now: float) -> bool:
    if host.heard_at:
        return now - host.heard_at <= DEAD_AFTER_S
    return now - host.named_at <= TRIAL_S
