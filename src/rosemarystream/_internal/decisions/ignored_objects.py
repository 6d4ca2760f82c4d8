"""Objects from other processes that are invalid, and were ignored."""

from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

from rosemarystream._internal.decisions.bounded_dict import BoundedDict

# Objects that are kept, so that each revision is reported once.
MAX_OBJECTS = 1_000


class _IgnoredObject(NamedTuple):
    """The revision of an object that was ignored, and why."""

    revision: Hashable
    reason: str


class IgnoredObjects:
    """Records which objects were ignored, each revision once.

    Parameters
    ----------
    on_new : callable
        Called with the kind of an object that is ignored for the first time.
    """

    def __init__(self, *, on_new: Callable[[str], None] = lambda kind: None) -> None:
        self._on_new = on_new
        self._objects: BoundedDict[tuple[str, str], _IgnoredObject] = BoundedDict(
            most=MAX_OBJECTS
        )

    def add(self, kind: str, name: str, revision: Hashable, reason: str) -> bool:
        """Record an object; return whether this revision of it is new."""
        key = (kind, _choose_name(name, revision))
        known = self._objects.get(key)
        if known is not None and known.revision == revision:
            return False
        self._objects.put(key, _IgnoredObject(revision, reason))
        self._on_new(kind)
        return True

    def remove(self, kind: str, name: str) -> None:
        """Remove an object that is valid now, or deleted."""
        self._objects.pop((kind, name), None)

    def has(self, kind: str, name: str) -> bool:
        """Return whether the last object of a name was ignored."""
        return (kind, name) in self._objects

    def keep_listed(self, kind: str, listed: Iterable[tuple[str, Hashable]]) -> None:
        """Remove the objects of a kind that are not among the listed ones.

        Parameters
        ----------
        listed : iterable of tuple of (str, hashable)
            Names, and what tells revisions apart.
        """
        if not any(key[0] == kind for key in self._objects):
            return
        names = {_choose_name(name, revision) for name, revision in listed}
        for key in [*self._objects]:
            if key[0] == kind and key[1] not in names:
                del self._objects[key]

    def list_reasons(self) -> dict[str, str]:
        """Return why objects are ignored, by kind and name."""
        return {f"{kind}/{name}": x.reason for (kind, name), x in self._objects.items()}


def _choose_name(name: str, revision: Hashable) -> str:
    """Return the name of an object, or one for an object with an unreadable name."""
    return name or f"(unreadable, revision {revision})"
