"""Stand-in for a backend server, a plain service or an engine, by its protocol.

A request that expects an instance of another name is refused with 421. `faults`
holds the faults of the next requests, one each, first in first out. A server crashes
when it begins to answer a request whose prompt holds one of `crashing_parts`.
"""

import time
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import NamedTuple

import gevent
import h11
from gevent import socket
from gevent.server import StreamServer

from standins.link import reset_connection

READ_BYTES = 65_536
EVENTS = 8
EVENT_STREAM = (b"content-type", b"text/event-stream")
# Interval of the bytes of a stalled stream.
TRICKLE_S = 0.05
# Bytes of an answer's head that are sent before a pause in it.
PAUSED_HEAD_BYTES = 20


class Fault(StrEnum):
    """Fault that a server injects into one request."""

    NONE = "none"
    TURN_AWAY = "turn_away"
    FAIL = "fail"
    CLOSE = "close"
    CUT = "cut"
    HANG = "hang"
    GARBAGE = "garbage"
    EXTRA = "extra"
    LATE = "late"
    LATE_REFUSAL = "late_refusal"
    REPEATED_REFUSAL = "repeated_refusal"
    HALF_HEAD = "half_head"
    CONFLICT = "conflict"
    CONFLICT_STREAM = "conflict_stream"
    UNSEALED = "unsealed"
    UNFRAMED = "unframed"
    CUT_UNFRAMED = "cut_unframed"
    RESET_UNFRAMED = "reset_unframed"
    EMPTY_UNFRAMED = "empty_unframed"
    CORRUPT_EVENT = "spoilt_event"
    TRICKLE = "trickle"
    PAUSE = "pause"
    PAUSE_IN_HEAD = "pause_in_head"
    PAUSE_IN_BODY = "pause_in_body"


