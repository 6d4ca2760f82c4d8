"""The bound on a server's load relative to the mean of its pool."""

from collections import deque
from math import ceil, floor
from typing import NamedTuple

MIN_BOUND = 1
FLOOR_SAMPLES = 2
REPORTED_CHANGE = 0.25
_ROUNDING_SLACK = 1e-9


class PoolLoad(NamedTuple):
    """What is known for certain of a pool's load.

    Attributes
    ----------
    running : int
        Requests in progress that are believed; never more than the truth.
    servers : int
        Serving servers that the count covers.
    """

    running: int
    servers: int


def bound_load(*, load_multiple: float, load: PoolLoad) -> int:
    """Return how many requests one server may carry.

    The new request counts into the mean: with ``m`` requests in progress on
    ``n`` servers the bound is ``ceil(load_multiple * (m + 1) / n)``, and at
    least 1, so a multiple of 1 or more always leaves room on some server.
    """
    if load.servers <= 0:
        return 0
    mean = (load.running + 1) / load.servers
    return max(MIN_BOUND, ceil(load_multiple * mean - _ROUNDING_SLACK))


def scale_bound(bound: int, share: float) -> int:
    """Return the part of a bound that a disputed owner may use itself."""
    return floor(bound * share + _ROUNDING_SLACK)


class FloorTracker:
    """Least value of a counter since it was last read."""

    def __init__(self) -> None:
        self._current = 0
        self._floor = 0
        self._last_reported = 0

    @property
    def has_changed(self) -> bool:
        """Whether the value has changed much since it was last read."""
        change = abs(self._current - self._last_reported)
        return change >= max(1, self._last_reported * REPORTED_CHANGE)

    def update(self, value: int) -> None:
        """Record a new value of the counter."""
        self._current = value
        self._floor = min(self._floor, value)

    def take_floor(self) -> int:
        """Return the floor and start anew from the present value."""
        floor = self._floor
        self._floor = self._last_reported = self._current
        return floor


class RemoteLoad:
    """A remote count that falls at once, rises late, and expires."""

    def __init__(self) -> None:
        self._samples: deque[int] = deque(maxlen=FLOOR_SAMPLES)
        self._servers = 0
        self._deadline = 0.0

    def record_report(self, *, floor: int, servers: int, deadline: float) -> None:
        """Record the floor that the owner has reported."""
        self._samples.append(floor)
        self._servers = servers
        self._deadline = deadline

    def read(self, now: float) -> PoolLoad:
        """Return what is believed; nothing after the deadline."""
        if now >= self._deadline or not self._samples:
            return PoolLoad(running=0, servers=0)
        running = min(self._samples)
        if len(self._samples) < FLOOR_SAMPLES:
            running = 0
        return PoolLoad(running=running, servers=self._servers)
