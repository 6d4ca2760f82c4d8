"""One caller's connection: strict HTTP/1.1, one request at a time.

Pipelined requests are buffered up to a limit and served in order. A caller's
disconnect ends the request that is being served.
"""

from collections.abc import Callable, Iterator
from itertools import islice
from typing import NamedTuple

import gevent
import h11
from gevent import socket
from logbook import Logger

from rosemarystream._internal.decisions.caller_budget import (
    READ_BYTES,
    CloseCause,
    RefusalCause,
)
from rosemarystream._internal.exceptions import ErrorKind, Execution
from rosemarystream._internal.gateway.answer_writer import (
    AnswerWriter,
    CallerDisconnectedError,
)
from rosemarystream._internal.gateway.caller_resources import (
    NO_ROOM_RETRY_S,
    CallerResources,
)
from rosemarystream._internal.gateway.disconnect_watch import DisconnectWatch
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.pipelined_requests import split_requests
from rosemarystream._internal.gateway.request_errors import (
    HostStoppedError,
    RefusedRequestError,
)
from rosemarystream._internal.gateway.request_ledger import (
    BegunRequest,
    RequestLedger,
    find_cause,
)
from rosemarystream._internal.gateway.request_reader import (
    Request,
    RequestReader,
)
from rosemarystream._internal.models.endings import EndingCause
from rosemarystream._internal.models.log_entries.requests import (
    CallerConnectionBroken,
    RequestRefusedEarly,
)
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.utils.loop_share import LoopShare
from rosemarystream._internal.utils.socket_options import reset_on_close

log = Logger(__name__)

# Requests behind the last one on a connection that are counted when it ends.
MAX_COUNTED_UNSERVED = 32
# Time after its begin in which a connection without a request isn't taken for idle.
FIRST_REQUEST_S = 0.5
# Time in which what comes after the last answer, as the rest of a refused request, is
# read and discarded.
LINGER_TIMEOUT_S = 0.5
EXTRA_LINGER_BYTES = 1_000_000


Handler = Callable[[Request, AnswerWriter], None]


class _Refusal(NamedTuple):
    """Error answer to a request that was not read completely."""

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None
    execution: Execution | None = None


_NOT_RUN_FAILURE = _Refusal(
    ErrorKind.INTERNAL, "an unexpected error in this host", execution=Execution.NOT_RUN
)


