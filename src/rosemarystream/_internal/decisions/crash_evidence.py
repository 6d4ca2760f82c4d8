"""Evidence that a part of a prompt crashes the servers that answer on it.

Handles prompts with one part that crashes each server that begins to answer, whatever
else they hold. They come at any host, so that each host sees few of the crashes, and
other requests with most of their parts are sound. A part is to blame if several servers
crashed under requests with it and no such request has been answered since, while other
requests were.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from enum import Enum
from math import inf
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
MAX_SUSPECTS = 16_384
MAX_ANSWERED = 50_000
MAX_CRASHES_OF_PART = 16
MAX_KEPT_PARTS = 131_072
MAX_CRASHES = 256
# Most crashes of single requests that are kept to recognize repeated reports.
MAX_KNOWN = 4_096
# Most parts of one crash that are kept: as many as fit into a header of 16 KB.
MAX_PARTS_OF_CRASH = 4_096


class Suspicion(Enum):
    """Whether a request without a part that may be to blame may reach a server.

    Attributes
    ----------
    FULL
        No: it has all that the crashes have in common.
    SHARED
        The parts that it has and the one that it lacks are alike suspected.
    SLIGHT
        Servers have answered on the parts that it has, and never on one that it lacks.
    """

    FULL = 0
    SHARED = 1
    SLIGHT = 2


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
        # Times of the crashes under each part, by server incarnation.
        self._suspects = BoundedDict[int, BoundedDict[int, float]](most=MAX_SUSPECTS)
        self._answered = BoundedDict[int, float](most=MAX_ANSWERED)
        self._crashes = BoundedDict[int, float](most=MAX_CRASHES)
        # When servers last answered on a part that ran at one that crashed.
        self._suspect_answered_at = -inf
        # Parts of the requests that ran at each server when it crashed.
        self._requests: dict[int, list[tuple[int, ...]]] = {}
        self._kept_parts = 0
        # Servers and hashes of the parts.
        self._known = BoundedDict[tuple[int, int], None](most=MAX_KNOWN)
        self._last_answers: deque[float] = deque(maxlen=MIN_OTHER_ANSWERS)

    def record_crash(self, crash: Crash) -> bool:
        """Record a crash; return whether it is new.

        Copies arrive late and by several ways. They are recognized also after an answer
        has cleared the crash, else hosts would forward it without end.
        """
        request = crash.server, hash(crash.parts)
        if request in self._known:
            return False
        self._known.put(request, None)
        if crash.server not in self._crashes:
            self._crashes.put(crash.server, crash.at)
        if len(crash.parts) > MAX_PARTS_OF_CRASH:
            crash = crash._replace(parts=self._select_least_answered(crash.parts))
        self._keep_request(crash)
        for part in crash.parts:
            crashes = self._suspects.get(part)
            if crashes is None:
                crashes = BoundedDict[int, float](most=MAX_CRASHES_OF_PART)
            self._suspects.put(part, crashes)
            if crash.server not in crashes:
                crashes.put(crash.server, crash.at)
        return True

    def _keep_request(self, crash: Crash) -> None:
        self._requests.setdefault(crash.server, []).append(crash.parts)
        self._kept_parts += len(crash.parts)
        while self._kept_parts > MAX_KEPT_PARTS and len(self._requests) > 1:
            dropped = self._requests.pop(next(iter(self._requests)))
            self._kept_parts -= sum(map(len, dropped))

    def _select_least_answered(self, parts: tuple[int, ...]) -> tuple[int, ...]:
        """Return the parts whose last answers are the longest ago, the last ones first.

        The first parts of a prompt are those that most others share.
        """
        latest_first = sorted(
            reversed(parts), key=lambda part: self._answered.get(part, 0.0)
        )
        return tuple(latest_first[:MAX_PARTS_OF_CRASH])

    def record_own_answer(self, now: float) -> None:
        """Record that a server has answered a request of this host."""
        self._last_answers.append(now)

    def record_answer(self, part: int, at: float) -> bool:
        """Record an answer on a part; return whether it clears the part of crashes."""
        if at <= self._answered.get(part, 0.0):
            return False
        self._answered.put(part, at)
        crashes = self._suspects.get(part)
        if crashes is None:
            return False
        self._suspect_answered_at = max(self._suspect_answered_at, at)
        earlier = [server for server, crash_at in crashes.items() if crash_at <= at]
        for server in earlier:
            del crashes[server]
        return bool(earlier)

    def find_answer(
        self, part: int, now: float, *, max_age_s: float = ANSWER_TTL_S
    ) -> float | None:
        """Return the time of the last answer on a part, or None if it is too old."""
        at = self._answered.get(part)
        return at if at is not None and now - at <= max_age_s else None

    def select_suspects(self, parts: Iterable[int]) -> list[int]:
        """Return the parts of which there are crashes, among those of a prompt."""
        suspects = self._suspects
        return [part for part in parts if part in suspects] if suspects else []

    def is_to_blame(self, part: int, now: float, *, since: float) -> bool:
        """Return whether requests with a part are to be kept from servers.

        Parameters
        ----------
        since : float
            Time after which there has to be a crash; earlier ones count as well.
        """
        crashes = self._list_crashes(part, now)
        if not any(at > since for at in crashes.values()):
            return False
        was_answered = self.find_answer(part, now) is not None
        if len(crashes) < (MIN_CRASHES_AFTER_ANSWER if was_answered else MIN_CRASHES):
            return False
        first_at = min(crashes.values())
        if len(crashes) < MIN_CRASH_SHARE * self.count_crashes_since(first_at):
            return False
        return self._serve_others(first_at) or self._answer_companions(crashes)

    def _list_crashes(self, part: int, now: float) -> dict[int, float]:
        """Return the crashes under a part since the last answer on it, by server."""
        answered_at = self._answered.get(part, 0.0)
        return {
            server: at
            for server, at in self._suspects.get(part, {}).items()
            if at > answered_at and now - at <= CRASH_TTL_S
        }

    def _serve_others(self, since: float) -> bool:
        answers = self._last_answers
        return len(answers) == MIN_OTHER_ANSWERS and answers[0] > since

    def _answer_companions(self, crashes: Mapping[int, float]) -> bool:
        """Return whether servers, of any host, answer parts that ran beside crashes.

        Few callers may share them, so one answer has to do. It has to come after enough
        crashes.
        """
        if len(crashes) < MIN_CRASHES_AFTER_ANSWER:
            return False
        fifth_at = sorted(crashes.values())[MIN_CRASHES_AFTER_ANSWER - 1]
        return self._suspect_answered_at > fifth_at

    def _list_parts(self, server: int) -> set[int]:
        """Return the parts of all requests that ran at a server when it crashed."""
        return set().union(*self._requests.get(server, ()))

    def count_crashes_since(self, since: float) -> int:
        """Return the number of servers that have crashed since a time."""
        return sum(at >= since for at in self._crashes.values())

    def list_unanswered_crashes(
        self, now: float, *, least: int
    ) -> dict[int, list[float]]:
        """Return the times of the crashes under each part since the last answer on it.

        Parameters
        ----------
        least : int
            Parts with fewer crashes are left out.
        """
        times = {
            part: sorted(self._list_crashes(part, now).values())
            for part, crashes in self._suspects.items()
            if len(crashes) >= least
        }
        return {part: at for part, at in times.items() if len(at) >= least}

    def judge_rest(
        self, blamed: Collection[int], parts: Iterable[int], now: float
    ) -> Suspicion:
        """Return how suspect a request is whose parts are to blame or not.

        It is less so if it lacks a part that was there in all crashes of those that are
        to blame, and on which servers haven't answered since the first of them. A part
        that was never answered, and has no crashes that count, excuses nothing: other
        hosts may have blocked it for crashes of which this one has no report. Different
        companions in different crashes don't either, as each would have to crash
        servers by itself.

        Parameters
        ----------
        blamed : collection of int
            The parts of the request that are to blame.
        parts : iterable of int
            All shared parts of the request.
        """
        servers: dict[int, float] = {}
        for part in blamed:
            crashes = self._list_crashes(part, now)
            if not crashes and part not in self._answered:
                return Suspicion.FULL
            servers.update(crashes)
        if not servers:
            # All were answered since the crashes that this host knows.
            return Suspicion.SHARED
        prompts = [self._list_parts(server) for server in servers]
        lacking = set.intersection(*prompts).difference(parts)
        first_at = min(servers.values())
        answered_at = [self._answered.get(part, 0.0) for part in lacking]
        if not any(at < first_at for at in answered_at):
            return Suspicion.FULL
        if 0.0 in answered_at and all(part in self._answered for part in blamed):
            return Suspicion.SLIGHT
        return Suspicion.SHARED

    def list_requests(self, now: float, *, most_parts: int) -> list[Crash]:
        """Return the requests that ran at servers when these crashed, the last first.

        Parameters
        ----------
        most_parts : int
            Most parts of all of them together; further requests are left out.
        """
        listed: list[Crash] = []
        for server, at in reversed([*self._crashes.items()]):
            if now - at > CRASH_TTL_S:
                continue
            for parts in self._requests.get(server, ()):
                most_parts -= len(parts)
                if most_parts < 0:
                    return listed
                listed.append(Crash(server, parts, at))
        return listed

    def find_last_crash(self, parts: Iterable[int], now: float) -> float:
        """Return the time of the last crash under parts; minus infinity if none is."""
        times = [at for part in parts for at in self._list_crashes(part, now).values()]
        return max(times, default=-inf)
