"""Which backend servers hold which parts of prompts, as far as hosts have told.

Answers the pattern of subjects that return: a part that was read once is found
again wherever it was read, though servers have joined since and a hash would
now name another home.
"""

from collections import OrderedDict
from collections.abc import Sequence

from rosemarystream._internal.models.call import PromptPart

# Use after which a part is taken to have been dropped from a server's memory.
LIFE_S = 60.0
MAX_PARTS = 20_000
# A use that is this recent isn't told again.
FRESH_S = 5.0
# Time for which news is repeated to other hosts, as messages may be lost.
RUMOUR_S = 0.45
MAX_RUMOURS = 200

Rumour = tuple[str, str]


class ContextMap:
    """Holders of prompt parts with their last use, and news of them to tell."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._rumours: dict[Rumour, float] = {}

    def note_use(self, parts: Sequence[str], server: str, now: float) -> None:
        """Note that a server reads parts of a prompt, and tell it if it is news."""
        for part in parts:
            if self._note(part, server, now):
                self._add_rumour((part, server), now)

    def accept_rumours(self, rumours: Sequence[Rumour], now: float) -> None:
        """Take what other hosts have told, and pass it on if it is news."""
        for part, server in rumours:
            if self._note(part, server, now):
                self._add_rumour((part, server), now)

    def _note(self, part: str, server: str, now: float) -> bool:
        holders = self._holders.setdefault(part, {})
        self._holders.move_to_end(part)
        news = now - holders.get(server, -LIFE_S) > FRESH_S
        holders[server] = now
        if len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)
        return news

    def _add_rumour(self, rumour: Rumour, now: float) -> None:
        self._rumours[rumour] = now + RUMOUR_S
        if len(self._rumours) > MAX_RUMOURS:
            self._rumours.pop(next(iter(self._rumours)))

    def list_rumours(self, now: float) -> list[Rumour]:
        """Return the news that still has to be told."""
        for rumour in [r for r, until in self._rumours.items() if until <= now]:
            del self._rumours[rumour]
        return [*self._rumours]

    def count_unread(
        self, model: str, parts: Sequence[PromptPart], server: str, now: float
    ) -> int:
        """Return the tokens of a prompt that a server has yet to read."""
        unread = sum(part.tokens for part in parts)
        for part in parts:
            used_at = self._holders.get(f"{model}/{part.name}", {}).get(server)
            if used_at is None or now - used_at > LIFE_S:
                break
            unread -= part.tokens
        return unread

    def forget_server(self, server: str) -> None:
        """Drop what is known of a server that has left or started anew."""
        for holders in self._holders.values():
            holders.pop(server, None)
