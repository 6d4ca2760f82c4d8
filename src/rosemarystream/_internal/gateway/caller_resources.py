"""Applies the budget of what is held for callers to their connections."""

from collections.abc import Callable
from typing import Protocol

from gevent import socket
from gevent.lock import BoundedSemaphore
from logbook import Logger

from rosemarystream._internal.decisions.caller_budget import (
    ANSWER_BYTES,
    BODY_COST_FACTOR,
    COPIES,
    MAX_RECEIVE_BYTES,
    PIPELINED_REQUESTS,
    READ_AHEAD_BYTES,
    READ_BYTES,
    REQUEST_COST,
    SCARCE_ANSWER_BYTES,
    SCARCE_READ_BYTES,
    SMALL_BYTES,
    UNREAD_COST,
    BudgetLimits,
    CallerAccount,
    CallerBudget,
    CloseCause,
    HeldKind,
    Phase,
    RefusalCause,
)
from rosemarystream._internal.decisions.window_limit import WindowLimit
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.metrics import CallerGauges, GatewayMetrics
from rosemarystream._internal.gateway.request_errors import RefusedRequestError
from rosemarystream._internal.models.log_entries.callers import (
    CallerClosed,
    CallerRefused,
)

log = Logger(__name__)

# Delay advised to a caller that found no room, in seconds.
NO_ROOM_RETRY_S = 0.5
# Buffers for what is sent to callers and received from servers, and for what is
# received from callers, unless less is granted; the kernel doubles them. A window of
# 64 KB carries 100 Mbit/s over 5 ms. The larger one takes fewer reads for a long body.
ANSWER_BUFFER_BYTES = 65_536
REQUEST_BUFFER_BYTES = MAX_RECEIVE_BYTES // 2
# Buffers for answers of requests that begin while memory is scarce.
SCARCE_BUFFER_BYTES = 16_384
# Requests behind the last ones of their connections that are counted in a second: some
# 50 ms of work. Thousands may be left when many connections end at once.
UNSERVED_PER_S = 256
# Refused connections that are answered at the same time; others are closed at once.
ANSWERED_REFUSALS = 32
# Limits of the addresses for operators, from which few connections come.
OPERATOR_LIMITS = BudgetLimits(
    total_bytes=8_000_000,
    body_bytes=5_000_000,
    receive_bytes=4_000_000,
    connections=40,
    requests=40,
    idle_servers=0,
    per_address=0,
)


class Closable(Protocol):
    """A connection that can be closed to make room."""

    def close_for_room(self, cause: CloseCause) -> None:
        """Close the connection without waiting."""


