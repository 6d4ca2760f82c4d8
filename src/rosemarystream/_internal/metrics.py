"""Counters, gauges and timings of a host, sent over the statsd protocol."""

from collections import Counter
from typing import Any

from statsd import StatsClient

PREFIX = "rosemarystream"


class Metrics:
    """Sends metrics to a statsd server; without one, only keeps the counters.

    Parameters
    ----------
    address : tuple of (str, int) or None
        Host and port of the statsd server; None to send nothing.
    host : str
        Name of this host, part of the name of every metric.
    """

    def __init__(self, *, address: tuple[str, int] | None, host: str) -> None:
        self._client: StatsClient | None = None
        if address is not None:
            self._client = StatsClient(
                host=address[0], port=address[1], prefix=f"{PREFIX}.{host}"
            )
        self._counts: Counter[str] = Counter()

    def count(self, name: str, value: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] += value
        if self._client is not None:
            self._client.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Send a duration, in seconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def set_gauge(self, name: str, value: float) -> None:
        """Send the current value of a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def dump(self) -> dict[str, Any]:
        """Return the values of all counters since the start, sorted by name."""
        return dict(sorted(self._counts.items()))
