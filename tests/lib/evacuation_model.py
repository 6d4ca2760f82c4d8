"""A model of how hosts learn of evacuations: a store, and hosts that tell each other.

The store may come back from a copy; the operator writes again what it has lost. The
records and the watch are those of the product; nothing is sent.
"""

import itertools
import random
from math import inf

from rosemarystream._internal.decisions.evacuations import Evacuations
from rosemarystream._internal.decisions.store_era import DOUBT_S, StoreEra
from rosemarystream._internal.gateway.evacuation_watch import EvacuationWatch
from rosemarystream._internal.gateway.store_watches import _list_in_order
from rosemarystream._internal.models.position import START, Position
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
# Steps of runs in which the store comes back from a copy.
COPY_KINDS = (*KINDS, "copy", "load", "wait", "wait")
LENGTH = 20
NOW = 50.0
# Time until the operator has written again what was lost, and that of a step.
REWRITTEN_S = 2.0
WAIT_S = 0.5


class _Host:
    """A process of a host, which starts with nothing."""

    def __init__(self, clock):
        self.era = StoreEra()
        self.evacuations = Evacuations(era=self.era)
        self.watched_at = None
        # Position up to which it was told all by the store, also by way of other hosts.
        self.told_at = START
        # Changes of the operator with which evacuations that it knows began, and the
        # last ones of those that it has seen to end.
        self.begun, self.ended = {}, {}
        self.watch = EvacuationWatch(
            evacuations=self.evacuations,
            store=None,
            clock=clock,
            replica=None,
            is_watcher=lambda: True,
            on_change=lambda: None,
            supervisor=None,
        )

    def list_in_force(self):
        records = self.evacuations.list_records()
        return {r.data_centre: r.position for r in records if r.is_in_force}

    def find_forgotten(self, wanted, numbers):
        """Return a data centre of which the host no longer knows what it knew."""
        begun = {name: numbers[at] for name, at in self.list_in_force().items()}
        for name, number in self.begun.items():
            if name in begun:
                continue
            if wanted[name] == (number, True):
                return name
            self.ended[name] = number
        self.begun = begun
        for name, number in begun.items():
            if number <= self.ended.get(name, 0):
                return name
        return None


