"""Watches that follow the platform's store.

They run only on the hosts that are watchers at the time; all others get the state
from other hosts.
"""

from collections.abc import Callable, Hashable

import gevent
from logbook import Logger

from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.log_entries.store import (
    ConfigurationActivated,
    ConfigurationInvalid,
    EraChanged,
    HistoryGone,
    StoreLost,
    StoreRegained,
)
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.platform.documents import (
    DocumentError,
    decode_configuration,
)
from rosemarystream._internal.platform.store import (
    CONFIGURATION,
    CONFIGURATION_NAME,
    EraChangedError,
    HistoryGoneError,
    Store,
)
from rosemarystream._internal.platform.store_answers import (
    Change,
    Changes,
    StoredObject,
    StoreError,
)

log = Logger(__name__)

# How long a watch waits at the store for the first change.
WATCH_TIMEOUT_S = 8.0
# The same where a lost answer has to be detected soon: changes have to be in force
# within two seconds.
SHORT_WATCH_TIMEOUT_S = 0.8
# Time after the end of a wait at which an answer of the store is overdue.
OVERDUE_AFTER_S = 0.4
# Pauses after failed calls: the first one, and the limit to which they grow.
FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 1.0
# Interval at which a host that is no watcher checks whether it has become one.
IDLE_POLL_S = 0.1
BATCH_S = 0.1


class _OverdueAnswerError(StoreError):
    """The store hasn't answered a waiting call in time; the answer may be lost."""


def accept_document(
    replica: Replica, ignored: IgnoredObjects, revision: Hashable, document: bytes
) -> bool:
    """Apply a configuration document of the store; return whether it is newer.

    Parameters
    ----------
    revision : hashable
        Identifies the document among those of its name, to report it once.
    """
    try:
        configuration = decode_configuration(document)
    except DocumentError as error:
        if ignored.add(CONFIGURATION, CONFIGURATION_NAME, revision, str(error)):
            write_log_entry(log, ConfigurationInvalid(error=str(error)))
        return False
    ignored.remove(CONFIGURATION, CONFIGURATION_NAME)
    return replica.accept_configuration(configuration, document)


def _list_in_order(changes: Changes) -> list[tuple[Change, Position]]:
    """Return each change with the last position at which it certainly holds.

    The store doesn't tell at which revision an object was removed. That is the one of
    the whole answer, unless an object of that name was written again in it.
    """
    holds_until: dict[str, int] = {}
    ordered = []
    for change in reversed(changes.changes):
        name = change.object.name
        revision = holds_until.get(name, changes.revision)
        ordered.append((change, Position(changes.era, revision)))
        if not change.deleted:
            holds_until[name] = change.object.revision - 1
    return ordered[::-1]


