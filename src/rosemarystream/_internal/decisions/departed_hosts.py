"""Records in the store of hosts that are gone for good.

Hosts are replaced at any time and remove nothing that they have written. A record is
taken for one of a departed host once its host hasn't been heard for some minutes while
the record was read. A host that was only paused or cut off writes its record anew.
"""

from collections.abc import Collection

# Time without a sign of life after which a record is removed.
DEPARTED_AFTER_S = 300.0


class DepartedHosts:
    """The hosts whose records were read and that haven't been heard since."""

    def __init__(self) -> None:
        self._unheard_since: dict[str, float] = {}

    def accept_list(
        self, recorded: Collection[str], live: Collection[str], now: float
    ) -> None:
        """Take over which hosts have records, and which of all hosts are live."""
        self._unheard_since = {
            name: self._unheard_since.get(name, now)
            for name in recorded
            if name not in live
        }

    def list_departed(self, now: float) -> list[str]:
        """Return the hosts that are taken to be gone for good, the longest first."""
        departed = [
            (since, name)
            for name, since in self._unheard_since.items()
            if now - since >= DEPARTED_AFTER_S
        ]
        return [name for _, name in sorted(departed)]
