"""Priorities of the requests in an engine's queue.

Handles a burst of long prompts at an engine that prefills one after the other.
Requests are ordered by the operators' rank, then by their objective (the time in
which the answer is due), so that short objectives are met while longer ones still
can be.
"""

from collections.abc import Iterable
from typing import NamedTuple

from rosemarystream._internal.models.route import FleetConfiguration

# Priority levels that an engine distinguishes; 0 is served first.
LEVELS = 10


class Priority(NamedTuple):
    """Priority of a request among all that a configuration allows.

    Attributes
    ----------
    level : int
        Priority level for the engine, 0 to 9; 0 is served first.
    share : float
        Largest fraction of all queued work that is served before the request.
    """

    level: int
    share: float


class PriorityTable:
    """Priorities of the requests of one configuration.

    Parameters
    ----------
    pairs : iterable of tuple of (int, float)
        Pairs of rank and objective (in seconds) that occur.
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
        """Return the priority of a request; the lowest one if its pair is unknown."""
        return self._priorities.get((rank, objective_s), Priority(LEVELS - 1, 1.0))


def build_priority_table(configuration: FleetConfiguration) -> PriorityTable:
    """Return the priorities of the requests that a configuration allows."""
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
