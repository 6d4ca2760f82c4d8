"""The behaviour that every service of a process shares."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any, NamedTuple

Event = NamedTuple
"""Events and actions are named tuples; their type decides who handles them."""


class Service(ABC):
    """A named part of the process that takes events and returns events.

    Attributes
    ----------
    name : str
        Name under which other services find this one.
    handles : tuple of type
        Event types that the kernel delivers to this service.
    """

    name: str
    handles: tuple[type, ...] = ()

    def start(self) -> None:  # noqa: B027
        """Acquire what the service needs; called once, in registry order."""

    def stop(self) -> None:  # noqa: B027
        """Release what the service holds; called once, in reverse order."""

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Take one event and return the events that follow from it."""
        return ()

    def expire(self, now: float) -> Iterable[Any]:
        """Do what is due at `now` and return the events that follow."""
        return ()

    def next_deadline(self) -> float | None:
        """Time at which `expire` wants to be called, or None."""
        return None

    @abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the bounded state of the service for the state dump."""