ANOTHER_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Rosemarystream-Attempt-Id: an-earlier-request\r\n"
    b"X-Rosemarystream-Response-Seal: other\r\nContent-Length: 5\r\n\r\nother"
)
# Answers that come before the one that is due: one to another request, the second copy
# of an earlier refusal that names no request, and of one that names its own.
EARLIER_ANSWERS = {
    Fault.LATE: ANOTHER_ANSWER,
    Fault.LATE_REFUSAL: (
        b"HTTP/1.1 503 Busy\r\nX-Rosemarystream-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
    Fault.REPEATED_REFUSAL: (
        b"HTTP/1.1 503 Busy\r\nX-Rosemarystream-Attempt-Id: an-earlier-request\r\n"
        b"X-Rosemarystream-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
    ),
}


class Error(NamedTuple):
    """A failure that a server answers with, after it has begun to process a request."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


ERROR_EVENT = b"data: the state of the chat has changed\n\n"
ERRORS = {
    Fault.FAIL: Error(500, b"failed"),
    Fault.CONFLICT: Error(409, ERROR_EVENT),
    Fault.CONFLICT_STREAM: Error(409, ERROR_EVENT, (EVENT_STREAM,)),
}
# Faults of an answer that has neither a length nor chunks.
UNFRAMED_FAULTS = (
    Fault.UNFRAMED,
    Fault.CUT_UNFRAMED,
    Fault.RESET_UNFRAMED,
    Fault.EMPTY_UNFRAMED,
)


class Run(NamedTuple):
    """A request that a server has begun to process."""

    request_id: str
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    cancelled: list[bool]

    def list_shared_parts(self) -> list[str]:
        """Return the parts of the prompt but the last, which is the request's own."""
        prompt = self.headers.get(b"x-rosemarystream-prompt-prefix", b"").decode()
        return [entry.partition(":")[0] for entry in prompt.split(",")[:-1]]


class BackendServer:
    """One backend server.

    Parameters
    ----------
    events : bool
        Whether it answers with a stream of server-sent events.
    work_s : float
        Time until its answer, or between two events, in seconds.

    Attributes
    ----------
    pause_s : float
        Length of a pause, after which it goes on with its answer, in seconds.
    load : str
        What it tells of its load with each answer.
    limit_per_s : float or None
        Limit on its requests that it states with each answer; None if it states none.
    odd_headers : list of tuple of bytes
        Headers that it adds to each answer.
    faults_without_limit : set of Fault
        Faults with which an answer leaves the limit out.
    errors : dict of Fault to Error
        The failures that it answers with.
    is_leaving : bool
        Whether it states with each answer that it leaves.
    states_leaving_in_earlier_answers : bool
        Whether answers to other requests state that it leaves.
    retry_after : str or None
        If set, it turns each request away with this value of Retry-After.
    refusal_delays_s : list of float
        Times until the next of these refusals, one each, in seconds.
    repeats_refusals : bool
        Whether a second copy of a refusal comes before the next answer on its
        connection.
    born : int
        Start time of its process, in milliseconds since the epoch.
    cold_until : float
        Time until which its entry says that it is cold, by the monotonic clock.
    arrived_at : list of float
        Times at which requests arrived, by the monotonic clock, in seconds.
    crashing_parts : set of str
        Prompt parts on which it crashes.
    on_crash : callable
        Called with the server when it has crashed.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: tuple[str, int],
        data_centre: str = "a",
        events: bool = False,
        work_s: float = 0.005,
    ) -> None:
        self.name = name
        self.service = service
        self.address = f"{address[0]}:{address[1]}"
        self.data_centre = data_centre
        self.work_s = work_s
        self.pause_s = 1.3
        self.load = "1,0,8"
        self.limit_per_s: float | None = None
        self.odd_headers: list[tuple[bytes, bytes]] = []
        self.faults_without_limit: set[Fault] = set()
        self.errors = {**ERRORS}
        self.is_leaving = False
        self.states_leaving_in_earlier_answers = False
        self.retry_after: str | None = None
        self.refusal_delays_s: list[float] = []
        self.repeats_refusals = False
        self._late_copies: dict[socket.socket, bytes] = {}
        self.born = 1_000
        self.cold_until = 0.0
        self.arrived_at: list[float] = []
        self.crashing_parts: set[str] = set()
        self.on_crash: Callable[[BackendServer], object] = str
        self.faults: list[Fault] = []
        self.runs: list[Run] = []
        self.arrivals = 0
        self.connections = 0
        self._events = events
        self._cut_after = 3
        self._listen = address
        self._server: StreamServer | None = None
        self._open: set[socket.socket] = set()

    def start(self) -> None:
        """Start listening."""
        self._server = StreamServer(self._listen, self._serve)
        self._server.start()

    def stop(self) -> None:
        """Stop listening at once, as after a crash."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.stop()
        for connection in self._open:
            reset_connection(connection)
        self._open.clear()
        self.on_crash(self)

    def describe(self, state: str = "ready", seq: int = 1) -> dict[str, object]:
        """Return the server's entry in the object store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 8,
            "state": state,
            "warmup-left-ms": max(0, int((self.cold_until - time.monotonic()) * 1000)),
            "seq": seq,
            "born": self.born,
        }

    def _serve(self, connection: socket.socket, _: object) -> None:
        self.connections += 1
        self._open.add(connection)
        try:
            while self._serve_next(connection):
                pass
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._open.discard(connection)
            self._late_copies.pop(connection, None)
            connection.close()

    def _serve_next(self, connection: socket.socket) -> bool:
        protocol = h11.Connection(h11.SERVER)
        request, body = _read_request(connection, protocol)
        if request is None:
            return False
        self.arrivals += 1
        self.arrived_at.append(time.monotonic())
        connection.sendall(self._late_copies.pop(connection, b""))
        headers = dict(request.headers)
        request_id = headers.get(b"x-rosemarystream-attempt-id", b"")
        expected = headers.get(b"x-rosemarystream-expect-instance", b"").decode()
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        identity = [(b"x-rosemarystream-attempt-id", request_id)]
        if self.limit_per_s is not None and fault not in self.faults_without_limit:
            identity.append((b"server-limit", b"%.1f" % self.limit_per_s))
        if self.is_leaving:
            identity.append((b"server-leaving", b"1"))
        if expected != self.name:
            return _answer(connection, protocol, 421, identity, b"")
        if self.retry_after is not None:
            if self.refusal_delays_s:
                gevent.sleep(self.refusal_delays_s.pop(0))
            identity.append((b"x-rosemarystream-not-executed", b"1"))
            identity.append((b"retry-after", self.retry_after.encode()))
            refusal = _encode_answer(protocol, 503, identity, b"")
            if self.repeats_refusals:
                self._late_copies[connection] = refusal
            connection.sendall(refusal)
            return True
        if fault is Fault.TURN_AWAY:
            identity.append((b"x-rosemarystream-not-executed", b"1"))
            return _answer(connection, protocol, 503, identity, b"")
        run = Run(
            request_id.decode(), request.method, request.target, headers, body, []
        )
        self.runs.append(run)
        return self._work(connection, protocol, run, fault, identity)

    def _work(self, connection, protocol, run, fault, identity) -> bool:
        if fault is Fault.HANG:
            _wait_for_close(connection, run)
            return False
        if fault is Fault.CLOSE:
            return False
        if fault is Fault.GARBAGE:
            connection.sendall(b"\x00\x01 this is no answer\r\n\r\n")
            return False
        if fault in EARLIER_ANSWERS:
            connection.sendall(self._make_earlier_answer(fault))
        if fault is Fault.PAUSE and self._pause(connection, run):
            return False
        gevent.sleep(self.work_s)
        if fault is not Fault.UNSEALED:
            identity.append((b"x-rosemarystream-response-seal", b"seal"))
        identity.append((b"x-rosemarystream-server-load", self.load.encode("latin-1")))
        identity.extend(self.odd_headers)
        if fault in self.errors:
            error = self.errors[fault]
            headers = [*identity, *error.headers]
            return _answer(connection, protocol, error.status, headers, error.body)
        if fault is Fault.HALF_HEAD:
            head = _write_unframed_head(identity)
            connection.sendall(head[: len(head) // 2])
            return False
        if self._events:
            return self._stream(connection, protocol, run, fault, identity)
        return self._answer_plain(connection, protocol, run, fault, identity)

    def _make_earlier_answer(self, fault: Fault) -> bytes:
        answer = EARLIER_ANSWERS[fault]
        if not self.states_leaving_in_earlier_answers:
            return answer
        status, _, rest = answer.partition(b"\r\n")
        return b"%s\r\nServer-Leaving: 1\r\n%s" % (status, rest)

    def _pause(self, connection, run) -> bool:
        """Pause; return whether the host has closed the connection meanwhile."""
        return _wait_for_close(connection, run, self.pause_s)

    def _send_with_pause(self, connection, run, data: bytes, sent_before: int) -> bool:
        """Send data with a pause in it; return False if the host has closed."""
        connection.sendall(data[:sent_before])
        if self._pause(connection, run):
            return False
        connection.sendall(data[sent_before:])
        return True

    def _answer_plain(self, connection, protocol, run, fault, identity) -> bool:
        body = f"done by {self.name}".encode()
        if fault in (Fault.PAUSE_IN_HEAD, Fault.PAUSE_IN_BODY):
            data = _encode_answer(protocol, 200, identity, body)
            in_head = fault is Fault.PAUSE_IN_HEAD
            sent_before = PAUSED_HEAD_BYTES if in_head else len(data) - len(body) // 2
            return self._send_with_pause(connection, run, data, sent_before)
        if fault is Fault.CUT:
            head = h11.Response(
                status_code=200, headers=[*identity, (b"content-length", b"500")]
            )
            connection.sendall(protocol.send(head) + body)
            return False
        if fault in UNFRAMED_FAULTS:
            is_empty = fault is Fault.EMPTY_UNFRAMED
            connection.sendall(
                _write_unframed_head(identity) + (b"" if is_empty else body)
            )
            if fault is Fault.RESET_UNFRAMED:
                reset_connection(connection)
            return False
        _answer(connection, protocol, 200, identity, body)
        if fault is Fault.EXTRA:
            connection.sendall(ANOTHER_ANSWER)
        return True

    def _stream(self, connection, protocol, run, fault, identity) -> bool:
        if fault in UNFRAMED_FAULTS:
            return self._stream_unframed(connection, run, fault, identity)
        headers = [*identity, EVENT_STREAM, (b"transfer-encoding", b"chunked")]
        head = protocol.send(h11.Response(status_code=200, headers=headers))
        if fault is not Fault.PAUSE_IN_HEAD:
            connection.sendall(head)
        elif not self._send_with_pause(connection, run, head, PAUSED_HEAD_BYTES):
            return False
        if self.crashing_parts.intersection(run.list_shared_parts()):
            self.crash()
            return False
        if not self._send_events(connection, protocol, run, fault):
            return False
        connection.sendall(protocol.send(h11.EndOfMessage()))
        return True

    def _send_events(self, connection, protocol, run, fault) -> bool:
        """Send the events; return False if the stream ends before the last."""
        for sent, event in _list_events(run):
            if fault is Fault.CUT and sent == self._cut_after:
                half = event[: len(event) // 2]
                connection.sendall(protocol.send(h11.Data(data=half)))
                return False
            if fault is Fault.TRICKLE and sent == self._cut_after:
                return _trickle(connection, protocol, run)
            if fault is Fault.CORRUPT_EVENT and sent == self._cut_after:
                connection.sendall(b"zz\r\nnot a chunk\r\n")
                return False
            data = protocol.send(h11.Data(data=event))
            if fault is Fault.PAUSE_IN_BODY and sent == self._cut_after:
                middle = len(data) // 2
                if not self._send_with_pause(connection, run, data, middle):
                    return False
                continue
            connection.sendall(data)
            if _wait_for_close(connection, run, self.work_s):
                return False
        return True

    def _stream_unframed(self, connection, run, fault, identity) -> bool:
        """Send a stream whose end is that of its connection."""
        connection.sendall(_write_unframed_head([*identity, EVENT_STREAM]))
        for sent, event in _list_events(run):
            if fault is Fault.EMPTY_UNFRAMED:
                return False
            if fault is Fault.CUT_UNFRAMED and sent == self._cut_after:
                connection.sendall(event[:-1])
                return False
            if fault is Fault.RESET_UNFRAMED and sent == self._cut_after:
                reset_connection(connection)
                return False
            connection.sendall(event)
            if _wait_for_close(connection, run, self.work_s):
                return False
        return False


def _list_events(run: Run) -> Iterator[tuple[int, bytes]]:
    """Return the events that the caller doesn't have yet, counted from 0."""
    first = int(run.headers.get(b"last-event-id", b"0")) + 1
    numbers = range(first, EVENTS + 1)
    return enumerate(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


def _write_unframed_head(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the head of an answer that ends with its connection."""
    lines = [b"%s: %s" % pair for pair in headers]
    return b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"", b""])


def _trickle(connection, protocol, run) -> bool:
    """Send a byte now and then that completes no event, until the host closes."""
    while not _wait_for_close(connection, run, TRICKLE_S):
        connection.sendall(protocol.send(h11.Data(data=b":")))
    return False


def _read_request(connection, protocol):
    request, body = None, b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            data = connection.recv(READ_BYTES)
            if not data and request is None:
                return None, b""
            protocol.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        else:
            return None, b""


def _answer(connection, protocol, status, headers, body) -> bool:
    connection.sendall(_encode_answer(protocol, status, headers, body))
    return True


def _encode_answer(protocol, status, headers, body) -> bytes:
    framed = [*headers, (b"content-length", b"%d" % len(body))]
    data = protocol.send(h11.Response(status_code=status, headers=framed))
    return data + protocol.send(h11.Data(data=body)) + protocol.send(h11.EndOfMessage())


def _wait_for_close(connection, run: Run, seconds: float | None = None) -> bool:
    """Wait for the peer to close its connection; record and return whether it did.

    Parameters
    ----------
    seconds : float or None
        Longest wait in seconds; None waits without limit.
    """
    connection.settimeout(seconds)
    try:
        closed = connection.recv(1, socket.MSG_PEEK) == b""
    except TimeoutError:
        closed = False
    except OSError:
        closed = True
    finally:
        connection.settimeout(None)
    if closed:
        run.cancelled.append(True)
    return closed
