"""Random workloads of the two suppliers, reproducible from a seed."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from bench.engines import Job
from bench.world import Outcome, SimulatedHost, World
from rosemarystream._internal.models.configuration import (
    Pool,
    PoolKind,
    Rank,
    Sheet,
    Workspace,
)
from rosemarystream._internal.models.request import ContextHint, Work

RANKS = (
    Rank("urgent", 1, 0.0, 330, 10.0, 0.1),
    Rank("standard", 2, 0.2, 1_000, 3.0),
    Rank("routine", 3, 0.1, 5_000, 1.0),
)
LARGE_WORKSPACES = 2
LARGE_SHARE = 0.6
LONG_HISTORY_SHARE = 0.2
DEADLINE_SECONDS = {"urgent": 10.0, "standard": 30.0, "routine": 60.0}
RANK_SHARES = {"urgent": 0.25, "standard": 0.45, "routine": 0.30}


class Supplier(NamedTuple):
    """Holds the fleet size and prompt lengths of one supplier.

    Attributes
    ----------
    name : str
        Name of the workload.
    engines : int
        Model engines, spread over three data centres.
    delay : float
        One-way delay between data centres in seconds, used for every message
        between hosts.
    history_tokens : tuple of (int, int)
        Range of the prompt tokens with which an ordinary chat begins.
    long_history_tokens : tuple of (int, int)
        The same for a chat with a long history.
    """

    name: str
    engines: int
    delay: float
    history_tokens: tuple[int, int]
    long_history_tokens: tuple[int, int]


MALINGSIRKELEN = Supplier("malingsirkelen", 5, 0.001, (200, 1_500), (4_000, 10_000))
ADEYEMI = Supplier("adeyemi", 6, 0.0005, (200, 1_500), (10_000, 30_000))
SUPPLIERS = {supplier.name: supplier for supplier in (MALINGSIRKELEN, ADEYEMI)}
DATA_CENTRES = ("dc1", "dc2", "dc3")
HOSTS = 9
WORKSPACES = 10
SLOTS = 16
CACHE_TOKENS = 400_000


def make_sheet(load_multiple: float = 1.5, slots: int = SLOTS) -> Sheet:
    """Return the sheet of a workload: one model pool, `WORKSPACES` workspaces."""
    pool = Pool("lm", PoolKind.MODEL, "lm", "1", load_multiple, slots, True)
    workspace_rows = tuple(
        Workspace(f"w{number}", "0" * 64, "urgent", 1.0) for number in range(WORKSPACES)
    )
    return Sheet(ranks=RANKS, pools=(pool,), workspaces=workspace_rows)


def make_world(
    supplier: Supplier, *, load_multiple: float = 1.5, cache_tokens: int = CACHE_TOKENS
) -> World:
    """Return a settled world with the hosts and engines of a supplier."""
    world = World(delay=supplier.delay)
    for number in range(HOSTS):
        world.add_host(f"h{number}", DATA_CENTRES[number % 3])
    for number in range(supplier.engines):
        world.add_engine(
            f"e{number}",
            DATA_CENTRES[number % 3],
            slots=SLOTS,
            cache_tokens=cache_tokens,
        )
    world.publish(make_sheet(load_multiple))
    world.run(6.0)
    return world


class Chat:
    """Chat of a caller; its context grows from turn to turn."""

    def __init__(self, *, name: str, workspace: str, rank: str, tokens: int) -> None:
        self.name = name
        self.workspace = workspace
        self.rank = rank
        self.tokens = tokens
        self.hint: ContextHint | None = None
        self.is_busy = False


class Traffic:
    """Generates the turns of a set of chats.

    Parameters
    ----------
    random : Random
        Random number generator.
    supplier : Supplier
        Supplier that sets the prompt lengths.
    chats : int
        Number of chats.
    with_hints : bool
        Whether callers send the context hint of the last answer back.
    """

    def __init__(
        self, *, random: Random, supplier: Supplier, chats: int, with_hints: bool = True
    ) -> None:
        self._random = random
        self._with_hints = with_hints
        self._number = 0
        self.chats = [self._make_chat(number, supplier) for number in range(chats)]
        self._by_request: dict[str, Chat] = {}

    def _make_chat(self, number: int, supplier: Supplier) -> Chat:
        random = self._random
        is_long = random.random() < LONG_HISTORY_SHARE
        low, high = supplier.long_history_tokens if is_long else supplier.history_tokens
        large = random.random() < LARGE_SHARE
        first, last = (0, LARGE_WORKSPACES) if large else (LARGE_WORKSPACES, WORKSPACES)
        return Chat(
            name=f"chat-{number}",
            workspace=f"w{random.randrange(first, last)}",
            rank=random.choices(list(RANK_SHARES), list(RANK_SHARES.values()))[0],
            tokens=random.randrange(low, high),
        )

    def pick_idle_chat(self) -> Chat | None:
        """Return a random chat without a turn in progress; None after 20 tries."""
        for _ in range(20):
            chat = self._random.choice(self.chats)
            if not chat.is_busy:
                return chat
        return None

    def make_turn(
        self, chat: Chat, now: float, *, answer_tokens: int | None = None
    ) -> tuple[Work, Job]:
        """Return the next turn of a chat, which is busy until its outcome."""
        random = self._random
        self._number += 1
        chat.is_busy = True
        chat.tokens += random.randrange(20, 120)
        answer = answer_tokens or random.randrange(20, 200)
        rank = next(rank for rank in RANKS if rank.name == chat.rank)
        work = Work(
            request_id=f"r{self._number}",
            workspace=chat.workspace,
            pool="lm",
            rank=chat.rank,
            affinity_key=chat.name,
            cost=chat.tokens + answer,
            context_tokens=chat.tokens,
            deadline=now + DEADLINE_SECONDS[chat.rank],
            idempotent=True,
            hint=chat.hint if self._with_hints else None,
            body=b"",
        )
        self._by_request[work.request_id] = chat
        return work, Job(work.request_id, chat.name, chat.tokens, answer, rank.order)

    def record_outcome(self, outcome: Outcome, world: World) -> None:
        """Mark the chat of an ended request as idle and keep its hint if answered."""
        chat = self._by_request.pop(outcome.work.request_id, None)
        if chat is None:
            return
        chat.is_busy = False
        if outcome.kind is None:
            chat.hint = world.hint(outcome.server)


def run_workload(
    world: World,
    traffic: Traffic,
    random: Random,
    *,
    rate: Callable[[float], float],
    seconds: float,
    send: Callable[[SimulatedHost, Work, Job], None] | None = None,
) -> None:
    """Send turns to random hosts for some seconds.

    Requests still in progress then end while the caller runs the world on. `rate`
    returns the arrivals per second at a given number of seconds since the start.
    Arrivals are exponentially distributed.
    """
    start = world.now
    world.on_outcome = lambda outcome: traffic.record_outcome(outcome, world)
    deliver = send or world.request

    def arrive() -> None:
        elapsed = world.now - start
        if elapsed >= seconds:
            return
        chat = traffic.pick_idle_chat()
        names = sorted(world.hosts)
        if chat is not None and names:
            entry = world.hosts[random.choice(names)]
            deliver(entry, *traffic.make_turn(chat, world.now))
        world.schedule.after(random.expovariate(rate(elapsed)), arrive)

    arrive()
    world.run(seconds)
