"""Evidence that a part of a prompt crashes the servers that answer on it.

Handles prompts with one part that crashes each server that begins to answer, whatever
else they hold. They come at any host, so that each host sees few of the crashes, and
other requests with most of their parts are sound. A part is to blame if several servers
crashed under requests with it and no such request has been answered since, while other
requests were.
"""

from collections import deque
from typing import NamedTuple

from rosemarystream._internal.decisions.bounded_dict import BoundedDict

# Crashes without an answer in between from which a part is to blame, and those of a
# part on which servers have answered lately.
MIN_CRASHES = 3
MIN_CRASHES_AFTER_ANSWER = 5
# Time for which an answer on a part counts as recent.
ANSWER_TTL_S = 60.0
# Time for which a crash counts.
CRASH_TTL_S = 1800.0
# Answers on other parts since the first of the crashes: if there are none, the servers
# fail whatever they are asked.
MIN_OTHER_ANSWERS = 3
# Smallest share of all crashes meanwhile that happened under requests with the part.
MIN_CRASH_SHARE = 0.25
# Largest numbers of parts, and of crashes of one part and altogether, that are kept.
MAX_SUSPECTS = 4_096
MAX_ANSWERED = 20_000
MAX_CRASHES_OF_PART = 16
MAX_CRASHES = 256
# Most crashes of single requests that are kept to recognize repeated reports.
MAX_KNOWN = 4_096
# Shared parts of a prompt that are looked at; prompts of real callers have a few, and
# the crashes that a message reports fit into a datagram.
MAX_PARTS_OF_PROMPT = 128


class Crash(NamedTuple):
    """A server that ended while it worked on a request.

    Attributes
    ----------
    server : int
        Number of the server's incarnation.
    parts : tuple of int
        Numbers of the shared prompt parts of the request.
    at : float
        When it ended.
    """

    server: int
    parts: tuple[int, ...]
    at: float


class CrashEvidence:
    """Crashes by prompt part, and the last answer on each part."""

    def __init__(self) -> None:
        self._suspects = BoundedDict[int, BoundedDict[int, Crash]](most=MAX_SUSPECTS)
        self._answered = BoundedDict[int, float](most=MAX_ANSWERED)
        self._crashes = BoundedDict[int, float](most=MAX_CRASHES)
        self._known = BoundedDict[tuple[int, tuple[int, ...]], None](most=MAX_KNOWN)
        self._last_answers: deque[float] = deque(maxlen=MIN_OTHER_ANSWERS)

    def record_crash(self, crash: Crash) -> bool:
        """Record a crash; return whether it is new.

        Copies arrive late and by several ways. They are recognized also after an answer
        has cleared the crash, else hosts would forward it without end.
        """
        request = crash.server, crash.parts
        if request in self._known:
            return False
        self._known.put(request, None)
        if crash.server not in self._crashes:
            self._crashes.put(crash.server, crash.at)
        for part in crash.parts:
            self._record_suspect(part, crash)
        return True

    def _record_suspect(self, part: int, crash: Crash) -> None:
        crashes = self._suspects.get(part)
        if crashes is None:
            crashes = BoundedDict[int, Crash](most=MAX_CRASHES_OF_PART)
        self._suspects.put(part, crashes)
        known = crashes.get(crash.server)
        if known is None:
            crashes.put(crash.server, crash)
        elif len(crash.parts) < len(known.parts):
            crashes[crash.server] = crash

    def record_own_answer(self, now: float) -> None:
        """Record that a server has answered a request of this host."""
        self._last_answers.append(now)

    def record_answer(self, part: int, at: float) -> bool:
        """Record an answer on a part; return whether it clears the part of crashes."""
        if at <= self._answered.get(part, 0.0):
            return False
        self._answered.put(part, at)
        crashes = self._suspects.get(part, {})
        earlier = [server for server, crash in crashes.items() if crash.at <= at]
        for server in earlier:
            del crashes[server]
        return bool(earlier)

    def find_answer(
        self, part: int, now: float, *, max_age_s: float = ANSWER_TTL_S
    ) -> float | None:
        """Return the time of the last answer on a part, or None if it is too old."""
        at = self._answered.get(part)
        return at if at is not None and now - at <= max_age_s else None

    def is_to_blame(self, part: int, now: float, *, since: float) -> bool:
        """Return whether requests with a part are to be kept from servers.

        Parameters
        ----------
        since : float
            Time after which there has to be a crash; earlier ones count as well.
        """
        crashes = self._list_crashes(part, now)
        if not any(crash.at > since for crash in crashes):
            return False
        was_answered = self.find_answer(part, now) is not None
        if len(crashes) < (MIN_CRASHES_AFTER_ANSWER if was_answered else MIN_CRASHES):
            return False
        first_at = min(crash.at for crash in crashes)
        return self._serve_others(first_at) and (
            len(crashes) >= MIN_CRASH_SHARE * self.count_crashes_since(first_at)
        )

    def _list_crashes(self, part: int, now: float) -> list[Crash]:
        """Return the crashes under a part since the last answer on it."""
        answered_at = self._answered.get(part, 0.0)
        return [
            crash
            for crash in self._suspects.get(part, {}).values()
            if crash.at > answered_at and now - crash.at <= CRASH_TTL_S
        ]

    def _serve_others(self, since: float) -> bool:
        answers = self._last_answers
        return len(answers) == MIN_OTHER_ANSWERS and answers[0] > since

    def count_crashes_since(self, since: float) -> int:
        """Return the number of servers that have crashed since a time."""
        return sum(at >= since for at in self._crashes.values())

    def list_unanswered_crashes(
        self, now: float, *, since: float, least: int
    ) -> dict[int, list[float]]:
        """Return the times of the crashes under each part since the last answer on it.

        Parameters
        ----------
        since : float
            Time from which crashes count.
        least : int
            Parts with fewer crashes are left out.
        """
        times = {
            part: sorted(c.at for c in self._list_crashes(part, now) if c.at >= since)
            for part in self._suspects
        }
        return {part: at for part, at in times.items() if len(at) >= least}

    def may_be_sound(self, part: int, now: float) -> bool:
        """Return whether one other part may be to blame for all crashes of a part.

        A part without crashes that count is not known to be sound: other hosts may
        have blocked it for crashes of which this one has no report. Different
        companions in different crashes don't excuse it either, as each would have to
        crash servers by itself.
        """
        prompts = [{*crash.parts} for crash in self._list_crashes(part, now)]
        if not prompts:
            return False
        companions = set.intersection(*prompts) - {part}
        return any(self.find_answer(other, now) is None for other in companions)
