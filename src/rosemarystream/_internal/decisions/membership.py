"""Membership: a failure detector for entry hosts, based on heartbeats.

A host that stops responding is first suspected: it gets no new requests until a
heartbeat of it arrives. It is removed only much later; see docs/design/membership.md.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any, NamedTuple

from rosemarystream._internal.decisions.hashing import (
    hash_name_16,
    order_candidates,
)
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import (
    ConfigurationChanged,
    OwnersChanged,
    ResetConnection,
    SendMessage,
    ServingChanged,
)
from rosemarystream._internal.models.messages import Heartbeat
from rosemarystream._internal.models.server import EntryHost

MAX_HOSTS = 4096
# Shortest interval between heartbeats that are sent early because of a load change,
# and between checks of the host states, as a fraction of the heartbeat interval.
EARLY_FRACTION = 0.2
# Hosts of each other data centre that a change of configuration or recalls is
# announced to at once.
ANNOUNCEMENT_HOSTS = 2
# Interval of checks for load changes, as a fraction of the heartbeat interval.
CHECK_FRACTION = 0.1


class HostState(StrEnum):
    """State of a host in the failure detector."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    REMOVED = "removed"


class MembershipTimes(NamedTuple):
    """Intervals and timeouts of the failure detector, in seconds.

    Attributes
    ----------
    heartbeat : float
        Interval of heartbeats to hosts of the same data centre.
    suspect : float
        Time without a heartbeat after which a host is suspected and owns nothing.
    takeover : float
        Time between suspicion and takeover by the next host.
    remove : float
        Time between suspicion and removal of a host.
    """

    heartbeat: float
    suspect: float
    takeover: float
    remove: float


class PeerRecord:
    """Last heartbeat and state of one other host."""

    def __init__(self, *, heartbeat: Heartbeat, now: float, span: float) -> None:
        self.heartbeat = heartbeat
        self.state = HostState.ALIVE
        self.redial_deadline = now + 2 * span
        self.record_heartbeat(heartbeat, now, span)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float, span: float) -> None:
        """Record a newer heartbeat and extend the deadline for suspicion."""
        self.heartbeat = heartbeat
        self.suspect_deadline = now + max(span, heartbeat.valid_ms / 1000)

    @property
    def alive(self) -> bool:
        """Whether the host is not suspected, so that it may get new requests."""
        return self.state is HostState.ALIVE

    @property
    def host(self) -> EntryHost:
        """Identity of the host."""
        return self.heartbeat.host