class CallerResources:
    """What is held for the callers of one listener.

    Parameters
    ----------
    limits : BudgetLimits
        Limits of the listener.
    metrics : GatewayMetrics or None
        Counts who is refused and closed; None for listeners of operators.

    Attributes
    ----------
    budget : CallerBudget
        Decides who makes room.
    pipelined_slots : BoundedSemaphore
        Is held while a request is served that was sent before the answer to an earlier
        one on its connection.
    unserved : WindowLimit
        Allows to count one more request that wasn't served as its connection ended.
    """

    def __init__(
        self,
        *,
        limits: BudgetLimits,
        clock: Callable[[], float],
        metrics: GatewayMetrics | None = None,
    ) -> None:
        self.budget = CallerBudget(limits)
        self.pipelined_slots = BoundedSemaphore(PIPELINED_REQUESTS)
        self.unserved = WindowLimit(most=UNSERVED_PER_S)
        self._clock = clock
        self._metrics = metrics
        self._connections: dict[CallerAccount, Closable] = {}
        self._answered_refusals = 0

    def admit(self, address: str) -> RefusalCause | None:
        """Make room for a new connection; return why it is refused, if it is."""
        cause = self.budget.find_refusal(address)
        if cause is RefusalCause.CONNECTIONS:
            self._close(self.budget.choose_for_connection(self._clock()))
            cause = self.budget.find_refusal(address)
        if cause is not None:
            self.record_refusal(cause, address)
        return cause

    def open(self, connection: Closable, address: str) -> "CallerHoldings":
        """Count a connection."""
        account = self.budget.open(address, self._clock())
        self._connections[account] = connection
        return CallerHoldings(resources=self, account=account, clock=self._clock)

    def close(self, account: CallerAccount) -> None:
        """Stop counting a connection."""
        self.budget.close(account)
        self._connections.pop(account, None)

    def begin_refusal(self) -> bool:
        """Return whether a refused connection is answered."""
        if self._answered_refusals >= ANSWERED_REFUSALS:
            return False
        self._answered_refusals += 1
        return True

    def end_refusal(self) -> None:
        """Record that the answer to a refused connection has ended."""
        self._answered_refusals -= 1

    def make_room(self) -> None:
        """Close connections if too much is held."""
        if self.budget.is_short:
            self._close(self.budget.choose_closed(self._clock()))

    def _close(self, accounts: list[CallerAccount]) -> None:
        for account in accounts:
            connection = self._connections.pop(account, None)
            if connection is None or account.closed_for is None:
                continue
            connection.close_for_room(account.closed_for)
            if self._metrics is not None:
                self._metrics.callers_closed.labels(account.closed_for).inc()
            entry = CallerClosed(
                cause=account.closed_for,
                address=account.address,
                bytes=account.total,
                all_bytes=self.budget.total,
                connections=self.budget.connections,
            )
            write_log_entry(log, entry)

    def record_refusal(self, cause: RefusalCause, address: str) -> None:
        """Log and count a refused connection or request."""
        if self._metrics is not None:
            self._metrics.callers_refused.labels(cause).inc()
        entry = CallerRefused(
            cause=cause,
            address=address,
            all_bytes=self.budget.total,
            connections=self.budget.connections,
            requests=self.budget.requests,
        )
        write_log_entry(log, entry)

    @property
    def answer_read_bytes(self) -> int:
        """Most bytes of an answer to read from a server at once."""
        return SCARCE_ANSWER_BYTES if self.budget.is_scarce else READ_BYTES

    @property
    def answer_buffer_bytes(self) -> int:
        """Receive buffer of a new connection to a server."""
        return SCARCE_BUFFER_BYTES if self.budget.is_scarce else ANSWER_BUFFER_BYTES

    def collect_gauges(self) -> CallerGauges:
        """Return what is held now."""
        budget = self.budget
        return CallerGauges(
            connections=budget.connections,
            max_connections=budget.limits.connections,
            max_requests=budget.limits.requests,
            max_bytes=budget.limits.total_bytes,
            held={kind.value: size for kind, size in budget.held.items()},
        )


