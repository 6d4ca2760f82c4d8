"""Versioned list of backend servers, replicated as changes since a version."""

from collections import deque
from collections.abc import Iterable

from rosemarystream._internal.models.server import BackendServer, HostChanges

MAX_LOGGED_CHANGES = 4_096


class HostList:
    """Servers by name, with a log of the versions at which they changed."""

    def __init__(self) -> None:
        self.version = 0
        self._servers: dict[str, BackendServer] = {}
        self._log: deque[tuple[int, str]] = deque(maxlen=MAX_LOGGED_CHANGES)
        self._log_base = 0

    def servers(self) -> Iterable[BackendServer]:
        """Return all listed servers."""
        return self._servers.values()

    def apply(self, changes: HostChanges) -> bool:
        """Apply changes; return whether the list has a newer version now.

        Changes whose base is newer than this list are refused, because the
        changes in between would be missing.
        """
        if changes.version <= self.version or changes.base > self.version:
            return False
        removed = set(changes.removed)
        if changes.base == 0:
            kept = {server.name for server in changes.servers}
            removed = self._servers.keys() - kept
        for name in removed:
            if self._servers.pop(name, None) is not None:
                self._log_change(changes.version, name)
        for server in changes.servers:
            if self._servers.get(server.name) != server:
                self._servers[server.name] = server
                self._log_change(changes.version, server.name)
        self.version = changes.version
        return True

    def _log_change(self, version: int, name: str) -> None:
        if len(self._log) == MAX_LOGGED_CHANGES:
            self._log_base = self._log[0][0]
        self._log.append((version, name))

    def changes_since(self, version: int) -> HostChanges | None:
        """Return the changes since a version, or None if there are none.

        Returns the whole list if the log does not reach back to that version.
        """
        if version >= self.version:
            return None
        if version <= self._log_base:
            return HostChanges(0, self.version, tuple(self._servers.values()), ())
        names = {name for changed_at, name in self._log if changed_at > version}
        return HostChanges(
            base=version,
            version=self.version,
            servers=tuple(self._servers[n] for n in names if n in self._servers),
            removed=tuple(name for name in names if name not in self._servers),
        )
