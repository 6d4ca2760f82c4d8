"""Limits on the memory, connections and requests of callers.

Callers may pipeline requests without end, leave answers unread, or open connections
and send nothing. One budget counts what is held for all of them at its cost in memory.
As it fills up, less is read ahead, then connections are closed, first those that hold
most and read nothing, and at last requests are refused before they run.
"""

from collections import Counter
from enum import IntEnum, StrEnum
from heapq import nsmallest
from typing import NamedTuple

# Memory of the process before any traffic, with room for the state of a large fleet
# and for messages of other hosts and the store.
RESERVED_BYTES = 90_000_000
# Share of the rest for what the process holds for callers. The other part is for the
# buffers of the kernel and for memory that the allocator can't reuse.
PROCESS_SHARE = 0.6
# Part of the memory for bytes that the kernel has received and nobody has read.
RECEIVE_SHARE = 0.1
# Smallest budget: it takes one body of the default limit with its request.
MIN_BYTES = 12_000_000
# Most bytes of request bodies at the same time, on hosts with much memory.
MAX_BODY_BYTES = 64_000_000
BODY_SHARE = 0.75

# Descriptors for files, and for listeners, the store and other hosts.
FILE_DESCRIPTORS = 200
FIXED_DESCRIPTORS = 100
# Shares of the other descriptors: connections of callers, requests in progress, each
# with a connection to a server, and idle connections to servers. The rest is for second
# attempts beside a first one.
CONNECTION_SHARE = 0.45
REQUEST_SHARE = 0.4
IDLE_SERVER_SHARE = 0.1

# Shares of the budget from which less is read ahead, and connections are closed.
SCARCE_SHARE = 0.5
CLOSE_SHARE = 0.75
# Share to which closing returns, so that it isn't due again at once.
CLOSE_TARGET_SHARE = 0.7

# Cost of a connection and of a request in progress, without their bytes: 11 KB and
# 20 KB of the process, and what the kernel keeps for their sockets. To that comes one
# piece of the answer as it is read while scarce, in three copies: as it was received,
# split off, and as it is sent. Without it, requests that begin before their answers
# arrive exceed the budget together.
CONNECTION_COST = 16_000
REQUEST_COST = 80_000
COPIES = 3
# Sizes up to this are covered by the costs above and are not counted.
SMALL_BYTES = 4_096
# What a caller that doesn't read takes of the kernel beside the bytes not yet sent: its
# send buffer, and the receive buffer of the server's connection.
UNREAD_COST = 262_144
# A growing body takes an eighth more than its bytes, and its end a copy for a moment.
BODY_COST_FACTOR = 1.25

# Bytes of requests that are read ahead on one connection.
READ_AHEAD_BYTES = 262_144
# Bytes read at once, and bytes of an answer held until it is whole, while scarce.
SCARCE_READ_BYTES = 8_192
SCARCE_ANSWER_BYTES = 16_384
READ_BYTES = 65_536
ANSWER_BYTES = 262_144

# Requests that may be served at the same time of those that were sent before the answer
# to an earlier one, over all connections. Others wait for their turn.
PIPELINED_REQUESTS = 32
# A caller that has neither sent nor read for this time is closed before others; for the
# shorter time while requests are refused. Over 5 Mbit/s a caller that reads takes
# something every 0.1 s.
STALLED_S = 1.0
STALLED_WHILE_FULL_S = 0.3
# A caller that has been reading one piece of an answer for this time may be closed.
SLOW_S = 2.0
# Interval of choices that found too little to close.
CHOICE_INTERVAL_S = 0.1
# Part of the connections that is closed together, so that few choices are made.
CLOSED_TOGETHER = 64
# Part of the free receive buffers that one connection is granted, and its bounds, as
# the kernel counts them.
GRANT_PART = 32
MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES = 16_384, 262_144


class HeldKind(StrEnum):
    """What is held for callers, as the metrics name it."""

    CONNECTIONS = "connections"
    REQUESTS = "requests"
    READ_AHEAD = "read_ahead"
    BODIES = "bodies"
    ANSWERS = "answers"
    UNREAD = "unread"


class CloseCause(StrEnum):
    """Why a connection is closed to make room."""

    UNREAD_ANSWER = "unread_answer"
    STALLED_REQUEST = "stalled_request"
    PIPELINED = "pipelined"
    SLOW_READER = "slow_reader"
    IDLE = "idle"


class RefusalCause(StrEnum):
    """Why a connection or a request is refused."""

    CONNECTIONS = "connections"
    ADDRESS = "address"
    REQUESTS = "requests"
    BYTES = "bytes"
    TURN = "turn"


