"""A model of how hosts learn of servers: a store, and hosts that pull from each other.

The store may come back from a copy; what servers wrote is written again then. The
replicas are those of the product; nothing is sent. A run is a list of steps, so
that a counterexample can be printed, shortened and kept.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.replica import Delta, Replica
from rosemarystream._internal.decisions.store_era import DOUBT_S
from rosemarystream._internal.gateway.store_watches import _list_in_order
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.models.position import START, Position
from rosemarystream._internal.platform.store_answers import (
    Change,
    Changes,
    StoredObject,
)

SERVERS = ("s1", "s2")
# Time after which servers have written again what a store has lost, and that of a step.
REWRITTEN_S = 2.0
WAIT_S = 0.5
# Some of the steps name a second host: the one that is asked.
PULLS = ("pull", "ask", "greet")


class Step(NamedTuple):
    """A step of a run.

    Attributes
    ----------
    kind : str
        ``write``, ``remove`` and ``compact`` for the store, ``lapse`` for an entry of a
        server that lives, ``copy`` and ``load`` for copies of the store, ``wait`` for
        time that passes; ``watch``, ``restart`` and ``pull`` for a host, ``greet`` for
        its first pull, ``ask`` for a pull and ``list`` for a list of the store whose
        answer waits, ``deliver`` and ``repeat`` for the oldest and the newest answer
        that waits.
    about : str
        Name of the server or of the host.
    source : str
        Name of the host that is asked.
    """

    kind: str
    about: str = ""
    source: str = ""

    def __str__(self) -> str:
        return " ".join(part for part in self if part)


class _Answer(NamedTuple):
    """An answer that has not arrived yet, and to which process it goes.

    Attributes
    ----------
    delta : Delta or None
        The answer of another host; None if it is the store's.
    """

    host: str
    process: int
    delta: Delta | None
    listed: Sequence[Endpoint] = ()
    position: Position = START


class _Entry(NamedTuple):
    """An entry in the store, by revision, and the number its server gave it."""

    revision: int
    sequence: int


class _Copy(NamedTuple):
    """What the store has when a copy is taken."""

    revision: int
    entries: dict[str, _Entry]
    history: list[tuple[_Entry, str, bool]]
    compacted_at: int


class _Host:
    """A host; each of its processes starts with nothing."""

    def __init__(self) -> None:
        self.process = 0
        self.start()

    def start(self) -> None:
        self.process += 1
        self.replica = Replica()
        self.watched_at: Position | None = None
        # The last era that the store has stated to this host.
        self.answered_era = 0
        self.gone: dict[str, int] = {}
        self._listed: dict[str, int] = {}

    def list_servers(self) -> dict[str, int]:
        return {entry.name: entry.sequence for entry in self.replica.list_endpoints()}

    def find_wrong(
        self, present: Mapping[str, int], stored: Mapping[str, int]
    ) -> str | None:
        """Return a server that is back, or was changed back, through no entry of it.

        Or one that is no longer listed though it has been present all the while.
        """
        listed, before = self.list_servers(), self._listed
        self._listed = listed
        for name, sequence in before.items():
            if name not in listed:
                self.gone[name] = sequence
                if present.get(name) == sequence:
                    return name
            elif listed[name] < sequence:
                return name
        # Without doubt, what the store has kept counts.
        kept = {} if self.replica.era.is_in_doubt else stored
        for name, sequence in listed.items():
            if sequence <= self.gone.get(name, 0) and kept.get(name) != sequence:
                return name
        return None


class SpreadModel:
    """The store, the hosts, and the answers that have not arrived."""

    def __init__(self, hosts: Sequence[str]) -> None:
        self.now = 1.0
        self.era = 1
        self.revision = 0
        self.entries: dict[str, _Entry] = {}
        # The last number of each server, and whether it is registered.
        self._sequences = dict.fromkeys(SERVERS, 0)
        self._registered: set[str] = set()
        # Numbers of the servers whose entries have not lapsed since they wrote them.
        self._present: dict[str, int] = {}
        self._history: list[tuple[_Entry, str, bool]] = []
        self._compacted_at = 0
        self._copy: _Copy | None = None
        self._rewritten_by = inf
        self._waiting: list[_Answer] = []
        self.hosts = {name: _Host() for name in hosts}
        for name in SERVERS:
            self._register(name)
        for host in self.hosts.values():
            self._watch(host)

    def take(self, step: Step) -> None:
        """Take a step; one that doesn't apply changes nothing."""
        getattr(self, f"_take_{step.kind}")(step)

    def _take_write(self, step: Step) -> None:
        self._register(step.about)

    def _take_remove(self, step: Step) -> None:
        self._registered.discard(step.about)
        self._present.pop(step.about, None)
        self._remove(step.about)

    def _take_lapse(self, step: Step) -> None:
        self._present.pop(step.about, None)
        self._remove(step.about)

    def _take_compact(self, _: Step) -> None:
        self._compacted_at = self.revision

    def _take_copy(self, _: Step) -> None:
        self._copy = _Copy(
            self.revision, {**self.entries}, [*self._history], self._compacted_at
        )

    def _take_load(self, _: Step) -> None:
        if self._copy is None:
            return
        self.revision, entries, history, self._compacted_at = self._copy
        self.entries, self._history = {**entries}, [*history]
        self.era += 1
        self._rewritten_by = self.now + REWRITTEN_S

    def _take_wait(self, _: Step) -> None:
        self._advance(WAIT_S)

    def _advance(self, seconds: float) -> None:
        """Let time pass; by its end servers have written again what was lost."""
        self.now += seconds
        if self.now >= self._rewritten_by:
            self._rewritten_by = inf
            for name, sequence in self._sequences.items():
                entry = self.entries.get(name)
                if name not in self._registered:
                    self._remove(name)
                elif entry is None:
                    self._register(name)
                elif entry.sequence < sequence:
                    self._write(name)
        for host in self.hosts.values():
            host.replica.expire(self.now)
            host.replica.release(self.now)

    def _take_watch(self, step: Step) -> None:
        self._watch(self.hosts[step.about])

    def _take_restart(self, step: Step) -> None:
        self.hosts[step.about].start()

    def _take_pull(self, step: Step) -> None:
        self._take_ask(step, waits=False)

    def _take_ask(self, step: Step, *, waits: bool = True) -> None:
        host, source = self.hosts[step.about], self.hosts[step.source]
        # A message tells of the era before the pull.
        era, position = source.replica.era, source.replica.position
        host.replica.era.accept_report(position, era.rise, self.now)
        if position <= host.replica.position:
            return
        delta = source.replica.select_delta(host.replica.position)
        if waits:
            self._waiting.append(_Answer(step.about, host.process, delta))
        else:
            host.replica.accept_delta(delta, self.now)

    def _take_greet(self, step: Step) -> None:
        host, source = self.hosts[step.about], self.hosts[step.source]
        if source.replica.era.is_in_doubt:
            host.replica.accept_delta(source.replica.select_delta(START), self.now)

    def _take_deliver(self, _: Step) -> None:
        if self._waiting:
            self._deliver(self._waiting.pop(0))

    def _take_repeat(self, _: Step) -> None:
        if self._waiting and self._waiting[-1].delta is not None:
            self._deliver(self._waiting[-1])

    def _take_list(self, step: Step) -> None:
        host, position = self.hosts[step.about], Position(self.era, self.revision)
        # The host watches no more: it has listed in place of another.
        host.watched_at = None
        answer = _Answer(step.about, host.process, None, self._list_entries(), position)
        self._waiting.append(answer)

    def _deliver(self, answer: _Answer) -> None:
        host = self.hosts[answer.host]
        if host.process != answer.process:
            return
        if answer.delta is not None:
            host.replica.accept_delta(answer.delta, self.now)
        elif answer.position.era >= host.answered_era:
            host.answered_era = answer.position.era
            host.replica.accept_listing(answer.listed, answer.position, self.now)

    def _register(self, name: str) -> None:
        self._sequences[name] += 1
        self._registered.add(name)
        self._present[name] = self._sequences[name]
        self._write(name)

    def _write(self, name: str) -> None:
        self.revision += 1
        self.entries[name] = _Entry(self.revision, self._sequences[name])
        self._history.append((self.entries[name], name, False))

    def _remove(self, name: str) -> None:
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.revision += 1
            removed = entry._replace(revision=self.revision)
            self._history.append((removed, name, True))

    def _watch(self, host: _Host) -> None:
        """Let a host read the store, as its watch of the servers does."""
        position, before = Position(self.era, self.revision), host.watched_at
        if before is None or before < Position(self.era, self._compacted_at):
            host.replica.accept_listing(self._list_entries(), position, self.now)
        else:
            changes = [
                Change(StoredObject(name, x.revision, b"%d" % x.sequence), is_removed)
                for x, name, is_removed in self._history
                if x.revision > before.revision
            ]
            answer = Changes(changes, self.revision, self.era)
            for change, at in _list_in_order(answer):
                if change.deleted:
                    host.replica.accept_removal(change.object.name, at)
                else:
                    changed = change.object
                    entry = _Entry(changed.revision, int(changed.spec))
                    host.replica.accept_change(self._make_entry(changed.name, entry))
            host.replica.advance(position)
        host.watched_at, host.answered_era = position, self.era

    def _list_entries(self) -> list[Endpoint]:
        return [self._make_entry(name, x) for name, x in self.entries.items()]

    def _make_entry(self, name: str, entry: _Entry) -> Endpoint:
        state = ServerState.READY
        return Endpoint(
            *(name, "pool", "10.0.0.1:80", "a", 64, state, 1, entry.revision),
            era=self.era,
            sequence=entry.sequence,
        )

    def settle(self) -> None:
        """Let the last answers arrive, one host read the store, and all others pull."""
        while self._waiting:
            self._take_deliver(Step("deliver"))
        self._advance(REWRITTEN_S)
        first, *others = self.hosts
        self._watch(self.hosts[first])
        for source, host in itertools.pairwise((first, *others)):
            self._take_pull(Step("pull", host, source))
        self._advance(DOUBT_S)

    def find_fault(self) -> str | None:
        """Return what is wrong with what hosts list, or None."""
        for name, host in self.hosts.items():
            wrong = host.find_wrong(self._present, self._list_stored())
            if wrong is not None:
                return f"{name} has {wrong} as it was before, or lost it"
        return None

    def _list_stored(self) -> dict[str, int]:
        return {name: entry.sequence for name, entry in self.entries.items()}

    def find_difference(self) -> str | None:
        """Return how a host differs from the store, or None."""
        entries = self._list_stored()
        for name, host in self.hosts.items():
            if host.list_servers() != entries:
                return f"{name} lists {host.list_servers()}, not {entries}"
        return None


