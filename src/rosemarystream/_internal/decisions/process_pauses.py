"""Pauses of the whole process, after which what it knows may be out of date.

Handles a host that was suspended while an operator's order spread: requests that
arrived meanwhile are ready to be sent before the messages of other hosts are read.
"""

# Shortest time without a tick that counts as a pause. After a shorter one the host
# hears of an order within the 5 s in which it has to be in force anyway.
MIN_PAUSE_S = 3.0
# Time after a pause in which nothing is sent: three rounds of gossip messages.
HOLD_S = 0.3


class ProcessPauses:
    """Finds pauses by ticks that come at short intervals while the process runs."""

    def __init__(self) -> None:
        self._ticked_at: float | None = None
        self._held_until = 0.0

    def record_tick(self, now: float) -> None:
        """Record that the process runs."""
        if self._ticked_at is not None and now - self._ticked_at >= MIN_PAUSE_S:
            self._held_until = now + HOLD_S
        self._ticked_at = now

    def measure_hold(self, now: float) -> float:
        """Record that the process runs; return for how many seconds nothing is sent."""
        self.record_tick(now)
        return max(0.0, self._held_until - now)
