"""A model of how hosts learn of servers: a store, and hosts that pull from each other.

The replicas are those of the product; nothing is sent. A run is a list of steps, so
that a counterexample can be printed, shortened and kept.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from rosemarystream._internal.decisions.replica import Delta, Replica
from rosemarystream._internal.gateway.store_watches import _list_in_order
from rosemarystream._internal.models.endpoint import Endpoint, ServerState
from rosemarystream._internal.platform.store_answers import (
    Change,
    Changes,
    StoredObject,
)

SERVERS = ("s1", "s2")
# Some of the steps name a second host: the one that is asked.
PULLS = ("pull", "ask")


class Step(NamedTuple):
    """A step of a run.

    Attributes
    ----------
    kind : str
        ``write``, ``remove`` and ``compact`` for the store, ``watch``, ``restart`` and
        ``pull`` for a host, ``ask`` for a pull whose answer waits, ``deliver`` and
        ``repeat`` for the oldest and the newest answer that waits.
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
    """An answer to a pull that has not arrived yet, and to which process it goes."""

    host: str
    process: int
    delta: Delta


class _Host:
    """A host; each of its processes starts with nothing."""

    def __init__(self) -> None:
        self.process = 0
        self.start()

    def start(self) -> None:
        self.process += 1
        self.replica = Replica()
        self.watched_at: int | None = None
        self.gone: dict[str, int] = {}
        self._listed: dict[str, int] = {}

    def list_servers(self) -> dict[str, int]:
        return {entry.name: entry.revision for entry in self.replica.list_endpoints()}

    def find_restored(self) -> str | None:
        """Return a server that is back though nothing has registered it again."""
        listed = self.list_servers()
        for name, revision in self._listed.items():
            if name not in listed:
                self.gone[name] = revision
        self._listed = listed
        return next(
            (name for name, at in listed.items() if at <= self.gone.get(name, 0)), None
        )


class SpreadModel:
    """The store, the hosts, and the answers that have not arrived."""

    def __init__(self, hosts: Sequence[str]) -> None:
        self.revision = 0
        self.entries: dict[str, int] = {}
        self._history: list[tuple[int, str, bool]] = []
        self._compacted_at = 0
        self._waiting: list[_Answer] = []
        self.hosts = {name: _Host() for name in hosts}
        for name in SERVERS:
            self._write(name)
        for host in self.hosts.values():
            self._watch(host)

    def take(self, step: Step) -> None:
        """Take a step; one that doesn't apply changes nothing."""
        getattr(self, f"_take_{step.kind}")(step)

    def _take_write(self, step: Step) -> None:
        self._write(step.about)

    def _take_remove(self, step: Step) -> None:
        if self.entries.pop(step.about, None) is not None:
            self.revision += 1
            self._history.append((self.revision, step.about, True))

    def _take_compact(self, _: Step) -> None:
        self._compacted_at = self.revision

    def _take_watch(self, step: Step) -> None:
        self._watch(self.hosts[step.about])

    def _take_restart(self, step: Step) -> None:
        self.hosts[step.about].start()

    def _take_pull(self, step: Step) -> None:
        self._take_ask(step, waits=False)

    def _take_ask(self, step: Step, *, waits: bool = True) -> None:
        host, source = self.hosts[step.about], self.hosts[step.source]
        if source.replica.revision <= host.replica.revision:
            return
        delta = source.replica.select_delta(host.replica.revision)
        if waits:
            self._waiting.append(_Answer(step.about, host.process, delta))
        else:
            host.replica.accept_delta(delta, 1.0)

    def _take_deliver(self, _: Step) -> None:
        if self._waiting:
            self._deliver(self._waiting.pop(0))

    def _take_repeat(self, _: Step) -> None:
        if self._waiting:
            self._deliver(self._waiting[-1])

    def _deliver(self, answer: _Answer) -> None:
        host = self.hosts[answer.host]
        if host.process == answer.process:
            host.replica.accept_delta(answer.delta, 1.0)

    def _write(self, name: str) -> None:
        self.revision += 1
        self.entries[name] = self.revision
        self._history.append((self.revision, name, False))

    def _watch(self, host: _Host) -> None:
        """Let a host read the store, as its watch of the servers does."""
        if host.watched_at is None or host.watched_at < self._compacted_at:
            listed = [_make_entry(name, at) for name, at in self.entries.items()]
            host.replica.accept_listing(listed, self.revision, 1.0)
        else:
            events = [event for event in self._history if event[0] > host.watched_at]
            changes = [
                Change(StoredObject(name, at, b""), is_removed)
                for at, name, is_removed in events
            ]
            for change, at in _list_in_order(Changes(changes, self.revision)):
                if change.deleted:
                    host.replica.accept_removal(change.object.name, at)
                else:
                    entry = _make_entry(change.object.name, change.object.revision)
                    host.replica.accept_endpoint(entry)
            host.replica.advance(self.revision)
        host.watched_at = self.revision

    def settle(self) -> None:
        """Let the last answers arrive, one host read the store, and all others pull."""
        while self._waiting:
            self._take_deliver(Step("deliver"))
        first, *others = self.hosts
        self._watch(self.hosts[first])
        for source, host in itertools.pairwise((first, *others)):
            self._take_pull(Step("pull", host, source))

    def find_fault(self) -> str | None:
        """Return what is wrong with what hosts list, or None."""
        for name, host in self.hosts.items():
            restored = host.find_restored()
            if restored is not None:
                return f"{name} has {restored} back, which was removed"
        return None

    def find_difference(self) -> str | None:
        """Return how a host differs from the store, or None."""
        for name, host in self.hosts.items():
            if host.list_servers() != self.entries:
                return f"{name} lists {host.list_servers()}, not {self.entries}"
        return None


def _make_entry(name: str, revision: int) -> Endpoint:
    return Endpoint(
        name, "pool", "10.0.0.1:80", "a", 64, ServerState.READY, 1, revision
    )


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
        "watch": lambda: (Step("watch", name) for name in hosts),
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
    steps = list_steps(hosts, kinds)
    for _ in range(runs):
        run = rng.choices(steps, k=length)
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
