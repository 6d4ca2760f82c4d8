"""Whether this host was late lately, so that its timeouts say nothing of others.

Handles a host that had no processor time, or was suspended: what it waited for may have
come meanwhile, and its own delay must not be written down as the fault of a server.
(Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
Detection", 2018, has members distrust their own timeouts in the same way.)
"""

from collections import deque
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.process_pauses import ProcessPauses

# Interval of the ticks.
TICK_S = 0.1
# Delay of a tick from which a host was late: of the order of the shortest timeouts.
LATE_S = 0.1
# Time for which a delay is kept, and the most of them; they are asked for within
# seconds.
KEPT_S = 30.0
MAX_DELAYS = 64
# Time after a delay in which a host catches up: some rounds of messages, to it and from
# it, and an answer of the store that was due in the delay.
CATCH_UP_S = 1.0
# Longest time for which further delays put an end off.
MAX_PUT_OFF_S = 3.0


class Delay(NamedTuple):
    """When a tick was due, and when it came."""

    began_at: float
    ended_at: float


class HostDelays:
    """Delays of this host, found by ticks that come at short intervals.

    Attributes
    ----------
    pauses : ProcessPauses
        The long ones, after which other hosts' news is waited for.
    """

    def __init__(self) -> None:
        self.pauses = ProcessPauses()
        self._ticked_at: float | None = None
        self._delays: deque[Delay] = deque(maxlen=MAX_DELAYS)

    def record_tick(self, now: float) -> float:
        """Record that the process runs, at intervals of `TICK_S`.

        Returns
        -------
        late_s : float
            How late the tick came, in seconds.
        """
        late_s = 0.0
        if self._ticked_at is not None:
            late_s = max(0.0, now - self._ticked_at - TICK_S)
        self._delays.extend(self._list_overdue(now))
        if self._delays and self._delays[0].ended_at < now - KEPT_S:
            self._delays.popleft()
        self._ticked_at = now
        self.pauses.record_tick(now)
        return late_s

    def was_late(self, since: float, now: float, *, by_s: float = 0.0) -> bool:
        """Return whether this host was late at a moment since a time.

        A delay whose tick hasn't come yet counts: what else was due comes with it.

        Parameters
        ----------
        by_s : float
            Shortest delay that counts, in seconds.
        """
        return any(
            ended_at - began_at >= by_s
            for began_at, ended_at in [*self._delays, *self._list_overdue(now)]
            if ended_at >= since
        )

    def put_off(self, deadline: float, now: float) -> float:
        """Return the end of a time in which this host hears of others, or tells them.

        If it was late at the deadline, that is some time after the delay.
        """
        end, latest = deadline, inf
        for began_at, ended_at in [*self._delays, *self._list_overdue(now)]:
            if began_at < end < ended_at + CATCH_UP_S:
                latest = min(latest, ended_at + MAX_PUT_OFF_S)
                end = min(ended_at + CATCH_UP_S, latest)
        return end

    def _list_overdue(self, now: float) -> list[Delay]:
        """Return the delay whose tick hasn't come yet, if there is one."""
        if self._ticked_at is None or now - self._ticked_at < TICK_S + LATE_S:
            return []
        return [Delay(self._ticked_at + TICK_S, now)]
