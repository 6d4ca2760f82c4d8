"""Updates that wait to be sent to other hosts with the next messages."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Update = TypeVar("Update", bound=Hashable)


class PendingUpdates(Generic[Update]):
    """Updates that are sent in some rounds each, the oldest first.

    Parameters
    ----------
    rounds : int
        Rounds in which an update is sent, as messages get lost.
    per_message : int
        Most updates of one message.
    most : int
        Most updates that wait; beyond it the oldest are dropped.
    weigh : callable
        Returns the weight of an update; each message has one at least, and else no
        more than `per_message` of weight altogether.
    """

    def __init__(
        self,
        *,
        rounds: int,
        per_message: int,
        most: int,
        weigh: Callable[[Update], int] = lambda update: 1,
    ) -> None:
        self._rounds = rounds
        self._per_message = per_message
        self._most = most
        self._weigh = weigh
        self._rounds_left: dict[Update, int] = {}

    def add(self, update: Update, *, rounds: int | None = None) -> None:
        """Add an update; one that waits already keeps its place."""
        rounds = self._rounds if rounds is None else rounds
        self._rounds_left[update] = max(rounds, self._rounds_left.get(update, 0))
        if len(self._rounds_left) > self._most:
            del self._rounds_left[next(iter(self._rounds_left))]

    def take(self) -> list[Update]:
        """Return the updates of this round."""
        taken: list[Update] = []
        weight = 0
        for update in self._rounds_left:
            weight += self._weigh(update)
            if taken and weight > self._per_message:
                break
            taken.append(update)
        for update in taken:
            # An update that has been sent goes behind those that have not.
            rounds_left = self._rounds_left.pop(update) - 1
            if rounds_left:
                self._rounds_left[update] = rounds_left
        return taken
