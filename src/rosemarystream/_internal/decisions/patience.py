"""How long to wait for a server before its request goes elsewhere.

Answers the pattern of servers that hang or fall silent: a repeatable request
leaves one early enough that a second server can still answer in time.
"""

from rosemarystream._internal.models.route import Route, RouteKind

# Callers leave a stream after the longest of these gaps.
LEAST_CALLER_PATIENCE_S = 2.0
OBJECTIVES_OF_PATIENCE = 4.0
GAPS_OF_PATIENCE = 8.0
# Part of the caller's patience after which a stream goes on elsewhere.
STALL_SHARE = 0.5
# Objectives that a plain request waits for its first server.
PLAIN_OBJECTIVES = 3.0
LEAST_PLAIN_S = 0.25


def measure_stall(route: Route) -> float:
    """Return the silence after which a stream has stalled, in seconds."""
    patience_s = max(
        LEAST_CALLER_PATIENCE_S,
        OBJECTIVES_OF_PATIENCE * route.objective_s,
        GAPS_OF_PATIENCE * route.gap_objective_s,
    )
    return STALL_SHARE * patience_s


def limit_attempt(
    route: Route, *, now: float, deadline: float, more_attempts: bool
) -> float:
    """Return the time until which an attempt waits for its answer to begin."""
    if not (route.is_repeatable and more_attempts):
        return deadline
    if route.kind is RouteKind.STREAM:
        return min(deadline, now + measure_stall(route))
    return min(deadline, now + max(LEAST_PLAIN_S, PLAIN_OBJECTIVES * route.objective_s))
