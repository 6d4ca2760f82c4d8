"""Asks the first server of a broken stream to stop its run and to move it."""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from rosemarystream._internal.decisions.stream_backups import FirstServer, judge_move
from rosemarystream._internal.exceptions import ConnectError
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.platform.headers import decode_answer
from rosemarystream._internal.platform.run_moves import (
    FREE_METHOD,
    MOVE_METHOD,
    MOVE_TARGET,
    decode_handle,
    encode_free_target,
    encode_headers,
    encode_move,
)
from rosemarystream._internal.utils.http_connection import (
    ClientConnection,
    ConnectionBrokenError,
    ServerClosedError,
)

# Time for the answer to a move. What the other server lacks of a run travels within it:
# the copy is several times a second behind at most.
MOVE_TIMEOUT_S = 1.0
# Time until a server is asked again that has closed the connection, as one does that is
# about to crash, or that has another call about the run in progress.
REPEAT_DELAY_S = 0.05
MAX_ANSWER_BYTES = 16_384
# Time for freeing a handle, for which the end of a broken stream waits.
FREE_TIMEOUT_S = 0.1


class RunState(NamedTuple):
    """What is known of a run at its first server.

    Attributes
    ----------
    handle : str
        Handle of the run that was stopped; empty if there is none.
    reason : str
        What this rests on.
    """

    state: FirstServer
    handle: str
    reason: str


class RunMover:
    """Stops runs at their servers, and moves them to others."""

    def __init__(self, *, pool: ConnectionPool, clock: Callable[[], float]) -> None:
        self._pool = pool
        self._clock = clock

    def stop_run(
        self,
        call: Call,
        first: Endpoint,
        backup: Endpoint,
        *,
        may_move: bool,
        deadline: float,
    ) -> RunState:
        """Find out whether a server works on a run no more, and stop it if need be.

        Parameters
        ----------
        may_move : bool
            Whether servers of this service know the call; otherwise one that accepts a
            connection may be at work.
        """
        deadline = min(deadline, self._clock() + MOVE_TIMEOUT_S)
        while True:
            found = self._ask(call, first, backup, may_move, deadline)
            is_final = found.state is not FirstServer.BUSY
            if is_final or self._clock() + REPEAT_DELAY_S >= deadline:
                return found
            gevent.sleep(REPEAT_DELAY_S)

    def free_handle(self, first: Endpoint, handle: str) -> None:
        """Free a handle that isn't used; if that fails it expires at its server."""
        deadline = self._clock() + FREE_TIMEOUT_S
        try:
            connection = self._pool.open(first, deadline)
        except ConnectError:
            return
        try:
            headers = encode_headers(server=first.name, address=first.address)
            connection.send(FREE_METHOD, encode_free_target(handle), headers)
            connection.read_head(deadline)
        except ConnectionBrokenError:
            return
        finally:
            connection.close()

    def _ask(
        self,
        call: Call,
        first: Endpoint,
        backup: Endpoint,
        may_move: bool,
        deadline: float,
    ) -> RunState:
        try:
            # A new connection, on which no late answer to another request can come.
            connection = self._pool.open(first, deadline)
        except ConnectError as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            state = FirstServer.GONE if is_refused else FirstServer.UNKNOWN
            return RunState(state, "", str(error))
        try:
            if not may_move:
                return RunState(FirstServer.UNKNOWN, "", "it accepts connections")
            return self._move(connection, call, first, backup, deadline)
        except ServerClosedError as error:
            return RunState(FirstServer.BUSY, "", str(error))
        except ConnectionBrokenError as error:
            return RunState(FirstServer.UNKNOWN, "", str(error))
        finally:
            connection.close()

    def _move(
        self,
        connection: ClientConnection,
        call: Call,
        first: Endpoint,
        backup: Endpoint,
        deadline: float,
    ) -> RunState:
        headers = encode_headers(server=first.name, address=first.address)
        body = encode_move(call.request_id, to=backup.address)
        connection.send(MOVE_METHOD, MOVE_TARGET, headers, body)
        head = decode_answer(*connection.read_head(deadline))
        handle = decode_handle(
            connection.read_body(deadline, max_bytes=MAX_ANSWER_BYTES)
        )
        reason = f"it answered the move with {head.status}"
        if head.request_id not in ("", call.request_id):
            return RunState(FirstServer.UNKNOWN, "", f"{reason} to another request")
        return RunState(judge_move(head.status, handle), handle, reason)
