"""Bounded load: the limit of a server's load relative to the mean of its pool.

The bound must not rest on an overestimated mean, so hosts report the minimum of
their running requests since the last report (the floor).
"""

from collections import deque
from math import ceil, floor
from typing import NamedTuple

MIN_BOUND = 1
# Consecutive reports whose minimum is a confirmed load.
FLOOR_SAMPLES = 2
# Relative change of a load that is reported early.
REPORTED_CHANGE = 0.25
# Absorbs rounding errors of floating-point products before `ceil` and `floor`.
_ROUNDING_SLACK = 1e-9


class PoolLoad(NamedTuple):
    """Confirmed load of a pool or a part of it.

    Attributes
    ----------
    running : int
        Confirmed number of requests in progress; never above the true one.
    servers : int
        Number of serving servers that it covers.
    """

    running: int
    servers: int


def compute_load_bound(*, load_multiple: float, load: PoolLoad) -> int:
    """Return the maximum number of requests in progress on one server.

    The new request counts towards the mean: with ``m`` requests in progress on
    ``n`` servers the bound is ``ceil(load_multiple * (m + 1) / n)``, and at
    least 1, so a multiple of 1 or more always leaves room on some server.
    """
    if load.servers <= 0:
        return 0
    mean = (load.running + 1) / load.servers
    return max(MIN_BOUND, ceil(load_multiple * mean - _ROUNDING_SLACK))


def scale_bound(bound: int, share: float) -> int:
    """Return the part of a bound that a host may use with its ownership share."""
    return floor(bound * share + _ROUNDING_SLACK)


class FloorTracker:
    """Tracks the minimum of a counter since the last report."""

    def __init__(self) -> None:
        self._current = 0
        self._floor = 0
        self._last_reported = 0

    @property
    def has_changed(self) -> bool:
        """Whether the counter has changed a lot since the last report."""
        change = abs(self._current - self._last_reported)
        return change >= max(1, self._last_reported * REPORTED_CHANGE)

    def update(self, value: int) -> None:
        """Record a new value of the counter."""
        self._current = value
        self._floor = min(self._floor, value)

    def take_floor(self) -> int:
        """Return the minimum and start again from the current value."""
        floor = self._floor
        self._floor = self._last_reported = self._current
        return floor


class RemoteLoad:
    """Confirmed load of a group from the floors that its owner reports.

    A lower floor counts at once, a higher one only after `FLOOR_SAMPLES` reports.
    """

    def __init__(self) -> None:
        self._samples: deque[int] = deque(maxlen=FLOOR_SAMPLES)
        self._servers = 0
        self._deadline = 0.0

    def record_report(self, *, floor: int, servers: int, deadline: float) -> None:
        """Record a reported floor, which is valid until `deadline`."""
        self._samples.append(floor)
        self._servers = servers
        self._deadline = deadline

    def read(self, now: float) -> PoolLoad:
        """Return the confirmed load; zero after the deadline."""
        if now >= self._deadline or not self._samples:
            return PoolLoad(running=0, servers=0)
        running = min(self._samples)
        if len(self._samples) < FLOOR_SAMPLES:
            running = 0
        return PoolLoad(running=running, servers=self._servers)