class StoreWatch:
    """Keeps one kind of the store's objects current while this host is a watcher.

    Parameters
    ----------
    supervisor : Supervisor
        Runs the watch.
    is_watcher : callable
        Returns whether this host is a watcher now.
    on_change : callable
        Called after the replica has changed.
    ignored : IgnoredObjects
        Records the invalid objects.
    keeps_waits_short : callable
        Returns whether a lost answer has to be detected soon.
    on_current : callable
        Called with the kind of objects whenever all that the store has of it is known.

    Attributes
    ----------
    lost_at : float or None
        When the store stopped answering; None while it answers, or isn't watched.
    """

    kind: str
    loop: str

    def __init__(
        self,
        *,
        store: Store,
        clock: Callable[[], float],
        replica: Replica,
        is_watcher: Callable[[], bool],
        on_change: Callable[[], None],
        supervisor: Supervisor,
        ignored: IgnoredObjects | None = None,
        keeps_waits_short: Callable[[], bool] = lambda: True,
        on_current: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._ignored = ignored or IgnoredObjects()
        self._keeps_waits_short = keeps_waits_short
        self._on_current = on_current
        self._store = store
        self._clock = clock
        self._replica = replica
        self._is_watcher = is_watcher
        self._on_change = on_change
        self._supervisor = supervisor
        self._task: gevent.Greenlet | None = None
        # Position of the last answer; None if the objects have to be listed.
        self._position: Position | None = None
        self.lost_at: float | None = None

    def start(self) -> None:
        """Start the watch: list the objects once, then follow their changes."""
        self._task = self._supervisor.start_loop(self.loop, self._run)

    def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.kill()
        self._store.close()

    def _run(self) -> None:
        """Follow the store from a new listing; another host does after an error."""
        self._store.close()
        self._position = None
        try:
            self._follow()
        except Exception as error:
            self._report_lost(f"unexpected {type(error).__name__}")
            raise

    def _follow(self) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            if not self._is_watcher():
                self._reset()
                gevent.sleep(IDLE_POLL_S)
                continue
            try:
                self._list_or_watch()
            except HistoryGoneError:
                write_log_entry(log, HistoryGone(watched=self.kind))
                self._position = None
            except EraChangedError as error:
                write_log_entry(log, EraChanged(watched=self.kind, error=str(error)))
                self._position = None
                gevent.sleep(BATCH_S)
                continue
            except StoreError as error:
                self._mark_lost(error)
                gevent.sleep(pause_s)
                pause_s = min(LONGEST_PAUSE_S, pause_s * 1.5)
                continue
            self._mark_regained()
            pause_s = FIRST_PAUSE_S

    def _reset(self) -> None:
        self._store.close()
        self._position = None
        self.lost_at = None

    def _list_or_watch(self) -> None:
        if self._position is None:
            listing = self._store.list(self.kind)
            self._accept_listing(listing.objects, listing.position)
            listed = [(item.name, item.position) for item in listing.objects]
            self._ignored.keep_listed(self.kind, listed)
            self._position = listing.position
            self._on_current(self.kind)
            return
        changes = self._await_changes(self._position)
        changed = [
            self._accept_safely(change.object, change.deleted, position)
            for change, position in _list_in_order(changes)
        ]
        # What an error excluded is read once more, with a new listing.
        self._position = None if None in changed else changes.position
        if self._position is not None:
            self._accept_end(changes.position)
            self._on_current(self.kind)
        if any(changed):
            self._on_change()
        # Changes that follow closely then arrive in one call.
        gevent.sleep(BATCH_S)

    def _await_changes(self, position: Position) -> Changes:
        """Return the changes after a position, waiting for the first one.

        A connection on which an answer was lost returns nothing further. So the call is
        repeated on a new one, without a wait, and meanwhile another host watches.

        Raises
        ------
        StoreError
            If there is no usable answer.
        """
        wait_s = self._choose_wait()
        overdue = _OverdueAnswerError("the answer to a waiting call is overdue")
        try:
            with gevent.Timeout(wait_s + OVERDUE_AFTER_S, overdue):
                return self._store.watch(self.kind, position, wait_s)
        except _OverdueAnswerError as error:
            self._report_lost(str(error))
            self._store.close()
            return self._store.watch(self.kind, position, 0.0)

    def _accept_end(self, position: Position) -> None:
        """Record that all changes up to a position have been applied."""

    def _accept_safely(
        self, item: StoredObject, deleted: bool, position: Position
    ) -> bool | None:
        """Apply an entry; return None if an unexpected error excluded it."""
        accept = self._accept
        return self._supervisor.run_step(self.loop, accept, item, deleted, position)

    def _choose_wait(self) -> float:
        """Return how long a call waits at the store for the first change."""
        return SHORT_WATCH_TIMEOUT_S if self._keeps_waits_short() else WATCH_TIMEOUT_S

    def _mark_lost(self, error: StoreError) -> None:
        self._report_lost(str(error))
        # Changes may have been missed, so the objects have to be listed again.
        self._position = None

    def _report_lost(self, error: str) -> None:
        if self.lost_at is None:
            self.lost_at = self._clock()
            write_log_entry(log, StoreLost(watched=self.kind, error=error))

    def _mark_regained(self) -> None:
        if self.lost_at is not None:
            away_ms = round((self._clock() - self.lost_at) * 1000, 1)
            write_log_entry(log, StoreRegained(watched=self.kind, away_ms=away_ms))
            self.lost_at = None

    def _accept_listing(self, objects: list[StoredObject], position: Position) -> None:
        raise NotImplementedError

    def _accept(self, item: StoredObject, deleted: bool, position: Position) -> bool:
        raise NotImplementedError


class ConfigurationWatch(StoreWatch):
    """Watches the configuration."""

    kind = CONFIGURATION
    loop = "configuration_watch"

    def _accept_listing(self, objects: list[StoredObject], position: Position) -> None:
        changed = [self._accept_safely(item, False, position) for item in objects]
        if any(changed):
            self._on_change()

    def _accept(self, item: StoredObject, deleted: bool, position: Position) -> bool:
        if deleted or item.name != CONFIGURATION_NAME:
            return False
        changed = accept_document(
            self._replica, self._ignored, item.position, item.spec
        )
        if changed:
            write_log_entry(log, ConfigurationActivated(version=self._replica.version))
        return changed
