"""How long to wait for a server before its request goes elsewhere.

Answers the pattern of servers that hang or fall silent: a repeatable request
leaves one early enough that a second server can still answer in time.
"""

from rosemarystream._internal.models.route import Route, RouteKind

# Callers leave a stream after the longest of these gaps.
MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0
# Part of the caller's patience after which a stream goes on elsewhere.
STALL_TIMEOUT_SHARE = 0.5
# Objectives that a plain request waits for its first server.
ATTEMPT_TIMEOUT_OBJECTIVES = 3.0
MIN_ATTEMPT_TIMEOUT_S = 0.25


def compute_stall_timeout(route: Route) -> float:
    """Return the silence after which a stream has stalled, in seconds."""
    caller_timeout_s = max(
        MIN_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_OBJECTIVES * route.objective_s,
        CALLER_TIMEOUT_GAPS * route.gap_objective_s,
    )
    return STALL_TIMEOUT_SHARE * caller_timeout_s


def compute_attempt_deadline(
    route: Route, *, now: float, deadline: float, more_attempts: bool
) -> float:
    """Return the time until which an attempt waits for its answer to begin."""
    if not (route.is_repeatable and more_attempts):
        return deadline
    if route.kind is RouteKind.STREAM:
        return min(deadline, now + compute_stall_timeout(route))
    return min(
        deadline,
        now
        + max(MIN_ATTEMPT_TIMEOUT_S, ATTEMPT_TIMEOUT_OBJECTIVES * route.objective_s),
    )