class EvacuationModel:
    """The store, the hosts, and the messages that have not arrived."""

    def __init__(self):
        self.now = NOW
        self.era = 1
        self.objects, self.history, self.revision = {}, [], 1
        self.compacted_at, self.is_lost = 0, False
        self.copy, self.rewritten_by = None, inf
        # Number of the operator's last change of a data centre, and what it wants.
        self.wanted = dict.fromkeys(DATA_CENTRES, (0, False))
        # Numbers of the changes that were written, by position.
        self.numbers = {}
        self.messages = []
        self._numbers = itertools.count()
        self.hosts = {name: _Host(self.read_clock) for name in HOSTS}
        for name in HOSTS:
            self.take_watch(name)

    def read_clock(self):
        return self.now

    def check(self, run):
        """Take steps; raise `AssertionError` if a host ends up wrong."""
        for kind, about in run:
            getattr(self, f"take_{kind}")(about)
            self._check_known()
            self._check_told()
        self.is_lost = False
        self._advance(REWRITTEN_S)
        self.take_watch(HOSTS[0])
        # A host may hear of the era only now, from one that has just started.
        self._tell_all()
        self._advance(DOUBT_S)
        self._tell_all()
        for name, host in self.hosts.items():
            assert host.evacuations.is_known, name
            assert host.list_in_force().keys() == self.objects.keys(), name

    def _tell_all(self):
        for name in [*HOSTS, *HOSTS, *HOSTS]:
            for _ in range(2):
                self.take_tell((name, HOSTS[0]))
            for _ in range(2):
                self.take_tell((HOSTS[0], name))

    def _check_known(self):
        for name, host in self.hosts.items():
            assert host.find_forgotten(self.wanted, self.numbers) is None, name

    def _check_told(self):
        """Check that hosts know what they were told, and say so only then."""
        for name, host in self.hosts.items():
            assert host.evacuations.is_known == bool(host.told_at.revision), name
            in_force = host.list_in_force()
            for data_centre, revision in self.objects.items():
                is_told = Position(self.era, revision) <= host.told_at
                if is_told and not host.era.is_in_doubt:
                    assert data_centre in in_force, name

    def take_change(self, name):
        """Write the object of a data centre if there is none, else remove it."""
        number, is_evacuated = self.wanted[name]
        self.wanted[name] = (number + 1, not is_evacuated)
        self._write_wanted(name)

    def _write_wanted(self, name):
        """Make the object of a data centre what the operator wants."""
        is_evacuated = self.wanted[name][1]
        if is_evacuated == (name in self.objects):
            return
        self.revision += 1
        if is_evacuated:
            self.objects[name] = self.revision
            number = self.wanted[name][0]
            self.numbers[Position(self.era, self.revision)] = number
        else:
            del self.objects[name]
        self.history.append((self.revision, name, not is_evacuated))

    def take_copy(self, _):
        state = {**self.objects}, [*self.history], self.revision, self.compacted_at
        self.copy = state

    def take_load(self, _):
        if self.copy is None:
            return
        objects, history, self.revision, self.compacted_at = self.copy
        self.objects, self.history = {**objects}, [*history]
        written = {at: x for at, x in self.numbers.items() if at.era == self.era}
        self.era += 1
        for at, number in written.items():
            if at.revision <= self.revision:
                self.numbers[at._replace(era=self.era)] = number
        self.rewritten_by = self.now + REWRITTEN_S

    def take_wait(self, _):
        self._advance(WAIT_S)

    def _advance(self, seconds):
        """Let time pass; by its end the operator has written again what was lost."""
        self.now += seconds
        if self.now >= self.rewritten_by:
            self.rewritten_by = inf
            for name in DATA_CENTRES:
                self._write_wanted(name)
        for host in self.hosts.values():
            host.evacuations.release(self.now)

    def take_compact(self, _):
        self.compacted_at = self.revision

    def take_lose(self, _):
        self.is_lost = True

    def take_regain(self, _):
        self.is_lost = False

    def take_restart(self, name):
        self.hosts[name] = _Host(self.read_clock)

    def take_watch(self, name):
        """Let a host read the store; one that lost it meanwhile lists again."""
        host = self.hosts[name]
        if self.is_lost:
            host.watched_at = None
            return
        position, before = Position(self.era, self.revision), host.watched_at
        if before is None or before < Position(self.era, self.compacted_at):
            objects = [self._make_object(n, at) for n, at in self.objects.items()]
            host.watch._accept_listing(objects, position)
        else:
            changes = [
                Change(self._make_object(n, at), is_removed)
                for at, n, is_removed in self.history
                if at > before.revision
            ]
            for change, at in _list_in_order(Changes(changes, self.revision, self.era)):
                host.watch._accept(change.object, change.deleted, at)
        host.watched_at = position
        host.told_at = max(host.told_at, position)

    def _make_object(self, name, revision):
        return StoredObject(name, revision, b"{}", era=self.era)

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
        rows = host.evacuations.list_rows(self.now + 10.0, is_whole=is_whole)
        return receiver, rows, host.told_at, host.era.rise

    def _deliver(self, receiver, rows, told_at, rise):
        if rows is not None:
            host = self.hosts[receiver]
            host.era.accept_report(told_at, rise, self.now)
            host.evacuations.accept_rows(rows, source="h", now=self.now)
            host.told_at = max(host.told_at, told_at)


def draw_step(rng, kinds):
    kind = rng.choice(kinds)
    if kind == "change":
        return kind, rng.choice(DATA_CENTRES)
    if kind in ("watch", "restart"):
        return kind, rng.choice(HOSTS)
    if kind in ("tell", "send"):
        return kind, tuple(rng.sample(HOSTS, 2))
    if kind == "deliver":
        return kind, rng.randrange(6)
    if kind in ("copy", "load", "wait"):
        return kind, None
    return rng.choice(("lose", "regain", "compact")), None


def search_drawn(*, runs, seed, kinds=KINDS):
    """Return a run that leaves a host wrong, of some that are drawn, or None."""
    rng = random.Random(seed)
    for _ in range(runs):
        run = [draw_step(rng, kinds) for _ in range(LENGTH)]
        try:
            EvacuationModel().check(run)
        except AssertionError:
            return run
    return None