class Phase(IntEnum):
    """What a connection is doing."""

    IDLE = 0
    WAITING = 1
    READING = 2
    SERVING = 3
    WRITING = 4


# Order in which connections are closed for their bytes.
_RANKS = {cause: rank for rank, cause in enumerate(CloseCause)}


class BudgetLimits(NamedTuple):
    """Limits on what is held for callers.

    Attributes
    ----------
    total_bytes, body_bytes : int
        Cost in memory of everything, and of request bodies alone.
    receive_bytes : int
        Sum of the receive buffers of callers' connections, besides their smallest size.
    connections, requests : int
        Open connections, and requests in progress.
    idle_servers : int
        Idle connections to servers.
    per_address : int
        Connections from one address; 0 for no limit.
    """

    total_bytes: int
    body_bytes: int
    receive_bytes: int
    connections: int
    requests: int
    idle_servers: int
    per_address: int


def derive_limits(
    *, memory_mb: int, max_descriptors: int, per_address: int
) -> BudgetLimits:
    """Return the limits of a machine.

    Parameters
    ----------
    memory_mb : int
        Memory of the machine, in megabytes.
    max_descriptors : int
        Descriptors of the process, with those that are reserved for files.
    per_address : int
        Connections allowed from one address; 0 for no limit.
    """
    memory = memory_mb * 1_000_000
    total = max(MIN_BYTES, int((memory - RESERVED_BYTES) * PROCESS_SHARE))
    usable = max(20, max_descriptors - FILE_DESCRIPTORS - FIXED_DESCRIPTORS)
    return BudgetLimits(
        total_bytes=total,
        body_bytes=min(MAX_BODY_BYTES, int(total * BODY_SHARE)),
        receive_bytes=int(memory * RECEIVE_SHARE),
        connections=int(usable * CONNECTION_SHARE),
        requests=int(usable * REQUEST_SHARE),
        idle_servers=int(usable * IDLE_SERVER_SHARE),
        per_address=per_address,
    )


class CallerAccount:
    """What is held for one connection.

    Attributes
    ----------
    address : str
        IP address of the caller.
    total : int
        Cost in memory of all that is held.
    requests : int
        Requests that have begun on it.
    receive_bytes : int
        Receive buffer granted to the connection, in bytes as the kernel counts them.
    phase : Phase
        What it is doing.
    phase_at, moved_at : float
        When that began, and when the caller last sent or took something meanwhile.
    closed_for : CloseCause or None
        Why it is being closed to make room.
    is_counted : bool
        Whether what it holds counts; not after it was closed or chosen to be.
    """

    __slots__ = (
        "_budget",
        "_held",
        "address",
        "closed_for",
        "is_counted",
        "moved_at",
        "phase",
        "phase_at",
        "receive_bytes",
        "requests",
        "total",
    )

    def __init__(self, budget: "CallerBudget", address: str, now: float) -> None:
        self._budget = budget
        self._held = dict.fromkeys(HeldKind, 0)
        self.address = address
        self.total = 0
        self.requests = 0
        self.receive_bytes = 0
        self.phase = Phase.IDLE
        self.phase_at = self.moved_at = now
        self.closed_for: CloseCause | None = None
        self.is_counted = True

    def hold(self, kind: HeldKind, size: int) -> None:
        """Set what is held of a kind, in bytes."""
        added = size - self._held[kind]
        if not added:
            return
        self._held[kind] = size
        self.total += added
        if self.is_counted:
            self._budget.count(kind, added)

    def get_held(self, kind: HeldKind) -> int:
        """Return what is held of a kind, in bytes."""
        return self._held[kind]

    def enter(self, phase: Phase, now: float) -> None:
        """Record what the connection is doing from now on."""
        self.phase = phase
        self.phase_at = self.moved_at = now

    def list_held(self) -> list[tuple[HeldKind, int]]:
        """Return what is held by kind."""
        return [*self._held.items()]


