"""Simulated model engines for the benchmarks."""

from collections import OrderedDict, deque
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

PREFILL_TOKENS_PER_SECOND = 8_000.0
SECONDS_PER_TOKEN = 0.04
REPORT_LAG_SECONDS = 0.3


class Job(NamedTuple):
    """Holds what an engine knows of a request.

    Attributes
    ----------
    request_id, chat : str
        Identifier of the request, and key of the prefix cache.
    prompt_tokens, answer_tokens : int
        Tokens to prefill (less the cached ones) and to generate.
    priority : int
        Lower values are served first; 1 is the highest priority.
    """

    request_id: str
    chat: str
    prompt_tokens: int
    answer_tokens: int
    priority: int


class PrefixCache:
    """LRU cache of prompt prefixes by chat; sizes and limit in tokens."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._used = 0

    def match(self, chat: str) -> int:
        """Return how many tokens of a chat are cached, and mark it as recently used."""
        if chat in self._sizes:
            self._sizes.move_to_end(chat)
        return self._sizes.get(chat, 0)

    def store(self, chat: str, tokens: int) -> None:
        """Cache the tokens of a chat; over the limit, evict the least recently used."""
        self._used += tokens - self._sizes.pop(chat, 0)
        self._sizes[chat] = tokens
        while self._used > self._limit and len(self._sizes) > 1:
            _, size = self._sizes.popitem(last=False)
            self._used -= size


class SimulatedEngine:
    """Engine with slots, a prefix cache, a priority queue and delayed load reports."""

    def __init__(self, *, name: str, slots: int, cache_tokens: int) -> None:
        self.name = name
        self.slots = slots
        self.cache = PrefixCache(limit=cache_tokens)
        self.carried = 0
        self.peak = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self._busy = 0
        self._waiting: list[tuple[int, int, Job]] = []
        self._numbers = count()
        self._history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def take(self, job: Job, now: float) -> Job | None:
        """Accept a job; return it if it starts now, None if it is queued."""
        self._record_load_change(1, now)
        if self._busy < self.slots:
            self._busy += 1
            return job
        heappush(self._waiting, (job.priority, next(self._numbers), job))
        return None

    def run(self, job: Job) -> tuple[float, float]:
        """Count the prompt tokens of a started job and return its durations.

        Returns
        -------
        tuple of (float, float)
            Seconds to the first token and to the end of the job.
        """
        cached = min(self.cache.match(job.chat), job.prompt_tokens)
        self.prompt_tokens += job.prompt_tokens
        self.cached_tokens += cached
        prefill = (job.prompt_tokens - cached) / PREFILL_TOKENS_PER_SECOND
        first = prefill + SECONDS_PER_TOKEN
        return first, prefill + job.answer_tokens * SECONDS_PER_TOKEN

    def finish(self, job: Job, now: float) -> Job | None:
        """End a job; return the queued one that starts now, if any."""
        self.cache.store(job.chat, job.prompt_tokens + job.answer_tokens)
        self._record_load_change(-1, now)
        return self._start_next()

    def _start_next(self) -> Job | None:
        self._busy -= 1
        if not self._waiting:
            return None
        self._busy += 1
        return heappop(self._waiting)[2]

    def abort(self, job: Job, now: float) -> Job | None:
        """Cancel a job; return the queued one that starts now in its place, if any."""
        self._record_load_change(-1, now)
        waiting = [entry for entry in self._waiting if entry[2] == job]
        if waiting:
            self._waiting.remove(waiting[0])
            heapify(self._waiting)
            return None
        return self._start_next()

    def _record_load_change(self, change: int, now: float) -> None:
        self.carried += change
        self.peak = max(self.peak, self.carried)
        self._history.append((now, self.carried))

    def get_reported_load(self, now: float) -> int:
        """Return the load as it was `REPORT_LAG_SECONDS` ago."""
        cutoff = now - REPORT_LAG_SECONDS
        while len(self._history) > 1 and self._history[1][0] <= cutoff:
            self._history.popleft()
        return self._history[0][1]
