"""The clock that shells pass into decision code."""

import time


class Clock:
    """Seconds since the epoch that never jump while the process runs.

    Steps of the machine's clock after the start have no effect; time during
    which the process is stopped counts.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the present time in seconds since the epoch."""
        return time.monotonic() + self._offset
