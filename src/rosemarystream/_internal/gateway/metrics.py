"""Counters and latency histograms of an entry host, as text."""

from bisect import bisect_left
from collections import Counter

BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
PREFIX = "rosemarystream"


class GatewayMetrics:
    """Counts events and times of requests."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._outcomes: Counter[str] = Counter()
        self._buckets = [0] * (len(BOUNDS_S) + 1)
        self._total_s = 0.0

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += value

    def count_request(self, outcome: str, seconds: float) -> None:
        """Count a request that is over."""
        self._outcomes[outcome] += 1
        self._buckets[bisect_left(BOUNDS_S, seconds)] += 1
        self._total_s += seconds

    def format_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f"{PREFIX}_{name}_total {value}"
            for name, value in sorted(self._counts.items())
        ]
        lines += [
            f'{PREFIX}_requests_total{{outcome="{name}"}} {value}'
            for name, value in sorted(self._outcomes.items())
        ]
        running = 0
        for bound, count in zip((*BOUNDS_S, "+Inf"), self._buckets, strict=True):
            running += count
            lines.append(f'{PREFIX}_request_seconds_bucket{{le="{bound}"}} {running}')
        lines.append(f"{PREFIX}_request_seconds_sum {self._total_s:.6f}")
        lines.append(f"{PREFIX}_request_seconds_count {running}")
        return "\n".join(lines) + "\n"
