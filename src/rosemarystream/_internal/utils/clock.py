"""The clock that is passed to the decision code."""

import time


class Clock:
    """Monotonic clock that returns seconds since the epoch.

    Adjustments of the system clock after the start have no effect; time during
    which the process is stopped (SIGSTOP) counts.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current time in seconds since the epoch."""
        return time.monotonic() + self._offset
