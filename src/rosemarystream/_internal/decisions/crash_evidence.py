"""Evidence that a part of a prompt crashes the servers that answer on it.

Handles prompts with one part that crashes each server that begins to answer, whatever
else they hold. They come at any host, so that each host sees few of the crashes, and
other requests with most of their parts are sound. A part is to blame if several servers
crashed under requests with it and no such request has been answered since, while other
requests were.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

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
# Shared parts of a prompt that are looked at; prompts of real callers have a few.
MAX_PARTS_OF_PROMPT = 8


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
        self._suspects: OrderedDict[int, dict[int, Crash]] = OrderedDict()
        self._answered: OrderedDict[int, float] = OrderedDict()
        self._crashes: OrderedDict[int, float] = OrderedDict()
        self._last_answers: deque[float] = deque(maxlen=MIN_OTHER_ANSWERS)

    def record_crash(self, crash: Crash) -> bool:
        """Record a crash; return whether it was not known for all of its parts."""
        self._crashes.setdefault(crash.server, crash.at)
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        return any([self._record_suspect(part, crash) for part in crash.parts])

    def _record_suspect(self, part: int, crash: Crash) -> bool:
        crashes = self._suspects.setdefault(part, {})
        self._suspects.move_to_end(part)
        known = crashes.get(crash.server)
        if known is None or len(crash.parts) < len(known.parts):
            crashes[crash.server] = crash
        if len(crashes) > MAX_CRASHES_OF_PART:
            del crashes[next(iter(crashes))]
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return known is None

    def record_own_answer(self, now: float) -> None:
        """Record that a server has answered a request of this host."""
        self._last_answers.append(now)

    def record_answer(self, part: int, at: float) -> bool:
        """Record an answer on a part; return whether it clears the part of crashes."""
        if at <= self._answered.get(part, 0.0):
            return False
        self._answered[part] = at
        self._answered.move_to_end(part)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
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

    def is_to_blame(self, part: int, now: float) -> bool:
        """Return whether requests with a part are to be kept from servers."""
        crashes = self._list_crashes(part, now)
        was_answered = self.find_answer(part, now) is not None
        if len(crashes) < (MIN_CRASHES_AFTER_ANSWER if was_answered else MIN_CRASHES):
            return False
        first_at = min(crash.at for crash in crashes)
        return self._serve_others(first_at) and (
            len(crashes) >= MIN_CRASH_SHARE * self._count_crashes_since(first_at)
        )

    def find_last_crash(self, part: int, now: float) -> float | None:
        """Return the time of the last crash that counts against a part, or None."""
        crashes = self._list_crashes(part, now)
        return max((crash.at for crash in crashes), default=None)

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

    def _count_crashes_since(self, since: float) -> int:
        return sum(at >= since for at in self._crashes.values())

    def is_only_suspect(self, part: int, now: float) -> bool:
        """Return whether a crash can't be due to another part of the same prompt."""
        return any(
            all(
                other == part or self.find_answer(other, now) is not None
                for other in crash.parts
            )
            for crash in self._list_crashes(part, now)
        )