class CallerConnection:
    """Serves one caller's connection.

    Parameters
    ----------
    handler : callable
        Answers a request; runs in the connection's greenlet, in which
        `CallerDisconnectedError` is raised when the caller disconnects.
    get_limits : callable
        Returns the limits in force.
    record_error : callable
        Called with an error that no code expects.
    ledger : RequestLedger or None
        Counts the requests, if they are to be counted.
    address : str
        IP address of the caller.
    resources : CallerResources
        What is held for all connections.
    is_leaving : callable
        Returns whether the host is shutting down.

    Attributes
    ----------
    busy : bool
        Whether a request that was read whole is in progress.
    """

    def __init__(
        self,
        *,
        opened: socket.socket,
        handler: Handler,
        get_limits: Callable[[], CallerLimits],
        record_error: Callable[[Exception], None],
        clock: Callable[[], float],
        ledger: RequestLedger | None,
        address: str,
        resources: CallerResources,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._socket = opened
        self._handler = handler
        self._get_limits = get_limits
        self._record_error = record_error
        self._clock = clock
        self._ledger = ledger
        self._is_leaving = is_leaving
        self._resources = resources
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._holdings = resources.open(self, address)
        self._reader = RequestReader(
            opened=opened, holdings=self._holdings, clock=clock
        )
        self.busy = False
        self._closed = False
        # Whether the next request is refused, as the room of the connection was needed.
        self._has_no_room = False
        self._has_slot = False
        # Whether the last answer has announced that this host closes the connection.
        self._is_closing = False
        self._greenlet = gevent.getcurrent()
        self._refusal: _Refusal | None = None
        self._watch: DisconnectWatch | None = None
        self._loop_share = LoopShare()
        self._connected_at = clock()
        self._requests = 0

    def run(self) -> None:
        """Serve requests until either side closes."""
        cause = EndingCause.CONNECTION_CLOSED
        try:
            self._holdings.limit_buffers(self._socket)
            while not self._closed and self._serve_next():
                self._reader.has_begun = False
            if self._refusal is not None:
                self._refuse(self._refusal)
            elif self._is_closing:
                self._linger()
        except CallerDisconnectedError:
            cause = EndingCause.CALLER_GONE
        except HostStoppedError:
            cause = EndingCause.HOST_STOPPED
        except OSError as error:
            if not self._closed:
                write_log_entry(log, CallerConnectionBroken(error=str(error)))
        finally:
            self._release()
        self._count_unserved(cause)

    def _release(self) -> None:
        """Close the connection, and stop counting it and its refusal."""
        self._socket.close()
        self._holdings.close()
        if self._has_no_room:
            self._has_no_room = False
            self._resources.end_refusal()

    def _count_unserved(self, cause: EndingCause) -> None:
        """Count the whole requests that were read behind the last one.

        Of a caller that has sent more of them, and of many callers that leave at once,
        the rest is taken for unread.
        """
        # What follows a request that was refused unread may be its rest.
        if not self._reader.buffer or self._refusal is not None:
            return
        requests = [*islice(self._split_unserved(), MAX_COUNTED_UNSERVED)]
        # Many connections may be closed at once, and each waits for its share.
        self._reader.buffer = bytearray()
        for request in requests:
            try:
                self._end(self._begin(request), cause)
                self._loop_share.take_step()
            except (HostStoppedError, CallerDisconnectedError):
                # Those that are left are neither begun nor ended.
                return

    def _split_unserved(self) -> Iterator[Request]:
        now = self._clock()
        requests = split_requests(self._reader.buffer, now)
        while self._resources.unserved.allow(now):
            request = next(requests, None)
            if request is None:
                return
            yield request

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has been read since the last answer."""
        return not self._reader.has_begun

    def close_if_idle(self) -> None:
        """Close the connection unless a part of a request has arrived or is expected.

        A caller that has just connected is about to send its request, and couldn't tell
        whether a host that closes has run it.
        """
        first_due_at = self._connected_at + FIRST_REQUEST_S
        if self._requests or self._clock() >= first_due_at:
            self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.is_idle and not self._reader.has_data():
            self._closed = True
            self._socket.close()

    def close_for_room(self, cause: CloseCause) -> None:
        """Close the connection without waiting, for others that need the room."""
        if cause is CloseCause.IDLE:
            self._close_if_unused()
            # A request that has arrived is refused, unless many are.
            self._has_no_room = not self._closed and self._resources.begin_refusal()
            if self._has_no_room or self._closed:
                return
        reset_on_close(self._socket, is_reset=True)
        error = CallerDisconnectedError(f"closed to make room: {cause}")
        gevent.kill(self._greenlet, error)

    def refuse(self) -> None:
        """Answer that there is no room for the connection, and close it."""
        try:
            refusal = _Refusal(
                ErrorKind.OVERLOADED,
                "too many connections",
                NO_ROOM_RETRY_S,
                Execution.NOT_RUN,
            )
            self._holdings.limit_buffers(self._socket)
            self._refuse(refusal)
        except (CallerDisconnectedError, OSError):
            return
        finally:
            self._release()

    def end_request(self) -> None:
        """End the request that is being read or served."""
        gevent.kill(self._greenlet, HostStoppedError("this host stops"))

    def _check_room(self) -> None:
        """Refuse a request that arrived as the room of its connection was needed."""
        if self._has_no_room:
            raise RefusedRequestError(
                ErrorKind.OVERLOADED,
                "too many callers at once",
                retry_after_s=NO_ROOM_RETRY_S,
            )

    def _acquire_slot(self, timeout_s: float) -> None:
        """Wait for the turn of a request that was sent before an earlier answer.

        Raises
        ------
        RefusedRequestError
            If it doesn't come in time.
        """
        self._holdings.begin_wait()
        self._holdings.hold_read_ahead(len(self._reader.buffer))
        if not self._holdings.pipelined_slots.acquire(timeout=timeout_s):
            raise self._holdings.make_refusal(
                RefusalCause.TURN, "too many requests were sent together"
            )
        self._has_slot = True

    def _read_next(self) -> tuple[h11.Connection, Request] | None:
        """Read the next request; None if the caller sends no more."""
        idle_timeout_s = self._get_limits().idle_timeout_s
        is_pipelined = bool(self._requests and self._reader.buffer)
        if not self._reader.await_first_byte(idle_timeout_s):
            return None
        self._check_room()
        # Those in force now: the connection may have been idle for long.
        limits = self._get_limits()
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes + 1024
        )
        request = self._reader.read(protocol, limits)
        if request is None:
            return None
        if is_pipelined:
            self._acquire_slot(idle_timeout_s)
        self._holdings.begin_request()
        return protocol, request

    def _serve_next(self) -> bool:
        try:
            read = self._read_next()
            return read is not None and self._serve(*read)
        except RefusedRequestError as error:
            # Only its text is kept: the frames of its traceback hold the body.
            self._refusal = _Refusal(error.kind, str(error), error.retry_after)
            return False
        except HostStoppedError as error:
            # One may have arrived that has not been read.
            if not self.busy and (not self.is_idle or self._reader.has_data()):
                self._refusal = _Refusal(ErrorKind.LEAVING, str(error), 0.0)
            return False
        except OSError:
            raise
        except Exception as error:
            self._record_error(error)
            if not self.busy:
                self._refusal = _NOT_RUN_FAILURE
            return False
        finally:
            self.busy = False
            self._holdings.end_request()
            if self._has_slot:
                self._has_slot = False
                self._holdings.pipelined_slots.release()

    def _serve(self, protocol: h11.Connection, request: Request) -> bool:
        """Serve a request that was read whole; return whether another may follow."""
        self.busy = True
        begun = self._begin(request)
        answer = self._make_answer(protocol, request)
        error: BaseException | None = None
        try:
            self._answer(request, answer)
        except BaseException as raised:
            error = raised
            raise
        finally:
            self._end(begun, find_cause(answer, error), answer)
        self._is_closing = answer.is_finished and answer.is_closing
        return answer.is_finished and not answer.is_closing

    def _begin(self, request: Request) -> BegunRequest | None:
        self._requests += 1
        if self._ledger is None:
            return None
        return self._ledger.begin(
            request,
            connected_at=self._connected_at,
            connection_requests=self._requests,
        )

    def _end(
        self,
        begun: BegunRequest | None,
        cause: EndingCause,
        answer: AnswerWriter | None = None,
    ) -> None:
        if begun is not None:
            self._ledger.end(begun, cause, answer=answer)

    def _make_answer(self, protocol: h11.Connection, request: Request) -> AnswerWriter:
        is_closing = protocol.their_state is h11.MUST_CLOSE
        return AnswerWriter(
            connection=self._socket,
            protocol=protocol,
            holdings=self._holdings,
            clock=self._clock,
            has_body=request.method != b"HEAD",
            is_closing=is_closing,
            is_leaving=self._is_leaving,
            has_next=self._has_next,
        )

    def _has_next(self) -> bool:
        """Return whether another whole request was sent together with this one."""
        data = self._reader.buffer
        if self._watch is not None:
            data = data + self._watch.data
        return any(split_requests(data, 0.0))

    def _answer(self, request: Request, answer: AnswerWriter) -> None:
        try:
            watch = DisconnectWatch(
                opened=self._socket,
                greenlet=gevent.getcurrent(),
                answer=answer,
                holdings=self._holdings,
                held=len(self._reader.buffer),
            )
            self._watch = watch
        except Exception as error:
            self._fail(answer, error, Execution.NOT_RUN)
            return
        try:
            self._handle(request, answer)
        finally:
            watch.stop()
            self._watch = None
            self._reader.buffer += watch.data

    def _handle(self, request: Request, answer: AnswerWriter) -> None:
        try:
            self._handler(request, answer)
        except Exception as error:
            self._fail(answer, error, Execution.UNKNOWN)

    def _fail(
        self, answer: AnswerWriter, error: Exception, execution: Execution
    ) -> None:
        """End a request after an error that no code expects."""
        try:
            answer.end_with_failure(execution)
        finally:
            self._record_error(error)

    def _refuse(self, refusal: _Refusal) -> None:
        write_log_entry(
            log,
            RequestRefusedEarly(kind_of_error=refusal.kind, reason=refusal.message),
        )
        new_protocol = h11.Connection(h11.SERVER)
        answer = AnswerWriter(
            connection=self._socket,
            protocol=new_protocol,
            holdings=self._holdings,
            clock=self._clock,
            is_closing=True,
            is_leaving=lambda: True,
        )
        answer.deadline = self._clock()
        answer.send_error(
            refusal.kind,
            refusal.message,
            retry_after_s=refusal.retry_after_s,
            execution=refusal.execution,
        )
        self._linger()

    def _linger(self) -> None:
        """Read on for a while after the last answer.

        Closing with unread bytes would reset the connection and discard the answer.
        """
        deadline = self._clock() + LINGER_TIMEOUT_S
        # Also the rest of a body that found no room: its caller may send it to the end
        # before it reads the answer.
        max_received = self._get_limits().body_bytes + EXTRA_LINGER_BYTES
        received = 0
        try:
            self._socket.settimeout(LINGER_TIMEOUT_S)
            self._socket.shutdown(socket.SHUT_WR)
            while received < max_received and self._clock() < deadline:
                self._loop_share.take_step()
                data = self._socket.recv(READ_BYTES)
                if not data:
                    return
                received += len(data)
        except OSError:
            # The caller has closed, or sends nothing more.
            return