def run_steps(hosts: Sequence[str], steps: Sequence[Step]) -> str | None:
    """Run a list of steps and return what went wrong, or None."""
    model = SpreadModel(hosts)
    for step in steps:
        model.take(step)
        fault = model.find_fault()
        if fault is not None:
            return fault
    model.settle()
    return model.find_fault() or model.find_difference()


def list_steps(hosts: Sequence[str], kinds: Sequence[str]) -> list[Step]:
    """Return all steps of some kinds."""
    about: dict[str, Callable[[], Iterator[Step]]] = {
        "write": lambda: (Step("write", name) for name in SERVERS[:1]),
        "remove": lambda: (Step("remove", name) for name in SERVERS[:1]),
        "lapse": lambda: (Step("lapse", name) for name in SERVERS[:1]),
        "watch": lambda: (Step("watch", name) for name in hosts),
        "list": lambda: (Step("list", name) for name in hosts),
        "restart": lambda: (Step("restart", name) for name in hosts),
    }
    steps: list[Step] = []
    for kind in kinds:
        if kind in PULLS:
            pairs = itertools.permutations(hosts, 2)
            steps += [Step(kind, host, source) for host, source in pairs]
        else:
            steps += about.get(kind, lambda kind=kind: iter([Step(kind)]))()
    return steps


