"""A dict of limited size, for what a host stores about others."""

from collections import OrderedDict
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class BoundedDict(OrderedDict[Key, Value]):
    """A dict that drops the entry put least recently when it holds too many.

    Parameters
    ----------
    most : int
        Largest number of entries.
    """

    def __init__(self, *, most: int) -> None:
        super().__init__()
        self._most = most

    def put(self, key: Key, value: Value) -> None:
        """Add or replace an entry, which is then the most recent one."""
        self[key] = value
        self.move_to_end(key)
        if len(self) > self._most:
            self.popitem(last=False)
