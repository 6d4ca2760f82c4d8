"""How long callers have been waiting when a request arrives.

Handles callers that return after a refusal while a service is overloaded. Their
objective counts from their first try, which another host may have had. The time for
which they will still wait shows it, compared with that of first tries.
"""

from typing import NamedTuple

from rosemarystream._internal.decisions.bounded_dict import BoundedDict

# Pairs of route and workspace that are remembered.
MAX_PAIRS = 4_096
# Time in which the longest known wait falls by half, in seconds, so that it follows
# callers that come to wait for less.
HALF_LIFE_S = 600.0


class _Longest(NamedTuple):
    """Longest time for which callers would wait, in seconds, as of a time."""

    wait_s: float
    updated_at: float


class CallerTimes:
    """Times for which the callers of a route and workspace wait, from the first try."""

    def __init__(self) -> None:
        self._longest = BoundedDict[tuple[str, str | None], _Longest](most=MAX_PAIRS)

    def estimate_elapsed(
        self, route: str, workspace: str | None, wait_s: float, now: float
    ) -> float:
        """Return the time in seconds since a caller's first try; 0 for the first one.

        Parameters
        ----------
        wait_s : float
            Time for which the caller will still wait, in seconds.
        """
        key = (route, workspace)
        known = self._longest.get(key, _Longest(0.0, now))
        age_s = now - known.updated_at
        longest_s = max(wait_s, known.wait_s * 0.5 ** (age_s / HALF_LIFE_S))
        self._longest.put(key, _Longest(longest_s, now))
        return longest_s - wait_s
