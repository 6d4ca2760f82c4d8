"""When the host last got a configuration and signals."""

from collections.abc import Callable


class HostTimes:
    """Times of what may explain the ending of a request, by the host's clock.

    Attributes
    ----------
    version : int
        Version of the configuration that was recorded last.
    configured_at : float
        When it was recorded; the start of the process if there is none yet.
    reloaded_at, stopped_at : float or None
        When the last SIGHUP came, and SIGTERM; None if there was none.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.version = 0
        self.configured_at = clock()
        self.reloaded_at: float | None = None
        self.stopped_at: float | None = None

    def record_version(self, version: int) -> None:
        """Record the time if another configuration has come into force."""
        if version != self.version:
            self.version = version
            self.configured_at = self._clock()

    def record_reload(self) -> None:
        """Record that SIGHUP has come."""
        self.reloaded_at = self._clock()

    def record_stop(self) -> None:
        """Record that SIGTERM has come."""
        self.stopped_at = self._clock()