def search_all(
    hosts: Sequence[str], kinds: Sequence[str], depth: int
) -> list[Step] | None:
    """Return the shortest run that fails, of all up to a number of steps, or None."""
    steps = list_steps(hosts, kinds)
    for length in range(1, depth + 1):
        for run in itertools.product(steps, repeat=length):
            if run_steps(hosts, run) is not None:
                return [*run]
    return None


def search_drawn(
    hosts: Sequence[str], kinds: Sequence[str], *, runs: int, length: int, seed: int
) -> list[Step] | None:
    """Return a run that fails, shortened, of some that are drawn, or None."""
    rng = random.Random(seed)
    # Each kind is as likely as any other, however many hosts it may be about.
    groups = [list_steps(hosts, [kind]) for kind in kinds]
    for _ in range(runs):
        run = [rng.choice(rng.choice(groups)) for _ in range(length)]
        if run_steps(hosts, run) is not None:
            return _shorten(hosts, run)
    return None


def _shorten(hosts: Sequence[str], run: list[Step]) -> list[Step]:
    """Leave out steps, one at a time, as long as the run still fails."""
    place = 0
    while place < len(run):
        shorter = run[:place] + run[place + 1 :]
        if run_steps(hosts, shorter) is None:
            place += 1
        else:
            run = shorter
    return run
