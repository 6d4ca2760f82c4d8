"""Which backend servers hold which parts of prompts, as far as hosts have told.

Answers the pattern of subjects that return: a part that was read once is found
again wherever it was read, though servers have joined since and a hash would
now name another home.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from itertools import islice
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import hash_name_32
from rosemarystream._internal.models.call import PromptPart

# Use after which a part is taken to have been dropped from a server's memory.
HOLDING_TTL_S = 30.0
MAX_PARTS = 20_000
# Time after which a use is told again.
RESEND_AFTER_S = 8.0
# News that one message carries, and that waits to be told at most.
UPDATES_PER_MESSAGE = 150
MAX_PENDING_UPDATES = 3_000

CacheUpdate = tuple[int, int]


class _Holding(NamedTuple):
    """When a server last used a part.

    Attributes
    ----------
    sent_at : float
        When other hosts were last told so.
    since : float
        When it began to read the part.
    """

    used_at: float
    sent_at: float
    since: float


def hash_part(model: str, part: PromptPart) -> int:
    """Return the number of a part of a prompt, as one model reads it."""
    return hash_name_32(f"{model}/{part.name}")


_NOT_HELD = _Holding(-inf, -inf, inf)


class ContextMap:
    """Holders of prompt parts with their last use, and news of them to tell.

    Parts and servers are known by their numbers. Who holds a part also holds
    all that come before it.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[int, dict[int, _Holding]] = OrderedDict()
        self._pending_updates: dict[CacheUpdate, None] = {}

    def record_use(self, parts: Sequence[int], server: int, now: float) -> None:
        """Note that a server reads parts of a prompt, and tell it if it is news.

        The last part stands for those before it.
        """
        for part in parts[:-1]:
            self._record_holding(part, server, now)
        if parts and self._record_holding(parts[-1], server, now):
            self._queue_update((parts[-1], server))

    def accept_cache_updates(
        self, cache_updates: Sequence[CacheUpdate], now: float
    ) -> None:
        """Take what other hosts have told, and pass it on if it is news."""
        for part, server in cache_updates:
            if self._record_holding(part, server, now):
                self._queue_update((part, server))

    def _record_holding(self, part: int, server: int, now: float) -> bool:
        holders = self._holders.setdefault(part, {})
        self._holders.move_to_end(part)
        known = holders.get(server, _NOT_HELD)
        is_new = now - known.sent_at > RESEND_AFTER_S
        is_still_held = now - known.used_at <= HOLDING_TTL_S
        holders[server] = _Holding(
            used_at=now,
            sent_at=now if is_new else known.sent_at,
            since=known.since if is_still_held else now,
        )
        if len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)
        return is_new

    def _queue_update(self, update: CacheUpdate) -> None:
        self._pending_updates[update] = None
        if len(self._pending_updates) > MAX_PENDING_UPDATES:
            self._pending_updates.pop(next(iter(self._pending_updates)))

    def take_cache_updates(self) -> list[CacheUpdate]:
        """Return the oldest news, which is then taken as told.

        A message may be lost; two collectors pass on the same news, and a part
        in use is told again after a while.
        """
        taken = list(islice(self._pending_updates, UPDATES_PER_MESSAGE))
        for update in taken:
            del self._pending_updates[update]
        return taken

    def is_held(self, part: int, now: float) -> bool:
        """Whether any server is known to hold a part."""
        holders = self._holders.get(part, {})
        return any(now - known.used_at <= HOLDING_TTL_S for known in holders.values())

    def count_uncached_tokens(
        self,
        model: str,
        parts: Sequence[PromptPart],
        servers: Iterable[int],
        now: float,
        *,
        min_held_s: float = 0.0,
    ) -> dict[int, int]:
        """Return the tokens of a prompt that each server has yet to read.

        Parameters
        ----------
        held_for_s : float
            Only parts count as read that a server began to read so long ago.
        """
        held = [
            (part.tokens, self._holders.get(hash_part(model, part), {}))
            for part in reversed(parts)
        ]
        since = now - min_held_s
        return {
            server: _count_uncached_tokens(held, server, now, since)
            for server in servers
        }

    def forget_server(self, server: int) -> None:
        """Drop what is known of a server that has left or started anew."""
        for holders in self._holders.values():
            holders.pop(server, None)


def _count_uncached_tokens(
    held: Sequence[tuple[int, Mapping[int, _Holding]]],
    server: int,
    now: float,
    since: float,
) -> int:
    """Count the tokens after the last part that a server holds.

    Parameters
    ----------
    held : sequence of tuple
        Tokens and holders of each part, the last part first.
    """
    uncached_tokens = 0
    for tokens, holders in held:
        holding = holders.get(server, _NOT_HELD)
        if now - holding.used_at <= HOLDING_TTL_S and holding.since <= since:
            break
        uncached_tokens += tokens
    return uncached_tokens
