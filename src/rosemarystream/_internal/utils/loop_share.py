"""Fair use of the event loop by a greenlet that never has to wait.

A read from a socket that always has data returns at once. A greenlet in a loop of
such reads would keep all others from running, timeouts included.
"""

import time

import gevent

# Time that a greenlet may use in one iteration of the event loop, and its pause after
# that, in seconds.
MAX_USE_S = 0.001
PAUSE_S = 0.002


class LoopShare:
    """Pauses a greenlet that has used its share of the event loop."""

    def __init__(self) -> None:
        self._iteration = -1
        self._pause_at = 0.0

    def take_step(self) -> None:
        """Pause if the event loop hasn't run for `MAX_USE_S`.

        To be called before each step of a loop that may not wait.
        """
        loop = gevent.get_hub().loop
        now = time.monotonic()
        if loop.iteration != self._iteration:
            self._iteration = loop.iteration
            self._pause_at = now + MAX_USE_S
        elif now >= self._pause_at:
            gevent.sleep(PAUSE_S)
