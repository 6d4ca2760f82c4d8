"""Requests that are held back while servers crash and nothing else tells why.

Where a part ends every server within moments, no host sees other prompts answered, so
no part can be proved to be to blame. But each crashed server worked on a request with
it. Requests that have all of the parts that are common to the crashes are held back;
those that lack one of them go on. Their answers clear the parts that they have, and
what is left is the part. Hosts take turns to let a held request through: its answer
ends the hold, its crash is the proof.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from rosemarystream._internal.decisions.crash_evidence import (
    MAX_CRASHES_OF_PART,
    CrashEvidence,
)

# Crashes under a part, with no answer on it since the first, after which it is held.
MIN_CRASHES_OF_HOLD = 5
# Time after these in which an answer that was under way may still come.
SETTLE_S = 1.0
# Time between two crashes in which they belong together, and the longest hold after the
# last one, if there is no trial that it waits for.
HOLD_S = 60.0
# Smallest share of the crashes meanwhile that happened under requests with the part;
# some reports get lost.
MIN_SHARE = 0.75
# Time from the begin of a hold to the first trial, and the turn of each host.
FIRST_TRIAL_S = 2.0
TURN_S = 1.0
# Time after the crash of a trial in which there is no other one; it grows each time, up
# to a limit.
TRIAL_PAUSE_S = 10.0
TRIAL_PAUSE_GROWTH = 4
LONGEST_TRIAL_PAUSE_S = 80.0
# Time from the begin of a hold in which requests that were sent before may crash.
UNDER_WAY_S = 0.5
# Time for which a result is used again, as there may be many requests.
REUSE_S = 0.05


class HostTurn(NamedTuple):
    """When a host has its turn among others.

    Attributes
    ----------
    number : int
        Number of the host, the same for all its life and spread evenly over hosts.
    hosts : int
        Number of live hosts.
    """

    number: int
    hosts: int


class Hold(NamedTuple):
    """Parts whose requests are held back, if they have all of them.

    Attributes
    ----------
    began_at, trial_at : float
        When it began, and from when on a request may be let through.
    is_proved : bool
        Whether a server has crashed under a request that was let through.
    """

    parts: frozenset[int]
    began_at: float
    trial_at: float
    is_proved: bool


class CrashHolds:
    """Finds out which requests are held back.

    Parameters
    ----------
    find_turn : callable
        Returns the turn of this host at a time.
    """

    def __init__(
        self, *, evidence: CrashEvidence, find_turn: Callable[[float], HostTurn]
    ) -> None:
        self._evidence = evidence
        self._find_turn = find_turn
        self._hold: Hold | None = None
        self._reused_until = 0.0
        self._tried_turn = -1

    def find_held(self, parts: Sequence[int], now: float) -> int | None:
        """Return the part for which a request is held back, or None."""
        hold = self._find_hold(now)
        if hold is None or not hold.parts.issubset(parts):
            return None
        if self._take_trial(hold, now):
            return None
        return next(part for part in reversed(parts) if part in hold.parts)

    def is_unproved(self, part: int, now: float) -> bool:
        """Return whether a part is held, and may yet turn out to be sound."""
        hold = self._find_hold(now)
        return hold is not None and part in hold.parts and not hold.is_proved

    def reset(self) -> None:
        """Look at the evidence again, as an answer has cleared a part of crashes."""
        self._reused_until = 0.0

    def _take_trial(self, hold: Hold, now: float) -> bool:
        """Return whether it is this host's turn to let a request through."""
        turn = int((now - hold.began_at) / TURN_S)
        if now < hold.trial_at or turn == self._tried_turn:
            return False
        own = self._find_turn(now)
        if (turn + own.number) % max(1, own.hosts):
            return False
        self._tried_turn = turn
        return True

    def _find_hold(self, now: float) -> Hold | None:
        if now >= self._reused_until:
            self._hold = self._compute_hold(now)
            self._reused_until = now + REUSE_S
        return self._hold

    def _compute_hold(self, now: float) -> Hold | None:
        # Crashes of trials are far apart, and the hold lasts all the while.
        longest_s = HOLD_S + LONGEST_TRIAL_PAUSE_S
        if not self._evidence.count_crashes_since(now - longest_s):
            return None
        listed = self._evidence.list_unanswered_crashes(now, least=MIN_CRASHES_OF_HOLD)
        chains = {
            part: _select_chain(at, longest_s)
            for part, at in listed.items()
            if now - at[-1] <= longest_s
        }
        times = {
            part: at for part, at in chains.items() if len(at) >= MIN_CRASHES_OF_HOLD
        }
        if not times:
            return None
        first_at = min(crashes[0] for crashes in times.values())
        total = self._evidence.count_crashes_since(first_at)
        least = MIN_SHARE * min(total, MAX_CRASHES_OF_PART)
        common = {part: at for part, at in times.items() if len(at) >= least}
        if not common:
            return None
        return _make_hold(common, now)


def _select_chain(times: list[float], longest_s: float) -> list[float]:
    """Return the last of some times, as far as none is long after the one before."""
    for place in range(len(times) - 1, 0, -1):
        if times[place] - times[place - 1] > longest_s:
            return times[place:]
    return times


def _make_hold(common: dict[int, list[float]], now: float) -> Hold | None:
    """Return the hold of the parts that are common to crashes, once it has begun."""
    # Another part may have its fifth crash only by that of a trial.
    began_at = SETTLE_S + min(at[MIN_CRASHES_OF_HOLD - 1] for at in common.values())
    if now < began_at:
        return None
    later = {
        crashed_at
        for crashes in common.values()
        for crashed_at in crashes
        if crashed_at > began_at + UNDER_WAY_S
    }
    trial_at = began_at + FIRST_TRIAL_S
    ends_at = HOLD_S + max(at[-1] for at in common.values())
    if later:
        pause_s = TRIAL_PAUSE_S * TRIAL_PAUSE_GROWTH ** (len(later) - 1)
        trial_at = max(later) + min(pause_s, LONGEST_TRIAL_PAUSE_S)
        ends_at = trial_at + HOLD_S
    if now >= ends_at:
        return None
    return Hold(frozenset(common), began_at, trial_at, bool(later))