class CallerHoldings:
    """What is held for one connection, as its reader and its writer count it.

    Attributes
    ----------
    account : CallerAccount
        The counts.
    """

    def __init__(
        self,
        *,
        resources: CallerResources,
        account: CallerAccount,
        clock: Callable[[], float],
    ) -> None:
        self.account = account
        self._resources = resources
        self._budget = resources.budget
        self._clock = clock
        self._is_begun = False
        self._socket: socket.socket | None = None

    def limit_buffers(self, opened: socket.socket) -> None:
        """Set the receive buffer of the connection, where the usual one is too much."""
        self._socket = opened
        granted = self.account.receive_bytes
        if granted < MAX_RECEIVE_BYTES:
            # The kernel doubles what it is given.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, granted // 2)

    @property
    def read_bytes(self) -> int:
        """Most bytes to read at once."""
        return SCARCE_READ_BYTES if self._budget.is_scarce else READ_BYTES

    @property
    def answer_bytes(self) -> int:
        """Most bytes of an answer to hold until it is whole."""
        return SCARCE_ANSWER_BYTES if self._budget.is_scarce else ANSWER_BYTES

    def find_read_ahead(self, held: int) -> int:
        """Return how many bytes may be read beyond those that are held already."""
        return 0 if self._budget.is_scarce else READ_AHEAD_BYTES - held

    def hold_read_ahead(self, size: int) -> None:
        """Count what has been read and isn't part of a request yet."""
        self.account.hold(HeldKind.READ_AHEAD, size if size > SMALL_BYTES else 0)
        self._resources.make_room()

    def hold_answer(self, size: int) -> None:
        """Count what is held of an answer until it is whole."""
        self.account.hold(HeldKind.ANSWERS, size if size > SMALL_BYTES else 0)
        self._resources.make_room()

    def begin_wait(self) -> None:
        """Record that a request waits for its turn."""
        self.account.enter(Phase.WAITING, self._clock())

    def begin_read(self) -> None:
        """Record that the first byte of a request was read."""
        self.account.enter(Phase.READING, self._clock())

    def record_received(self) -> None:
        """Record that the caller has sent something."""
        self.account.moved_at = self._clock()

    def hold_body(self, size: int) -> None:
        """Count the body of a request, which is being read.

        Raises
        ------
        RefusedRequestError
            If there is no room for it.
        """
        self.account.hold(HeldKind.BODIES, int(size * BODY_COST_FACTOR))
        self._resources.make_room()
        if not self._budget.has_body_room:
            raise self.make_refusal(
                RefusalCause.BYTES, "too many large requests at once"
            )

    def begin_request(self) -> None:
        """Count a request that was read whole.

        Raises
        ------
        RefusedRequestError
            If there is no room for it.
        """
        budget = self._budget
        self._resources.make_room()
        if not budget.has_request_room:
            raise self.make_refusal(
                RefusalCause.BYTES if budget.is_full else RefusalCause.REQUESTS,
                "too many requests at once",
            )
        self._is_begun = True
        budget.requests += 1
        self.account.requests += 1
        self.account.enter(Phase.SERVING, self._clock())
        self.account.hold(HeldKind.REQUESTS, REQUEST_COST)
        if budget.is_scarce and self._socket is not None:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SCARCE_BUFFER_BYTES
            )
            # Once for each connection.
            self._socket = None

    def end_request(self) -> None:
        """Stop counting a request, whether it had begun or was only being read."""
        account = self.account
        if self._is_begun:
            self._is_begun = False
            self._budget.requests -= 1
        for kind in (HeldKind.REQUESTS, HeldKind.BODIES, HeldKind.ANSWERS):
            account.hold(kind, 0)
        account.enter(Phase.IDLE, self._clock())

    def begin_write(self, size: int) -> None:
        """Count bytes that the caller has not taken yet."""
        self.account.enter(Phase.WRITING, self._clock())
        self.account.hold(HeldKind.UNREAD, COPIES * size + UNREAD_COST)
        self._resources.make_room()

    def end_write(self) -> None:
        """Record that the caller has taken them, or the answer has ended."""
        self.account.enter(Phase.SERVING, self._clock())
        self.account.hold(HeldKind.UNREAD, 0)

    def record_taken(self) -> None:
        """Record that the caller has taken some bytes."""
        self.account.moved_at = self._clock()

    def make_refusal(self, cause: RefusalCause, message: str) -> RefusedRequestError:
        """Return the error of a request that is refused for lack of room."""
        self._resources.record_refusal(cause, self.account.address)
        return RefusedRequestError(
            ErrorKind.OVERLOADED, message, retry_after_s=NO_ROOM_RETRY_S
        )

    @property
    def pipelined_slots(self) -> BoundedSemaphore:
        """Turns of requests that were sent before the answer to an earlier one."""
        return self._resources.pipelined_slots

    def close(self) -> None:
        """Stop counting the connection."""
        self.end_request()
        self._resources.close(self.account)
