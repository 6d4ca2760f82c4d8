"""Base class of the services that the kernel runs."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any, NamedTuple

Event = NamedTuple
"""Events are named tuples; the kernel selects their handlers by type."""


class Service(ABC):
    """A named component that handles events and returns follow-up events.

    Attributes
    ----------
    name : str
        Unique name in the registry of the kernel and in the state dump.
    handles : tuple of type
        Event types that the kernel delivers to this service.
    """

    name: str
    handles: tuple[type, ...] = ()

    def start(self) -> None:  # noqa: B027
        """Acquire resources; called once, in registration order."""

    def stop(self) -> None:  # noqa: B027
        """Release resources; called once, in reverse registration order."""

    def handle(self, event: Any, now: float) -> Iterable[Any]:
        """Handle one event and return the events that follow from it."""
        return ()

    def expire(self, now: float) -> Iterable[Any]:
        """Perform the work due at `now` and return the events that follow."""
        return ()

    def next_deadline(self) -> float | None:
        """Return the time at which `expire` has to be called, or None."""
        return None

    @abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state of the service for the state dump, bounded in size."""
