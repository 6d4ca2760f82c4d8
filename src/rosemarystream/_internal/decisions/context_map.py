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

from rosemarystream._internal.decisions.hashing import number_name
from rosemarystream._internal.models.call import PromptPart

# Use after which a part is taken to have been dropped from a server's memory.
LIFE_S = 30.0
MAX_PARTS = 20_000
# Time after which a use is told again.
FRESH_S = 8.0
# News that one message carries, and that waits to be told at most.
RUMOURS_PER_BEAT = 150
MAX_RUMOURS = 3_000

Rumour = tuple[int, int]


class _Holding(NamedTuple):
    """When a server last used a part.

    Attributes
    ----------
    told_at : float
        When other hosts were last told so.
    since : float
        When it began to read the part.
    """

    used_at: float
    told_at: float
    since: float


def number_part(model: str, part: PromptPart) -> int:
    """Return the number of a part of a prompt, as one model reads it."""
    return number_name(f"{model}/{part.name}")


_NEVER = _Holding(-inf, -inf, inf)


class ContextMap:
    """Holders of prompt parts with their last use, and news of them to tell.

    Parts and servers are known by their numbers. Who holds a part also holds
    all that come before it.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[int, dict[int, _Holding]] = OrderedDict()
        self._rumours: dict[Rumour, None] = {}

    def note_use(self, parts: Sequence[int], server: int, now: float) -> None:
        """Note that a server reads parts of a prompt, and tell it if it is news.

        The last part stands for those before it.
        """
        for part in parts[:-1]:
            self._note(part, server, now)
        if parts and self._note(parts[-1], server, now):
            self._add_rumour((parts[-1], server))

    def accept_rumours(self, rumours: Sequence[Rumour], now: float) -> None:
        """Take what other hosts have told, and pass it on if it is news."""
        for part, server in rumours:
            if self._note(part, server, now):
                self._add_rumour((part, server))

    def _note(self, part: int, server: int, now: float) -> bool:
        holders = self._holders.setdefault(part, {})
        self._holders.move_to_end(part)
        known = holders.get(server, _NEVER)
        news = now - known.told_at > FRESH_S
        kept = now - known.used_at <= LIFE_S
        holders[server] = _Holding(
            used_at=now,
            told_at=now if news else known.told_at,
            since=known.since if kept else now,
        )
        if len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)
        return news

    def _add_rumour(self, rumour: Rumour) -> None:
        self._rumours[rumour] = None
        if len(self._rumours) > MAX_RUMOURS:
            self._rumours.pop(next(iter(self._rumours)))

    def take_rumours(self) -> list[Rumour]:
        """Return the oldest news, which is then taken as told.

        A message may be lost; two collectors pass on the same news, and a part
        in use is told again after a while.
        """
        taken = list(islice(self._rumours, RUMOURS_PER_BEAT))
        for rumour in taken:
            del self._rumours[rumour]
        return taken

    def is_held(self, part: int, now: float) -> bool:
        """Whether any server is known to hold a part."""
        holders = self._holders.get(part, {})
        return any(now - known.used_at <= LIFE_S for known in holders.values())

    def list_unread(
        self,
        model: str,
        parts: Sequence[PromptPart],
        servers: Iterable[int],
        now: float,
        *,
        held_for_s: float = 0.0,
    ) -> dict[int, int]:
        """Return the tokens of a prompt that each server has yet to read.

        Parameters
        ----------
        held_for_s : float
            Only parts count as read that a server began to read so long ago.
        """
        held = [
            (part.tokens, self._holders.get(number_part(model, part), {}))
            for part in reversed(parts)
        ]
        since = now - held_for_s
        return {server: _count_unread(held, server, now, since) for server in servers}

    def forget_server(self, server: int) -> None:
        """Drop what is known of a server that has left or started anew."""
        for holders in self._holders.values():
            holders.pop(server, None)


def _count_unread(
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
    unread = 0
    for tokens, holders in held:
        holding = holders.get(server, _NEVER)
        if now - holding.used_at <= LIFE_S and holding.since <= since:
            break
        unread += tokens
    return unread
