"""Which hosts are asked for newer state, and when the next one is.

A host that has announced newer state may be suspended, cut off or gone before it sends
it. So while it is silent the next host that announces the state is asked as well, and
the answers are merged in whatever order they come.
"""

from enum import StrEnum
from typing import NamedTuple

# Silence after which another host is asked beside the one that was asked.
SILENT_AFTER_S = 0.25
# Time after which another host is asked though the one that was asked sends slowly.
SLOW_AFTER_S = 0.75
# Most hosts that are asked for the same kind of state at a time.
MAX_PULLS = 4
# Time after a failed pull in which the same host is not asked again.
SOURCE_PAUSE_S = 1.0
# Pauses of all pulls of a kind after failed ones: the first, and the longest.
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
# Most hosts whose pauses are kept.
MAX_PAUSED_SOURCES = 1_000


class StateKind(StrEnum):
    """Kinds of state that are pulled independently of each other."""

    SERVERS = "servers"
    DOCUMENT = "document"
    CONTEXTS = "contexts"


class _Pull(NamedTuple):
    """A pull in progress.

    Attributes
    ----------
    silent_at, slow_at : float
        Times from which another host may be asked, if nothing more comes, and anyway.
    """

    silent_at: float
    slow_at: float


class _KindPulls:
    """The pulls of one kind of state."""

    def __init__(self) -> None:
        self.active: dict[str, _Pull] = {}
        self.source_paused_until: dict[str, float] = {}
        self.paused_until = 0.0
        self.next_pause_s = FIRST_PAUSE_S

    def may_begin(self, ip: str, now: float) -> bool:
        if ip in self.active or len(self.active) >= MAX_PULLS:
            return False
        if now < max(self.paused_until, self.source_paused_until.get(ip, 0.0)):
            return False
        return all(
            min(pull.silent_at, pull.slow_at) <= now for pull in self.active.values()
        )

    def pause(self, ip: str, now: float) -> None:
        self.paused_until = now + self.next_pause_s
        self.next_pause_s = min(LONGEST_PAUSE_S, 2 * self.next_pause_s)
        self.source_paused_until.pop(ip, None)
        self.source_paused_until[ip] = now + SOURCE_PAUSE_S
        if len(self.source_paused_until) > MAX_PAUSED_SOURCES:
            self.source_paused_until.pop(next(iter(self.source_paused_until)))


class PullPlan:
    """Decides whether a host is asked for newer state that it has announced."""

    def __init__(self) -> None:
        self._kinds = {kind: _KindPulls() for kind in StateKind}

    def begin(self, kind: StateKind, ip: str, now: float) -> bool:
        """Return whether a host is to be asked now; if so, its pull is in progress."""
        pulls = self._kinds[kind]
        if not pulls.may_begin(ip, now):
            return False
        pulls.active[ip] = _Pull(now + SILENT_AFTER_S, now + SLOW_AFTER_S)
        return True

    def record_progress(self, kind: StateKind, ip: str, now: float) -> None:
        """Record that a host that was asked has sent something."""
        active = self._kinds[kind].active
        if ip in active:
            active[ip] = active[ip]._replace(silent_at=now + SILENT_AFTER_S)

    def record_success(self, kind: StateKind, ip: str) -> None:
        """Record that the answer of a host has been applied."""
        pulls = self._kinds[kind]
        pulls.active.pop(ip, None)
        pulls.next_pause_s = FIRST_PAUSE_S

    def record_failure(self, kind: StateKind, ip: str, now: float) -> None:
        """Record that a host gave no usable answer; others are asked soon."""
        pulls = self._kinds[kind]
        pulls.active.pop(ip, None)
        pulls.pause(ip, now)
