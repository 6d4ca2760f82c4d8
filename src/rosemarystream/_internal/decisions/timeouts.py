"""Stall timeouts of streams and timeouts of attempts.

Handles servers that hang or stop responding: a repeatable request is moved early
enough that a second server can still answer in time.
"""

from rosemarystream._internal.models.route import Route, RouteKind

# Callers abandon a stream after a gap of the longest of these three: a minimum, a
# multiple of the route's objective and a multiple of its gap objective.
MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0
# Fraction of the caller's timeout after which a stream is resumed at another server.
STALL_TIMEOUT_SHARE = 0.5
# Attempt timeout of a plain request: a multiple of its objective, and the minimum.
ATTEMPT_TIMEOUT_OBJECTIVES = 3.0
MIN_ATTEMPT_TIMEOUT_S = 0.25


def compute_stall_timeout(route: Route) -> float:
    """Return the gap after which a stream counts as stalled, in seconds."""
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
