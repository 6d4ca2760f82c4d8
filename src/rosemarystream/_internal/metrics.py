"""Counters and timings over the statsd protocol."""

from collections import Counter
from typing import Any

from statsd import StatsClient

PREFIX = "rosemarystream"


class Metrics:
    """Sends metrics to a statsd server, or only counts them without one.

    Parameters
    ----------
    address : tuple of (str, int) or None
        Where the statsd server listens.
    host : str
        Name of this host; part of every metric's name.
    """

    def __init__(self, *, address: tuple[str, int] | None, host: str) -> None:
        self._client: StatsClient | None = None
        if address is not None:
            self._client = StatsClient(
                host=address[0], port=address[1], prefix=f"{PREFIX}.{host}"
            )
        self._counts: Counter[str] = Counter()

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += value
        if self._client is not None:
            self._client.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Record how long something took."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def set_gauge(self, name: str, value: float) -> None:
        """Record a present value."""
        if self._client is not None:
            self._client.gauge(name, value)

    def dump(self) -> dict[str, Any]:
        """Return all counters since the start."""
        return dict(sorted(self._counts.items()))
