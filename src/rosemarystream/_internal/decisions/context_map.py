"""Map of the prompt parts that backend servers hold in their KV caches.

Hosts fill it from their own requests and from the updates of other hosts. Handles
prompts that come back after a while: a part is found at the server that cached it,
although servers have joined since and the hash would now give another home server.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import hash_name_32
from rosemarystream._internal.decisions.pending_updates import PendingUpdates
from rosemarystream._internal.models.call import PromptPart

# Time since the last use after which a part counts as evicted from a server's cache.
HOLDING_TTL_S = 30.0
MAX_PARTS = 20_000
# Interval after which the use of a part is sent to other hosts again.
RESEND_AFTER_S = 8.0
# Most cache updates in one gossip message, and most that wait to be sent.
UPDATES_PER_MESSAGE = 150
MAX_PENDING_UPDATES = 3_000

# Numbers of a prompt part and of a server that now caches it.
CacheUpdate = tuple[int, int]
# Numbers of a prompt part and of a server that caches it, and the time since its last
# use in milliseconds.
CacheEntry = tuple[int, int, int]
_MS_PER_S = 1000


class _Holding(NamedTuple):
    """Times at which a server used a prompt part.

    Attributes
    ----------
    used_at : float
        Last use.
    sent_at : float
        When an update for other hosts was last queued.
    since : float
        When the server began to prefill the part.
    """

    used_at: float
    sent_at: float
    since: float


def hash_part(model: str, part: PromptPart) -> int:
    """Return the number of a prompt part for one model, a hash of both names."""
    return hash_name_32(f"{model}/{part.name}")


_NOT_HELD = _Holding(-inf, -inf, inf)


class ContextMap:
    """Servers that hold prompt parts, and the updates to send to other hosts.

    Parts and servers are identified by their numbers. A server that holds a part
    also holds all parts before it.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[int, dict[int, _Holding]] = OrderedDict()
        # Each is sent once: two collectors forward the same updates, and a part in use
        # is sent again after `RESEND_AFTER_S`.
        self._pending_updates = PendingUpdates[CacheUpdate](
            rounds=1, per_message=UPDATES_PER_MESSAGE, most=MAX_PENDING_UPDATES
        )

    def record_use(self, parts: Sequence[int], server: int, now: float) -> None:
        """Record that a server uses prompt parts; queue an update if it is new.

        The update names only the last part, which implies those before it.
        """
        for part in parts[:-1]:
            self._record_holding(part, server, now)
        if parts and self._record_holding(parts[-1], server, now):
            self._pending_updates.add((parts[-1], server))

    def accept_cache_updates(
        self, cache_updates: Sequence[CacheUpdate], now: float
    ) -> None:
        """Record the updates of other hosts, and forward those that are new."""
        for part, server in cache_updates:
            if self._record_holding(part, server, now):
                self._pending_updates.add((part, server))

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

    def take_cache_updates(self) -> list[CacheUpdate]:
        """Remove and return the oldest updates, up to the size of a message."""
        return self._pending_updates.take()

    def list_entries(self, now: float) -> list[CacheEntry]:
        """Return the whole map, for a host that has just started."""
        return [
            (part, server, int((now - known.used_at) * _MS_PER_S))
            for part, holders in self._holders.items()
            for server, known in holders.items()
            if now - known.used_at <= HOLDING_TTL_S
        ]

    def accept_entries(self, entries: Sequence[CacheEntry], now: float) -> None:
        """Add the map of another host to this one's own."""
        for part, server, age_ms in entries:
            holders = self._holders.setdefault(part, {})
            used_at = now - age_ms / _MS_PER_S
            known = holders.get(server, _NOT_HELD)
            holders[server] = _Holding(
                used_at=max(used_at, known.used_at),
                # The other hosts know of it.
                sent_at=max(now, known.sent_at),
                since=min(used_at, known.since),
            )
        while len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)

    def is_held(self, part: int, now: float, *, excluded: Collection[int] = ()) -> bool:
        """Return whether any server is known to hold a part, `excluded` not counted."""
        holders = self._holders.get(part, {})
        return any(
            now - known.used_at <= HOLDING_TTL_S
            for server, known in holders.items()
            if server not in excluded
        )

    def count_uncached_tokens(
        self,
        model: str,
        parts: Sequence[PromptPart],
        servers: Iterable[int],
        now: float,
        *,
        min_held_s: float = 0.0,
    ) -> dict[int, int]:
        """Return the number of prompt tokens that each server does not hold.

        Parameters
        ----------
        min_held_s : float
            Count a part as held only if its prefill there began this long ago.
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
        """Drop the parts of a server that has left or restarted."""
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
