"""Ownership of server groups: which host admits requests to a group.

A host's share is the fraction of the group's load bound that it may use. It keeps
the hosts that consider themselves owners within one bound together.
"""

from collections.abc import Iterable
from typing import Any

from rosemarystream._internal.decisions.hashing import (
    hash_name_16,
    order_candidates,
)
from rosemarystream._internal.decisions.membership import Membership, PeerRecord
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import OwnersChanged

FULL_SHARE = 1.0


def share_at_position(position: int) -> float:
    """Return the share of a host that replaces all candidates before it.

    The shares of all positions from 1 on add up to less than 1.
    """
    return 1 / 2**position


class Ownership(Service):
    """Determines the owner of each group from this host's membership list.

    The lists of hosts can differ for seconds, so two hosts can consider
    themselves the owner of a group. `share` keeps the requests that they admit
    together within one bound; docs/design/ownership.md explains why.
    """

    name = "ownership"
    handles = (OwnersChanged,)

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._orders: dict[tuple[str, str], list[str]] = {}

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Discard the cached candidate orders of a data centre that has changed."""
        self._orders = {
            key: order
            for key, order in self._orders.items()
            if key[1] != event.data_centre
        }
        return ()

    def order(self, group: str, data_centre: str) -> list[str]:
        """Return the candidates for owner of a group, in rendezvous order.

        Includes suspected hosts, but not leaving ones.
        """
        key = group, data_centre
        if key not in self._orders:
            self._orders[key] = order_candidates(group, self._candidates(data_centre))
        return self._orders[key]

    def _candidates(self, data_centre: str) -> list[str]:
        membership = self._membership
        names = [
            record.host.name
            for record in membership.peers()
            if record.host.data_centre == data_centre and not record.heartbeat.leaving
        ]
        if membership.me.data_centre == data_centre and not membership.leaving:
            names.append(membership.me.name)
        return names

    def order_live_hosts(self, group: str, data_centre: str) -> list[str]:
        """Return the live candidates of a group in order, the owner first."""
        order = self.order(group, data_centre)
        return [name for name in order if self._membership.is_alive(name)]

    def owner(self, group: str, data_centre: str) -> str | None:
        """Return the owner of a group: its first live candidate, or None."""
        return next(iter(self.order_live_hosts(group, data_centre)), None)

    def share(self, group: str, now: float) -> float:
        """Return the fraction of a local group's load bound that this host may use.

        Returns
        -------
        share : float
            0 if this host must not admit requests, 1 if no other host can
            consider itself the owner. The first candidate gives up the shares of
            those that may, and a host that replaces it has `share_at_position`.
        """
        me = self._membership.me
        names = self.order(group, me.data_centre)
        if me.name not in names or not self.has_converged(now):
            return 0.0
        position = names.index(me.name)
        before = names[:position]
        if any(self._membership.is_alive(name) for name in before):
            return 0.0
        if position and now < self._takeover_deadline(before):
            return 0.0
        return self._compute_share(position, names)

    def _compute_share(self, position: int, names: list[str]) -> float:
        if self._is_unseen(names):
            return 0.0
        if position:
            return share_at_position(position)
        return FULL_SHARE - sum(
            share_at_position(other)
            for other, name in enumerate(names)
            if other and self._may_claim_group(name)
        )

    def has_converged(self, now: float) -> bool:
        """Return whether this host knows all hosts that its live peers know."""
        # A new host does not know the owners yet. It has to exchange heartbeats
        # with its peers and to know every host that they know, or wait until the
        # peers would have removed the hosts that it misses.
        membership = self._membership
        if membership.started_at is None:
            return False
        peers = [record for record in membership.list_local_peers() if record.alive]
        known = set(membership.hash_live_hosts())
        if any(
            set(peer.heartbeat.received_from) - known - self._suspects()
            for peer in peers
        ):
            return now >= self._convergence_deadline() + membership.times.remove
        return bool(peers) or now >= self._convergence_deadline()

    def _convergence_deadline(self) -> float:
        times = self._membership.times
        started_at = self._membership.started_at or 0.0
        return started_at + times.suspect + times.takeover

    def _suspects(self) -> set[int]:
        return {
            hash_name_16(record.host.name)
            for record in self._membership.list_local_peers()
            if not record.alive
        }

    def _takeover_deadline(self, names: list[str]) -> float:
        records = [self._find_peer(name) for name in names]
        deadlines = [record.suspect_deadline for record in records if record]
        return max(deadlines, default=0.0) + self._membership.times.takeover

    def _find_peer(self, name: str) -> PeerRecord | None:
        return self._membership.find_peer(name)

    def _is_unseen(self, names: list[str]) -> bool:
        # A candidate that gets no heartbeats from this host may admit requests
        # in its place.
        own_hash = hash_name_16(self._membership.me.name)
        return any(
            record is not None and own_hash not in record.heartbeat.received_from
            for record in map(self._find_peer, names)
        )

    def _may_claim_group(self, name: str) -> bool:
        # A host whose list differs may consider the candidates before it dead.
        record = self._find_peer(name)
        if record is None:
            return False
        received_from = record.heartbeat.received_from
        return not record.alive or received_from != self._membership.hash_live_hosts()

    def dump(self) -> dict[str, Any]:
        """Return the cached candidate orders."""
        return {
            f"{group}@{data_centre}": names
            for (group, data_centre), names in self._orders.items()
        }
