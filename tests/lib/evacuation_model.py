"""A model of how hosts learn of evacuations: a store, and hosts that tell each other.

The records and the watch are those of the product; nothing is sent.
"""

import itertools
import random

from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.gateway.evacuation_watch import EvacuationWatch
from rosemarystream._internal.gateway.store_watches import _list_in_order
from rosemarystream._internal.platform.store_answers import (
    Change,
    Changes,
    StoredObject,
)

HOSTS = ("h1", "h2", "h3")
DATA_CENTRES = ("a", "b", "c")
# Steps of a run; those that are named twice are drawn more often.
KINDS = ("change", "change", "watch", "watch", "tell", "tell", "send", "deliver") + (
    "deliver",
    "restart",
    "store",
)
LENGTH = 20
NOW = 50.0


class _Host:
    """A process of a host, which starts with nothing."""

    def __init__(self):
        self.evacuations = Evacuations()
        self.watched_at = None
        # Revision up to which it was told all by the store, also by way of other hosts.
        self.told_at = 0
        # Revisions at which data centres were seen not to be evacuated any more.
        self.ended = {}
        self.watch = EvacuationWatch(
            evacuations=self.evacuations,
            store=None,
            clock=lambda: NOW,
            replica=None,
            is_watcher=lambda: True,
            on_change=lambda: None,
            supervisor=None,
        )

    def list_in_force(self):
        records = self.evacuations.list_records()
        return {r.data_centre: r.revision for r in records if r.is_in_force}


class EvacuationModel:
    """The store, the hosts, and the messages that have not arrived."""

    def __init__(self):
        self.objects, self.history, self.revision = {}, [], 1
        self.compacted_at, self.is_lost = 0, False
        self.messages = []
        self._numbers = itertools.count()
        self.hosts = {name: _Host() for name in HOSTS}
        for name in HOSTS:
            self.take_watch(name)

    def check(self, run):
        """Take steps; raise `AssertionError` if a host ends up wrong."""
        for kind, about in run:
            before = {h: h.list_in_force() for h in self.hosts.values()}
            getattr(self, f"take_{kind}")(about)
            self._check_restored(before)
            self._check_told()
        self.is_lost = False
        self.take_watch(HOSTS[0])
        for name in [*HOSTS, *HOSTS, *HOSTS]:
            for _ in range(2):
                self.take_tell((name, HOSTS[0]))
            for _ in range(2):
                self.take_tell((HOSTS[0], name))
        for name, host in self.hosts.items():
            assert host.evacuations.is_known, name
            assert host.list_in_force() == self.objects, name

    def _check_restored(self, before):
        for name, host in self.hosts.items():
            in_force = host.list_in_force()
            for data_centre, revision in before.get(host, {}).items():
                if data_centre not in in_force:
                    host.ended[data_centre] = revision
            for data_centre, revision in in_force.items():
                assert revision > host.ended.get(data_centre, 0), name

    def _check_told(self):
        """Check that hosts know what they were told, and say so only then."""
        for name, host in self.hosts.items():
            assert host.evacuations.is_known == bool(host.told_at), name
            in_force = host.list_in_force()
            for data_centre, revision in self.objects.items():
                is_told = revision <= host.told_at
                assert not is_told or in_force.get(data_centre) == revision, name

    def take_change(self, name):
        """Write the object of a data centre if there is none, else remove it."""
        self.revision += 1
        is_removed = self.objects.pop(name, None) is not None
        if not is_removed:
            self.objects[name] = self.revision
        self.history.append((self.revision, name, is_removed))

    def take_compact(self, _):
        self.compacted_at = self.revision

    def take_lose(self, _):
        self.is_lost = True

    def take_regain(self, _):
        self.is_lost = False

    def take_restart(self, name):
        self.hosts[name] = _Host()

    def take_watch(self, name):
        """Let a host read the store; one that lost it meanwhile lists again."""
        host = self.hosts[name]
        if self.is_lost:
            host.watched_at = None
            return
        if host.watched_at is None or host.watched_at < self.compacted_at:
            objects = [StoredObject(n, at, b"{}") for n, at in self.objects.items()]
            host.watch._accept_listing(objects, self.revision)
        else:
            changes = [
                Change(StoredObject(n, at, b"{}"), is_removed)
                for at, n, is_removed in self.history
                if at > host.watched_at
            ]
            for change, at in _list_in_order(Changes(changes, self.revision)):
                host.watch._accept(change.object, change.deleted, at)
        host.watched_at = host.told_at = self.revision

    def take_tell(self, pair):
        """Let the first host tell the second one, by a message or a pull."""
        self._deliver(*self._make_message(*pair))

    def take_send(self, pair):
        """Let the first host send a message that arrives later, or never."""
        self.messages.append(self._make_message(*pair))

    def take_deliver(self, number):
        """Let a message arrive that was sent before, maybe once more."""
        if self.messages:
            self._deliver(*self.messages[number % len(self.messages)])

    def _make_message(self, sender, receiver):
        host = self.hosts[sender]
        is_whole = next(self._numbers) % 2 == 0
        # Records that ended long ago are part of some messages only.
        rows = host.evacuations.list_rows(NOW + 10.0, is_whole=is_whole)
        return receiver, rows, host.told_at

    def _deliver(self, receiver, rows, told_at):
        if rows is not None:
            host = self.hosts[receiver]
            host.evacuations.accept_rows(rows, source="h", now=NOW)
            host.told_at = max(host.told_at, told_at)


def draw_step(rng):
    kind = rng.choice(KINDS)
    if kind == "change":
        return kind, rng.choice(DATA_CENTRES)
    if kind in ("watch", "restart"):
        return kind, rng.choice(HOSTS)
    if kind in ("tell", "send"):
        return kind, tuple(rng.sample(HOSTS, 2))
    if kind == "deliver":
        return kind, rng.randrange(6)
    return rng.choice(("lose", "regain", "compact")), None


def search_drawn(*, runs, seed):
    """Return a run that leaves a host wrong, of some that are drawn, or None."""
    rng = random.Random(seed)
    for _ in range(runs):
        run = [draw_step(rng) for _ in range(LENGTH)]
        try:
            EvacuationModel().check(run)
        except AssertionError:
            return run
    return None
