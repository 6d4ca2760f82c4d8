"""States that may be of a copy of the store, kept until the doubt is over.

Handles a state that contradicts what a host knows of an earlier era: it isn't applied
at first, as the store may have lost what was known. If the store still has it once the
doubt is over, it holds.
"""

from collections.abc import Callable
from operator import attrgetter
from typing import Any, Generic, Protocol, TypeVar

from rosemarystream._internal.decisions.store_era import StoreEra
from rosemarystream._internal.models.position import Position


class _Located(Protocol):
    @property
    def position(self) -> Position: ...


State = TypeVar("State", bound=_Located)


class WithheldStates(Generic[State]):
    """The newest state of each name that is withheld.

    Parameters
    ----------
    era : StoreEra
        The era of the store.
    get_order : callable, optional
        Returns what the states of a name are ordered by; by default their position.
    """

    def __init__(
        self,
        *,
        era: StoreEra,
        get_order: Callable[[State], Any] = attrgetter("position"),
    ) -> None:
        self._era = era
        self._get_order = get_order
        self._states: dict[str, State] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._states

    def put(self, name: str, state: State) -> None:
        """Withhold a state, unless a later one of that name is withheld."""
        known = self._states.get(name)
        if known is None or self._get_order(state) > self._get_order(known):
            self._states[name] = state

    def drop(self, name: str, position: Position) -> None:
        """Drop the state of a name that another one at a position replaces."""
        known = self._states.get(name)
        if known is not None and known.position <= position:
            del self._states[name]

    def forget(self, name: str) -> None:
        """Drop the state of a name, whatever its position."""
        self._states.pop(name, None)

    def list_states(self) -> dict[str, State]:
        """Return the withheld states by name."""
        return {**self._states}

    def take_released(self, now: float) -> dict[str, State]:
        """Return the states that hold now, and forget them; none while in doubt."""
        self._era.expire(now)
        if not self._states or self._era.is_in_doubt:
            return {}
        released, self._states = self._states, {}
        return released
