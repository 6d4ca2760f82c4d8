"""Prompt parts that are kept from servers, and what hosts report to each other of them.

Requests with a blocked part are rejected at once on every host. Each host sends what it
has seen of crashes and answers to the others, and so does a block spread; collectors
repeat the blocks in force for hosts that missed them.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.bounded_dict import BoundedDict
from rosemarystream._internal.decisions.crash_evidence import (
    CRASH_TTL_S,
    Crash,
    CrashEvidence,
    Suspicion,
)
from rosemarystream._internal.decisions.crash_holds import (
    FIRST_TRIAL_S,
    TURN_S,
    CrashHolds,
    HostTurn,
)
from rosemarystream._internal.decisions.pending_updates import PendingUpdates
from rosemarystream._internal.models.gossip import CrashRow, CrashUpdates

# Time for which a part is blocked. The crashes count for longer, so that the first one
# after it blocks the part again.
BLOCK_S = 600.0
# Interval at which a host lets a request with a blocked part through if another part of
# the same prompts may be the one to blame.
TRIAL_INTERVAL_S = 10.0
# Where nothing tells which part it is, hosts take turns with these trials; each has one
# in so many. Where such requests are as rare as this, in seconds for each host, two of
# them hardly come before the first one's end is known everywhere.
MAX_TRIAL_TURNS = 8
RARE_INTERVAL_S = 0.5
# As many as one crash can suspect.
MAX_BLOCKS = 4_096
# Difference in the end of a block that is taken for the time a message takes.
END_TOLERANCE_S = 30.0
# Rounds in which each update is sent, as messages get lost.
SEND_ROUNDS = 3
# Most updates of a kind in one message, most parts of the crashes in it, and most
# updates that wait to be sent.
UPDATES_PER_MESSAGE = 32
ANSWERS_PER_MESSAGE = 512
PARTS_PER_MESSAGE = 2_048
# Most parts of the crashes that a host tells another one that starts.
PARTS_PER_PULL = 16_384
MAX_PENDING_UPDATES = 1_000
MAX_PENDING_ANSWERS = 8_192
# Parts of a crash in one row of a message; further ones follow in rows of their own, as
# hosts of earlier builds look at no more.
PARTS_PER_ROW = 128
# Rounds after which collectors repeat the blocks in force.
REPEAT_BLOCKS_EVERY_ROUNDS = 10
_MS_PER_S = 1000


class Block(NamedTuple):
    """A blocked part, with the times of the begin and the end of its block."""

    part: int
    began_at: float
    until: float


class BlockChange(NamedTuple):
    """A block that has begun or was lifted, for the log."""

    part: int
    is_blocked: bool
    left_s: float


class PromptBlocks:
    """Blocked prompt parts, and the evidence and the updates for other hosts.

    Parameters
    ----------
    find_turn : callable
        Returns the turn of this host at a time, among those that let requests through
        for a trial.
    """

    def __init__(
        self,
        *,
        find_turn: Callable[[float], HostTurn] = lambda now: HostTurn(0, 1),
    ) -> None:
        self._evidence = CrashEvidence()
        self._holds = CrashHolds(evidence=self._evidence, find_turn=find_turn)
        self._blocks: dict[int, Block] = {}
        self._ended_at = BoundedDict[int, float](most=MAX_BLOCKS)
        self._trials: dict[int, float] = {}
        self._changes: list[BlockChange] = []
        self._find_turn = find_turn
        # When a request last came of which nothing tells whether it is sound.
        self._shared_at = -inf
        self._pending_crashes = PendingUpdates[Crash](
            rounds=SEND_ROUNDS,
            per_message=PARTS_PER_MESSAGE,
            most=MAX_PENDING_UPDATES,
            weigh=lambda crash: max(
                len(crash.parts), PARTS_PER_MESSAGE // UPDATES_PER_MESSAGE
            ),
        )
        self._pending_answers = PendingUpdates[int](
            rounds=SEND_ROUNDS,
            per_message=ANSWERS_PER_MESSAGE,
            most=MAX_PENDING_ANSWERS,
        )
        self._pending_blocks = PendingUpdates[int](
            rounds=SEND_ROUNDS,
            per_message=UPDATES_PER_MESSAGE,
            most=MAX_PENDING_UPDATES,
        )
        self._rounds = 0

    # What this host sees

    def record_crash(self, server: int, parts: tuple[int, ...], now: float) -> None:
        """Record that a server incarnation ended under a request with these parts."""
        self._accept_crash(Crash(server, parts, now), now, is_forwarded=True)

    def record_answer(self, parts: Iterable[int], now: float) -> None:
        """Record that a server has answered a request of this host with these parts."""
        self._evidence.record_own_answer(now)
        for part in parts:
            self._accept_answer(part, now, is_forwarded=True)

    def are_answered(self, parts: Iterable[int], now: float) -> bool:
        """Return whether servers have lately answered on all of these parts."""
        return all(self._evidence.find_answer(part, now) is not None for part in parts)

    def find_blocked(self, parts: Sequence[int], now: float) -> int | None:
        """Return the part for which a request has to be rejected, or None.

        Where the crashes may be due to another part of the same prompts, a request
        without that one is let through now and then; its end shows which part it is.
        """
        blocked = self._list_blamed(parts, now)
        if not blocked:
            return self._holds.find_held(parts, now)
        if self._may_try(blocked, parts, now):
            self._trials.update(dict.fromkeys(blocked, now))
            return None
        return blocked[0]

    def _list_blamed(self, parts: Sequence[int], now: float) -> list[int]:
        """Return the parts that are to blame; a prompt may have thousands."""
        if self._blocks:
            suspects = {*self._evidence.select_suspects(parts)}
            listed = [x for x in parts if x in suspects or x in self._blocks]
        else:
            listed = self._evidence.select_suspects(parts)
        return [part for part in listed if self._judge(part, now)]

    def _judge(self, part: int, now: float) -> bool:
        """Return whether a part is blocked; the evidence may begin its block."""
        block = self._blocks.get(part)
        if block is not None and now < block.until:
            return True
        # After a block it takes another crash.
        since = self._ended_at.get(part, -inf)
        if self._holds.is_unproved(part, now):
            return False
        if not self._evidence.is_to_blame(part, now, since=since):
            return False
        self._begin_block(Block(part, now, now + BLOCK_S), now)
        self._pending_blocks.add(part)
        return True

    def _may_try(
        self, blocked: Sequence[int], parts: Sequence[int], now: float
    ) -> bool:
        """Return whether a request with blocked parts is let through for a trial."""
        last_at = max(self._trials.get(part, -inf) for part in blocked)
        if now - last_at < TRIAL_INTERVAL_S:
            return False
        suspicion = self._evidence.judge_rest(blocked, parts, now)
        if suspicion is Suspicion.SHARED:
            return self._has_turn(blocked, now)
        return suspicion is Suspicion.SLIGHT

    def _has_turn(self, blocked: Sequence[int], now: float) -> bool:
        """Return whether it is this host's turn among others, or needs none."""
        last_at = max(self._shared_at, self._evidence.find_last_crash(blocked, now))
        self._shared_at = now
        number, hosts = self._find_turn(now)
        turns = min(max(1, hosts), MAX_TRIAL_TURNS)
        is_rare = now - last_at >= RARE_INTERVAL_S * hosts
        return is_rare or (int(now / TURN_S) + number) % turns == 0

    # Blocks in force

    def _begin_block(self, block: Block, now: float) -> None:
        if block.part not in self._blocks:
            self._changes.append(BlockChange(block.part, True, block.until - now))
        self._blocks[block.part] = block
        if len(self._blocks) > MAX_BLOCKS:
            self._lift(next(iter(self._blocks)))

    def _lift(self, part: int) -> None:
        if self._blocks.pop(part, None) is not None:
            self._trials.pop(part, None)
            self._changes.append(BlockChange(part, False, 0.0))

    def expire(self, now: float) -> None:
        """Lift the blocks whose time is over."""
        for block in [*self._blocks.values()]:
            if now >= block.until:
                self._lift(block.part)
                self._ended_at.put(block.part, block.until)

    def list_blocks(self) -> list[Block]:
        """Return the blocks in force."""
        return [*self._blocks.values()]

    def accept_block(self, block: Block, now: float, *, is_forwarded: bool) -> None:
        """Apply a block that another host or the store knows.

        Parameters
        ----------
        is_forwarded : bool
            Whether it is sent to other hosts if it is new.
        """
        known = self._blocks.get(block.part)
        until = min(block.until, now + BLOCK_S)
        if now >= until:
            return
        if known is not None and until <= known.until + END_TOLERANCE_S:
            return
        answered_at = self._find_answer(block.part, now)
        if answered_at is not None and answered_at > block.began_at:
            # Its sender has not received that answer yet.
            self._pending_answers.add(block.part)
            return
        self._begin_block(block._replace(until=until), now)
        if known is None and is_forwarded:
            self._pending_blocks.add(block.part)

    def _find_answer(self, part: int, now: float) -> float | None:
        """Return the time of the last answer that may lift a block, or None."""
        return self._evidence.find_answer(part, now, max_age_s=BLOCK_S)

    def lift_block(self, part: int, now: float) -> None:
        """Lift a block that an operator has removed; other hosts are notified."""
        if part in self._blocks:
            self._accept_answer(part, now, is_forwarded=True)

    def measure_left(self, part: int, now: float) -> float:
        """Return the time until the end of a part's block or a trial, in seconds."""
        block = self._blocks.get(part)
        return max(0.0, block.until - now) if block else FIRST_TRIAL_S

    def take_changes(self) -> list[BlockChange]:
        """Return the blocks that have begun or ended since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # Exchange with other hosts

    def accept_updates(
        self, updates: CrashUpdates, now: float, *, is_forwarded: bool
    ) -> None:
        """Apply what another host has seen.

        Parameters
        ----------
        is_forwarded : bool
            Whether new updates are forwarded, as collectors do.
        """
        for server, age_ms, parts in _join_rows(updates.crashes):
            at = now - age_ms / _MS_PER_S
            crash = Crash(server, tuple(parts), at)
            self._accept_crash(crash, now, is_forwarded=is_forwarded)
        for part, age_ms in updates.answers:
            at = now - age_ms / _MS_PER_S
            self._accept_answer(part, at, is_forwarded=is_forwarded)
        for part, age_ms, left_ms in updates.blocks:
            block = Block(part, now - age_ms / _MS_PER_S, now + left_ms / _MS_PER_S)
            self.accept_block(block, now, is_forwarded=is_forwarded)

    def _accept_crash(self, crash: Crash, now: float, *, is_forwarded: bool) -> None:
        if not self._evidence.record_crash(crash):
            return
        if is_forwarded:
            self._pending_crashes.add(crash)
        # Other hosts may not know which of its parts servers have answered on.
        for part in crash.parts:
            if self._evidence.find_answer(part, now, max_age_s=CRASH_TTL_S) is not None:
                self._pending_answers.add(part)

    def _accept_answer(self, part: int, at: float, *, is_forwarded: bool) -> None:
        block = self._blocks.get(part)
        is_lifted = block is not None and at > block.began_at
        is_cleared = self._evidence.record_answer(part, at)
        if is_cleared:
            self._holds.reset()
        if is_lifted:
            self._lift(part)
        if (is_lifted or is_cleared) and is_forwarded:
            self._pending_answers.add(part)

    def take_updates(self, now: float, *, repeats_blocks: bool) -> CrashUpdates | None:
        """Return the updates of this round, or None if there are none.

        Parameters
        ----------
        repeats_blocks : bool
            Whether this host is a collector, which repeats the blocks in force.
        """
        self._rounds += 1
        if repeats_blocks and self._rounds % REPEAT_BLOCKS_EVERY_ROUNDS == 0:
            for part in self._blocks:
                self._pending_blocks.add(part, rounds=1)
        crashes = _encode_crashes(self._pending_crashes.take(), now)
        answers = self._list_answers(self._pending_answers.take(), now)
        blocks = self._list_rows(self._pending_blocks.take(), now)
        if not (crashes or answers or blocks):
            return None
        return CrashUpdates(crashes, answers, blocks)

    def list_rows(self, now: float) -> list[tuple[int, int, int]]:
        """Return all blocks, for a host that has just started."""
        return self._list_rows(self._blocks, now)

    def list_evidence(self, now: float) -> CrashUpdates:
        """Return the crashes and answers from which a host that starts can judge.

        Parts that are held back are not blocked, and follow from these alone.
        """
        crashes = self._evidence.list_requests(now, most_parts=PARTS_PER_PULL)
        parts = dict.fromkeys(part for crash in crashes for part in crash.parts)
        return CrashUpdates(
            _encode_crashes(crashes, now), self._list_answers(parts, now)
        )

    def _list_answers(self, parts: Iterable[int], now: float) -> list[tuple[int, int]]:
        times = {
            part: self._evidence.find_answer(part, now, max_age_s=CRASH_TTL_S)
            for part in parts
        }
        return [
            (part, _to_age_ms(at, now)) for part, at in times.items() if at is not None
        ]

    def _list_rows(
        self, parts: Iterable[int], now: float
    ) -> list[tuple[int, int, int]]:
        blocks = [self._blocks[part] for part in parts if part in self._blocks]
        return [
            (block.part, _to_age_ms(block.began_at, now), _to_age_ms(now, block.until))
            for block in blocks
            if now < block.until
        ]


def _encode_crashes(crashes: Iterable[Crash], now: float) -> list[CrashRow]:
    return [
        (crash.server, _to_age_ms(crash.at, now), [*parts])
        for crash in crashes
        for parts in _split_parts(crash.parts)
    ]


def _split_parts(parts: tuple[int, ...]) -> Iterator[tuple[int, ...]]:
    """Yield the parts of a crash by rows of a message, at least one."""
    for start in range(0, max(1, len(parts)), PARTS_PER_ROW):
        yield parts[start : start + PARTS_PER_ROW]


def _join_rows(rows: Iterable[CrashRow]) -> list[CrashRow]:
    """Return the crashes of a message, each with all of its parts.

    A row goes on with the one before if that is full and of the same crash.
    """
    crashes: list[CrashRow] = []
    may_go_on = False
    for server, age_ms, parts in rows:
        if may_go_on and crashes[-1][:2] == (server, age_ms):
            crashes[-1] = (server, age_ms, crashes[-1][2] + parts)
        else:
            crashes.append((server, age_ms, parts))
        may_go_on = len(parts) == PARTS_PER_ROW
    return crashes


def _to_age_ms(since: float, until: float) -> int:
    return max(0, int((until - since) * _MS_PER_S))