class Membership(Service):
    """Maintains the list of entry hosts by sending and receiving heartbeats.

    Parameters
    ----------
    me : EntryHost
        This host.
    seeds : tuple of str
        Control addresses that get heartbeats until a host with that address is
        known.
    times : MembershipTimes
        Intervals and timeouts of the failure detector.
    budget : int
        Limit on heartbeats to other data centres, in bytes per second.
    complete_heartbeat : callable
        Returns a heartbeat with versions and loads filled in; its second
        argument is true for a heartbeat to other data centres.
    has_load_change : callable
        Returns whether a load has changed a lot since the last heartbeat to
        this data centre, or to others if its argument is true.
    """

    name = "membership"
    handles = (Heartbeat, ConfigurationChanged, ServingChanged)

    def __init__(
        self,
        *,
        me: EntryHost,
        seeds: tuple[str, ...],
        times: MembershipTimes,
        budget: int,
        complete_heartbeat: Callable[[Heartbeat, bool], Heartbeat],
        has_load_change: Callable[[bool], bool],
    ) -> None:
        self.me = me
        self.leaving = False
        self._complete_heartbeat = complete_heartbeat
        self._has_load_change = has_load_change
        self.times = times
        self._seeds = seeds
        self._budget = budget
        self._peers: dict[str, PeerRecord] = {}
        self._local: dict[str, PeerRecord] = {}
        self._sequence = 0
        self._local_due = 0.0
        self._remote_due = 0.0
        self._local_earliest = 0.0
        self._remote_earliest = 0.0
        self._checked_at = 0.0
        self._states_due = 0.0
        self._has_announcement = False
        self._live_hashes: tuple[int, ...] | None = None
        self._last_size = 0
        self.started_at: float | None = None

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Record a heartbeat, or make a change known to other hosts early."""
        if isinstance(event, Heartbeat):
            return self._record_heartbeat(event, now)
        if isinstance(event, ConfigurationChanged) or not event.server:
            self._has_announcement = True
            self._local_due = 0.0
        return ()

    def _record_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Any]:
        host = heartbeat.host
        if host.name == self.me.name:
            return []
        record = self._peers.get(host.name)
        if record is None:
            if len(self._peers) >= MAX_HOSTS:
                return []
            record = PeerRecord(heartbeat=heartbeat, now=now, span=self.times.suspect)
            self._peers[host.name] = record
            if host.data_centre == self.me.data_centre:
                self._local[host.name] = record
            return [self._change_owners(host.data_centre)]
        if _position(heartbeat) <= _position(record.heartbeat):
            return []
        changed = (
            not record.alive
            or record.heartbeat.leaving != heartbeat.leaving
            or record.host != host
        )
        record.record_heartbeat(heartbeat, now, self.times.suspect)
        record.state = HostState.ALIVE
        return [self._change_owners(host.data_centre)] if changed else []

    def _change_owners(self, data_centre: str) -> OwnersChanged:
        if data_centre == self.me.data_centre:
            # Send a heartbeat at once: the sooner peers receive the change, the
            # shorter two hosts disagree on the owner.
            self._local_due = 0.0
            self._live_hashes = None
        return OwnersChanged(data_centre=data_centre)

    def set_leaving(self) -> OwnersChanged:
        """Stop owning groups; heartbeats that say so are sent at once."""
        self.leaving = True
        self._remote_due = 0.0
        return self._change_owners(self.me.data_centre)

    def expire(self, now: float) -> Iterable[Any]:
        """Suspect or remove unresponsive hosts and send the heartbeats due."""
        if self.started_at is None:
            self.started_at = now
        actions: list[Any] = []
        self._checked_at = now
        if now >= self._states_due:
            self._states_due = now + self.times.heartbeat * EARLY_FRACTION
            actions.extend(map(self._change_owners, sorted(self._update_states(now))))
            actions.extend(self._redial_unresponsive(now))
        if self._has_announcement:
            self._has_announcement = False
            actions.extend(
                self._make_heartbeats(self._announcement_addresses(), remote=True)
            )
        if self._is_due(self._local_due, self._local_earliest, now, remote=False):
            self._local_due = now + self.times.heartbeat
            self._local_earliest = now + self.times.heartbeat * EARLY_FRACTION
            actions.extend(self._make_heartbeats(self._local_addresses(), remote=False))
        if self._is_due(self._remote_due, self._remote_earliest, now, remote=True):
            addresses = self._remote_addresses()
            send_seconds = self._send_seconds(len(addresses))
            self._remote_due = now + max(self.times.heartbeat, send_seconds)
            shortest = self.times.heartbeat * EARLY_FRACTION
            self._remote_earliest = now + max(shortest, send_seconds)
            actions.extend(self._make_heartbeats(addresses, remote=True))
        return actions

    def _is_due(self, due: float, earliest: float, now: float, *, remote: bool) -> bool:
        # Large load changes are reported early: other hosts compute their load
        # bounds from them, and must not use a load that has fallen for long.
        return now >= due or (now >= earliest and self._has_load_change(remote))

    def _redial_unresponsive(self, now: float) -> list[ResetConnection]:
        # An open connection can stop delivering while new ones would work: the
        # peer gets no heartbeats although sending raises no error.
        own_hash = hash_name_16(self.me.name)
        unresponsive = [
            record
            for record in self.list_local_peers()
            if now >= record.redial_deadline
            and not (record.alive and own_hash in record.heartbeat.received_from)
        ]
        for record in unresponsive:
            record.redial_deadline = now + self.times.suspect
        return [
            ResetConnection(address=record.host.peer_address) for record in unresponsive
        ]

    def _update_states(self, now: float) -> set[str]:
        """Update all host states; return the data centres with a change."""
        changed = set()
        for name, record in list(self._peers.items()):
            state = self._state_at(record, now)
            if state is record.state:
                continue
            changed.add(record.host.data_centre)
            record.state = state
            if state is HostState.REMOVED:
                del self._peers[name]
                self._local.pop(name, None)
        return changed

    def _state_at(self, record: PeerRecord, now: float) -> HostState:
        if now < record.suspect_deadline:
            return HostState.ALIVE
        if now < record.suspect_deadline + self.times.remove:
            return HostState.SUSPECT
        return HostState.REMOVED

    def _local_addresses(self) -> list[str]:
        known = {record.host.peer_address for record in self._peers.values()}
        unknown = [
            seed
            for seed in self._seeds
            if seed not in known and seed != self.me.peer_address
        ]
        return unknown + [
            record.host.peer_address for record in self.list_local_peers()
        ]

    def _remote_addresses(self) -> list[str]:
        return [
            record.host.peer_address
            for record in self._peers.values()
            if record.host.data_centre != self.me.data_centre
        ]

    def _announcement_addresses(self) -> list[str]:
        """Return addresses of a few hosts in each other data centre.

        They get a heartbeat at once after a change. In a large fleet heartbeats
        to other data centres are rare, and a recall must not wait for the next
        one when the platform is down.
        """
        centres: dict[str, list[str]] = {}
        for record in self._peers.values():
            if record.host.data_centre != self.me.data_centre:
                names = centres.setdefault(record.host.data_centre, [])
                names.append(record.host.name)
        chosen = [
            name
            for names in centres.values()
            for name in order_candidates(self.me.name, names)[:ANNOUNCEMENT_HOSTS]
        ]
        return [self._peers[name].host.peer_address for name in chosen]

    def _send_seconds(self, hosts: int) -> float:
        """Return how many seconds of the budget a heartbeat to `hosts` uses."""
        return hosts * self._last_size / max(1, self._budget)

    def _make_heartbeats(
        self, addresses: list[str], *, remote: bool
    ) -> list[SendMessage]:
        self._sequence += 1
        interval = self.times.heartbeat
        if remote:
            interval = max(interval, self._send_seconds(len(addresses)))
        span = interval * self.times.suspect / self.times.heartbeat
        heartbeat = Heartbeat(
            host=self.me,
            sequence=self._sequence,
            valid_ms=int(span * 1000),
            leaving=self.leaving,
            received_from=self.hash_live_hosts(),
            generation=0,
            recalls_digest=0,
            hosts_version=0,
            loads=(),
        )
        message = self._complete_heartbeat(heartbeat, remote)
        return [SendMessage(address=a, message=message) for a in addresses]

    def record_size(self, size: int) -> None:
        """Record the encoded size of a heartbeat, in bytes, for the budget."""
        self._last_size = size

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses."""
        self._seeds = seeds

    def hash_live_hosts(self) -> tuple[int, ...]:
        """Return sorted short hashes of the live hosts of this data centre.

        This host is included.
        """
        if self._live_hashes is None:
            names = [r.host.name for r in self.list_local_peers() if r.alive]
            hashes = [hash_name_16(name) for name in [*names, self.me.name]]
            self._live_hashes = tuple(sorted(hashes))
        return self._live_hashes

    def list_local_peers(self) -> list[PeerRecord]:
        """Return the records of the other hosts of this data centre."""
        return list(self._local.values())

    def is_delegate(self, duty: str, count: int) -> bool:
        """Return whether this host is one of `count` hosts chosen for a duty.

        More than `count` hosts may consider themselves chosen while their
        membership lists differ, so a duty has to tolerate that.
        """
        if self.leaving:
            return False
        names = [record.host.name for record in self.list_local_peers() if record.alive]
        key = f"{duty}:{self.me.data_centre}"
        return self.me.name in order_candidates(key, [*names, self.me.name])[:count]

    def next_deadline(self) -> float | None:
        """Time of the next heartbeat, or of the next check for load changes."""
        if self._has_announcement:
            return 0.0
        return min(
            self._local_due,
            self._remote_due,
            max(
                self._local_earliest,
                self._checked_at + self.times.heartbeat * CHECK_FRACTION,
            ),
        )

    def peers(self) -> list[PeerRecord]:
        """Return the records of all other hosts, suspected ones included."""
        return list(self._peers.values())

    def find_peer(self, name: str) -> PeerRecord | None:
        """Return the record of another host by name, or None."""
        return self._peers.get(name)

    def find_host(self, name: str) -> EntryHost | None:
        """Return a live or suspected host by name, or this host; None if unknown."""
        if name == self.me.name:
            return self.me
        record = self._peers.get(name)
        return None if record is None else record.host

    def is_alive(self, name: str) -> bool:
        """Return whether a host is known and not suspected."""
        if name == self.me.name:
            return True
        record = self._peers.get(name)
        return record is not None and record.alive

    def dump(self) -> dict[str, Any]:
        """Return the state of every known host."""
        return {
            "me": self.me.name,
            "leaving": self.leaving,
            "hosts": {
                name: {
                    "state": record.state,
                    "data_centre": record.host.data_centre,
                    "incarnation": record.host.incarnation,
                    "generation": record.heartbeat.generation,
                    "leaving": record.heartbeat.leaving,
                }
                for name, record in self._peers.items()
            },
        }


def _position(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.host.incarnation, heartbeat.sequence
