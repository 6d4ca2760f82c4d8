"""In which order an engine serves requests that wait for it together.

Answers the pattern of a burst of long prompts before an engine that reads one
after the other: operators' ranks go first, and among equals the requests whose
answers are due soonest, so that short objectives are kept while long ones
still can be.
"""

from collections.abc import Iterable
from typing import NamedTuple

from rosemarystream._internal.models.route import FleetConfiguration

# Levels that an engine tells apart; 0 is served first.
LEVELS = 10


class Priority(NamedTuple):
    """Place of a request among all that a configuration allows.

    Attributes
    ----------
    level : int
        Priority for the engine, 0 to 9; 0 is served first.
    share : float
        Part of all waiting work that is served before it, at most.
    """

    level: int
    share: float


class PriorityTable:
    """Levels of the requests of one configuration.

    Parameters
    ----------
    pairs : iterable of tuple of (int, float)
        Ranks and objectives in seconds that occur.
    """

    def __init__(self, *, pairs: Iterable[tuple[int, float]]) -> None:
        order = sorted(set(pairs))
        self._priorities = {
            pair: Priority(
                level=position * LEVELS // max(LEVELS, len(order)),
                share=(position + 1) / len(order),
            )
            for position, pair in enumerate(order)
        }

    def find(self, rank: int, objective_s: float) -> Priority:
        """Return the urgency of a request."""
        return self._priorities.get((rank, objective_s), Priority(LEVELS - 1, 1.0))


def build_priority_table(configuration: FleetConfiguration) -> PriorityTable:
    """Return the order of the requests that a configuration allows."""
    routes = [
        route
        for group in configuration.routes.values()
        for route in group
        if route.keeps_context
    ]
    ranks = {
        workspace.rank
        for workspace in configuration.workspaces.values()
        if workspace.rank is not None
    }
    open_ranks = {route.rank for route in routes if route.is_anonymous}
    if not ranks or any(w.rank is None for w in configuration.workspaces.values()):
        open_ranks |= {route.rank for route in routes}
    return PriorityTable(
        pairs=[
            (rank, route.objective_s) for route in routes for rank in ranks | open_ranks
        ]
    )