class CallerBudget:
    """Counts what is held for all callers and decides who makes room.

    Attributes
    ----------
    limits : BudgetLimits
        The limits in force.
    total : int
        Cost in memory of all that is held, in bytes.
    held : dict of HeldKind to int
        The same by kind.
    requests : int
        Requests in progress.
    """

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self.total = 0
        self.held = dict.fromkeys(HeldKind, 0)
        self.requests = 0
        self._accounts: set[CallerAccount] = set()
        self._by_address: Counter[str] = Counter()
        self._granted = 0
        self._next_choice_at = 0.0
        self._next_connection_choice_at = 0.0
        self._scarce_bytes = int(limits.total_bytes * SCARCE_SHARE)
        self._close_bytes = int(limits.total_bytes * CLOSE_SHARE)

    def count(self, kind: HeldKind, added: int) -> None:
        """Count a change of what an account holds."""
        self.held[kind] += added
        self.total += added

    @property
    def connections(self) -> int:
        """Number of connections that count."""
        return len(self._accounts)

    @property
    def is_scarce(self) -> bool:
        """Whether less is to be read ahead and to be held."""
        return self.total > self._scarce_bytes

    @property
    def is_short(self) -> bool:
        """Whether connections are to be closed."""
        return self.total > self._close_bytes

    @property
    def is_full(self) -> bool:
        """Whether requests are to be refused."""
        return self.total > self.limits.total_bytes

    @property
    def has_body_room(self) -> bool:
        """Whether more of a request's body may be read."""
        return self.held[HeldKind.BODIES] <= self.limits.body_bytes and not self.is_full

    @property
    def has_request_room(self) -> bool:
        """Whether another request may begin."""
        return self.requests < self.limits.requests and not self.is_full

    def find_refusal(self, address: str) -> RefusalCause | None:
        """Return why a new connection is refused, if it is."""
        if 0 < self.limits.per_address <= self._by_address[address]:
            return RefusalCause.ADDRESS
        if len(self._accounts) >= self.limits.connections:
            return RefusalCause.CONNECTIONS
        return None

    def open(self, address: str, now: float) -> CallerAccount:
        """Return the account of a new connection."""
        account = CallerAccount(self, address, now)
        self._accounts.add(account)
        self._by_address[address] += 1
        left = self.limits.receive_bytes - self._granted
        grant = min(max(left // GRANT_PART, MIN_RECEIVE_BYTES), MAX_RECEIVE_BYTES)
        account.receive_bytes = grant
        self._granted += grant
        account.hold(HeldKind.CONNECTIONS, CONNECTION_COST)
        return account

    def close(self, account: CallerAccount) -> None:
        """Stop counting a connection."""
        if account not in self._accounts:
            return
        self._accounts.remove(account)
        account.is_counted = False
        self._granted -= account.receive_bytes
        self._by_address[account.address] -= 1
        if not self._by_address[account.address]:
            del self._by_address[account.address]
        for kind, size in account.list_held():
            self.count(kind, -size)

    def choose_closed(self, now: float) -> list[CallerAccount]:
        """Return the connections to close for their bytes, which no longer count.

        First those that hold most and read nothing.
        """
        if not self.is_short or now < self._next_choice_at:
            return []
        excess = self.total - int(self.limits.total_bytes * CLOSE_TARGET_SHARE)
        stalled_s = STALLED_WHILE_FULL_S if self.is_full else STALLED_S
        candidates = []
        for account in self._accounts:
            cause = _find_cause(account, now, stalled_s)
            if cause is not None:
                candidates.append((_RANKS[cause], -account.total, account, cause))
        candidates.sort(key=lambda candidate: candidate[:2])
        chosen = []
        for _, size, account, cause in candidates:
            if excess <= 0:
                break
            excess += size
            self._release(account, cause)
            chosen.append(account)
        if excess > 0:
            self._next_choice_at = now + CHOICE_INTERVAL_S
        return chosen

    def choose_for_connection(self, now: float) -> list[CallerAccount]:
        """Return connections to close so that another one may open.

        First idle ones that have never sent a request.
        """
        if now < self._next_connection_choice_at:
            return []
        candidates = []
        for account in self._accounts:
            cause = _find_cause(account, now, STALLED_S)
            if cause is not None:
                order = (
                    cause is not CloseCause.IDLE,
                    account.requests > 0,
                    account.moved_at,
                )
                candidates.append((order, account, cause))
        size = max(1, self.limits.connections // CLOSED_TOGETHER)
        chosen = nsmallest(size, candidates, key=lambda candidate: candidate[0])
        for _, account, cause in chosen:
            self._release(account, cause)
        if not chosen:
            self._next_connection_choice_at = now + CHOICE_INTERVAL_S
        return [account for _, account, _ in chosen]

    def _release(self, account: CallerAccount, cause: CloseCause) -> None:
        self.close(account)
        account.closed_for = cause


def _find_cause(
    account: CallerAccount, now: float, stalled_s: float
) -> CloseCause | None:
    """Return why a connection may be closed to make room, if it may."""
    phase = account.phase
    if phase is Phase.IDLE:
        return CloseCause.IDLE
    if phase is Phase.WAITING:
        return CloseCause.PIPELINED
    is_stalled = now - account.moved_at >= stalled_s
    if phase is Phase.READING and is_stalled:
        return CloseCause.STALLED_REQUEST
    if phase is Phase.WRITING:
        if is_stalled:
            return CloseCause.UNREAD_ANSWER
        if now - account.phase_at >= SLOW_S:
            return CloseCause.SLOW_READER
    return None
