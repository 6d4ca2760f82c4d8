"""Which host owns a server group, and what part of its bounds it may use."""

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
    """Return the share of a host that stands in for those before it.

    The shares of all places from 1 on add up to less than 1.
    """
    return 1 / 2**position


class Ownership(Service):
    """Answers who owns a group, from the membership of this process.

    Lists of hosts differ for seconds, so two hosts can believe that they own
    a group. `share` keeps what they admit together within one bound; the
    design note docs/design/ownership.md has the argument.
    """

    name = "ownership"
    handles = (OwnersChanged,)

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership
        self._orders: dict[tuple[str, str], list[str]] = {}

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Forget the computed orders when hosts come or go."""
        self._orders = {
            key: order
            for key, order in self._orders.items()
            if key[1] != event.data_centre
        }
        return ()

    def order(self, group: str, data_centre: str) -> list[str]:
        """Return the hosts that may own a group, the first choice first.

        Suspected hosts are in the list, leaving ones are not.
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
        """Return the live candidates of a group, the owner first."""
        order = self.order(group, data_centre)
        return [name for name in order if self._membership.is_alive(name)]

    def owner(self, group: str, data_centre: str) -> str | None:
        """Return the first live candidate of a group, or None."""
        return next(iter(self.order_live_hosts(group, data_centre)), None)

    def share(self, group: str, now: float) -> float:
        """Return the part of a local group's bounds that this host may use.

        Returns
        -------
        share : float
            0 when the host must not admit, 1 when no other host can believe
            itself the owner, `share_at_position` otherwise.
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
        """Tell whether this host knows the hosts that its peers know."""
        # A new host does not know yet who serves; it must have been heard and
        # must have heard every host that its peers hear.
        membership = self._membership
        if membership.started_at is None:
            return False
        peers = [record for record in membership.local_peers() if record.alive]
        known = set(membership.heard())
        if any(set(peer.heartbeat.heard) - known - self._suspects() for peer in peers):
            return now >= self._convergence_deadline() + membership.times.remove
        return bool(peers) or now >= self._convergence_deadline()

    def _convergence_deadline(self) -> float:
        times = self._membership.times
        started_at = self._membership.started_at or 0.0
        return started_at + times.suspect + times.takeover

    def _suspects(self) -> set[int]:
        return {
            hash_name_16(record.host.name)
            for record in self._membership.local_peers()
            if not record.alive
        }

    def _takeover_deadline(self, names: list[str]) -> float:
        records = [self._find_peer(name) for name in names]
        deadlines = [record.suspect_deadline for record in records if record]
        return max(deadlines, default=0.0) + self._membership.times.takeover

    def _find_peer(self, name: str) -> PeerRecord | None:
        return self._membership.find_peer(name)

    def _is_unseen(self, names: list[str]) -> bool:
        # A host that does not hear this one may serve in its place.
        mine = hash_name_16(self._membership.me.name)
        return any(
            record is not None and mine not in record.heartbeat.heard
            for record in map(self._find_peer, names)
        )

    def _may_claim_group(self, name: str) -> bool:
        # A host with another list may believe that those before it are gone.
        record = self._find_peer(name)
        if record is None:
            return False
        return not record.alive or record.heartbeat.heard != self._membership.heard()

    def dump(self) -> dict[str, Any]:
        """Return the computed orders."""
        return {
            f"{group}@{data_centre}": names
            for (group, data_centre), names in self._orders.items()
        }
