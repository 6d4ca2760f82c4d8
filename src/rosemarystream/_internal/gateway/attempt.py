"""One attempt of a request at one backend server.

Failures are sorted by what is certain about them: `NotRunError` if the request has
not run and won't, `OutcomeUnknownError` if it may have run.
"""

from collections.abc import Callable
from math import inf

from rosemarystream._internal.exceptions import ConnectError
from rosemarystream._internal.gateway.attempt_errors import (
    NotRunError,
    OutcomeUnknownError,
    convert_error,
    is_refusal,
)
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endings import ServerAct
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.platform.headers import (
    AnswerHead,
    decode_answer,
    encode_call,
)
from rosemarystream._internal.utils.http_connection import (
    MAX_DISCARDED_BYTES,
    AnswerTooLongError,
    ClientConnection,
    ConnectionBrokenError,
    join_bounded,
)
from rosemarystream._internal.utils.read_watch import ReadWatch

# Answers read per attempt; late answers to earlier requests are skipped.
MAX_SKIPPED_ANSWERS = 3
# Time in which the rest of an answer is discarded, so that its connection stays usable.
DISCARD_TIMEOUT_S = 0.1


class Attempt:
    """Sends a request to a server and reads the answer.

    Parameters
    ----------
    call : Call
        The caller's request.
    endpoint : Endpoint
        The server it is sent to.
    on_head : callable
        Called with the head of each answer to this request, also of a refusal.
    used_connections : list of ClientConnection
        Connections on which the request was sent before; this attempt adds its own. A
        second copy of an answer may still come on them, with the request's own id.
    find_objection : callable
        Returns why the server may no longer get the request, now that it is connected;
        empty if it may.
    send_by : float
        Time after which the request must not be sent any more.

    Attributes
    ----------
    call, endpoint : Call, Endpoint
        The request and the server.
    reused : bool
        Whether the connection has served earlier requests.
    is_sent : bool
        Whether the server may have received the request.
    begun_at : float or None
        When the head of the answer arrived; None before that.
    heard_at : float or None
        When the request was sent, or the server last sent a part of its answer; None
        before that.
    last_act : ServerAct
        What the server did last; its user records how the attempt failed.
    """

    def __init__(
        self,
        *,
        call: Call,
        endpoint: Endpoint,
        pool: ConnectionPool,
        clock: Callable[[], float],
        on_head: Callable[[AnswerHead], None],
        used_connections: list[ClientConnection],
        find_objection: Callable[[], str] = lambda: "",
        send_by: float = inf,
    ) -> None:
        self.endpoint = endpoint
        self.call = call
        self._pool = pool
        self._clock = clock
        self._on_head = on_head
        self._used_connections = used_connections
        self._find_objection = find_objection
        self._send_by = send_by
        self._connection: ClientConnection | None = None
        self._head: AnswerHead | None = None
        # Whether the rest of a late answer to an earlier request comes first.
        self._is_discarding = False
        self.reused = False
        self.is_sent = False
        self.begun_at: float | None = None
        self.heard_at: float | None = None
        self.last_act = ServerAct.NOT_REACHED

    def send(
        self,
        body: bytes,
        *,
        deadline: float,
        workspace: str | None,
        level: int,
        last_event_id: bytes,
        source: str | None,
    ) -> None:
        """Send the request.

        Parameters
        ----------
        deadline : float
            Time by which the caller needs the answer; also sent to the server.
        level : int
            Priority at the engine; 0 is first.
        last_event_id : bytes
            Identifier of the last event that the caller has, if any.
        source : str or None
            Address of a server to copy the cached context of the prompt from.

        Raises
        ------
        NotRunError
            If no connection can be made, or not in time for the permission, or the
            server may no longer get the request.
        OutcomeUnknownError
            If the connection broke while sending.
        """
        self._check_permission()
        # A caller's repeat may have the same id, and is another request to this host.
        connection = self._pool.take(
            self.endpoint,
            request_id=self.call.request_id,
            excluded=self._used_connections,
        )
        self.reused = connection is not None
        if connection is None:
            try:
                connection = self._pool.open(self.endpoint, deadline)
            except ConnectError as error:
                refused = is_refusal(error)
                raise NotRunError(str(error), sent=False, is_refused=refused) from error
        self._connection = connection
        objection = self._find_objection()
        if objection:
            raise NotRunError(objection, sent=False, withheld=True)
        # Connecting may have taken long.
        self._check_permission()
        self._used_connections.append(connection)
        connection.record_request(self.call.request_id)
        headers = encode_call(
            self.call,
            wait_s=deadline - self._clock(),
            server=self.endpoint.name,
            workspace=workspace,
            level=level,
            last_event_id=last_event_id,
            source=source,
        )
        self.is_sent = True
        self.last_act = ServerAct.NO_ANSWER
        try:
            connection.send(self.call.method, self.call.target, headers, body)
            self.heard_at = self._clock()
        except ConnectionBrokenError as error:
            raise convert_error(error) from error

    def _check_permission(self) -> None:
        """Check that the request may still be sent.

        Raises
        ------
        NotRunError
            If its permission has lapsed.
        """
        if self._clock() > self._send_by:
            raise NotRunError(
                "its permission has lapsed", sent=False, withheld=True, is_late=True
            )

    @property
    def received_at(self) -> float | None:
        """When the server last sent anything; None before that."""
        return self._connection.received_at if self._connection else None

    def watch(self, error: BaseException, *, delay_s: float) -> ReadWatch:
        """Return a watch that raises an error when the server sends something.

        Parameters
        ----------
        delay_s : float
            Time for which what the server sends doesn't count, in seconds.
        """
        assert self._connection is not None
        return self._connection.watch(error, delay_s=delay_s)

    def read_head(self, deadline: float) -> AnswerHead:
        """Return the head of the server's answer to this request.

        To be called again if the server was silent until the deadline.

        Raises
        ------
        NotRunError
            If the server declares that it didn't run the request.
        OutcomeUnknownError
            If there is no usable answer by the deadline.
        """
        assert self._connection is not None
        try:
            for _ in range(MAX_SKIPPED_ANSWERS):
                if self._is_discarding:
                    self._connection.discard_late_answer(deadline)
                    self._is_discarding = False
                head = decode_answer(*self._connection.read_head(deadline))
                if head.request_id in ("", self.call.request_id):
                    break
                self._is_discarding = True
            else:
                raise ConnectionBrokenError("only answers to other requests came")
        except ConnectionBrokenError as error:
            raise convert_error(error) from error
        self._head = head
        self.begun_at = self.heard_at = self._clock()
        self.last_act = ServerAct.ANSWERING
        if head.request_id == "":
            # Also a refusal: it may belong to an earlier request.
            raise OutcomeUnknownError(f"answer {head.status} names no request")
        self._on_head(head)
        if head.not_run:
            rest = self.discard_answer(deadline)
            raise NotRunError(f"turned away with {head.status}{rest}", sent=True)
        if head.is_encoded or not head.is_sealed:
            raise OutcomeUnknownError(f"answer {head.status} is not the server's own")
        return head

    def discard_answer(self, deadline: float) -> str:
        """Read the rest of an answer for a short time, to keep the connection usable.

        Returns
        -------
        str
            Why the connection had to be closed; the head is valid all the same.
        """
        read_by = min(deadline, self._clock() + DISCARD_TIMEOUT_S)
        try:
            self.read_body(read_by, max_bytes=MAX_DISCARDED_BYTES)
        except OutcomeUnknownError as error:
            self.close()
            return f"; the rest was not read: {error}"
        return ""

    def read_piece(self, deadline: float) -> bytes | None:
        """Return the next piece of the body, or None once it is complete.

        Raises
        ------
        OutcomeUnknownError
            If the answer breaks off or nothing comes by the deadline.
        """
        assert self._connection is not None
        assert self._head is not None
        try:
            piece = self._connection.read_piece(deadline)
        except ConnectionBrokenError as error:
            raise convert_error(error) from error
        self.heard_at = self._clock()
        if piece is None:
            self.last_act = ServerAct.ANSWERED
            connection, self._connection = self._connection, None
            if self._head.closes_connection:
                connection.close()
            else:
                keep_alive_s = self._head.keep_alive_s
                self._pool.put(self.endpoint, connection, keep_alive_s=keep_alive_s)
        return piece

    def read_body(self, deadline: float, *, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        OutcomeUnknownError
            If it is longer than `max_bytes`, or as `read_piece` does.
        """
        pieces = iter(lambda: self.read_piece(deadline), None)
        try:
            return join_bounded(pieces, max_bytes, self.endpoint.address)
        except AnswerTooLongError as error:
            raise convert_error(error) from error

    def read_start(self, deadline: float, *, max_bytes: int) -> tuple[bytes, bool]:
        """Return the body, or more than `max_bytes` of it, and whether it is whole.

        Raises
        ------
        OutcomeUnknownError
            As `read_piece` does.
        """
        body = bytearray()
        while len(body) <= max_bytes:
            piece = self.read_piece(deadline)
            if piece is None:
                return bytes(body), True
            body += piece
        return bytes(body), False

    def close(self) -> None:
        """Close the connection if it is still open; the server cancels its work."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
