"""Backend servers that follow steps, and send second copies of their answers."""

import contextlib
import time
from types import SimpleNamespace
from typing import NamedTuple

import gevent
import h11
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.caller_resources import (
    OPERATOR_LIMITS,
    CallerResources,
)

ACTS = ("wait", "refuse", "misdirect", "answer", "fail", "close", "hang")
# Acts that take a connection away from the requests that follow are rare.
USUAL_ACTS = (
    *("wait", "answer") * 3,
    *("refuse",) * 2,
    "misdirect",
    "fail",
)
# When the second copy comes: with its answer, soon after it, before one of the next two
# answers on the connection, or in the same bytes as the next one.
COPIES = ("none", "with", "soon", "next", "joined", "next_but_one")
SHAPES = ("whole", "split", "split_body", "stalled", "hinted", "chunked", "closing")
RUNNING_ACTS = ("answer", "fail", "close", "hang")
STATUSES = {"answer": 200, "fail": 500, "misdirect": 421}
RETRY_AFTER_S = 0.01
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
SPLIT_HEAD_BYTES = 30
# Times between two parts; the rest of a refusal is not awaited for the longer one.
SPLIT_S, STALL_S = 0.001, 0.12


class Step(NamedTuple):
    """What a server does with one request."""

    act: str = "answer"
    work_ms: int = 0
    copy: str = "none"
    copy_ms: int = 0
    shape: str = "whole"


def draw_step(draw, usual_copy):
    """Return a step, most often with the given kind of copy."""
    return Step(
        act=draw.choice(USUAL_ACTS if draw.random() < 0.9 else ACTS),
        work_ms=draw.choice([0, 0, 2, 30]),
        copy=usual_copy if draw.random() < 0.7 else draw.choice(COPIES),
        copy_ms=draw.choice([1, 3, 6, 15]),
        shape="whole" if draw.random() < 0.4 else draw.choice(SHAPES),
    )


class Copy(NamedTuple):
    """A second copy that comes at one of the next answers of its connection."""

    step: Step
    data: bytes


class SteppedServer:
    """A server that follows steps, and answers requests after the last one.

    Parameters
    ----------
    trace : callable
        Called with a line for each request and each send.

    Attributes
    ----------
    runs : list of int
        Numbers of the requests that it ran, as they end their targets.
    """

    def __init__(self, name, steps, trace):
        self.name, self.runs = name, []
        self._steps, self._trace, self._copiers = iter(steps), trace, []
        self._listener = StreamServer(("127.0.0.1", 0), self._serve)
        self._listener.start()
        self.address = f"127.0.0.1:{self._listener.server_port}"

    def stop(self):
        self._listener.stop(timeout=0)
        gevent.killall(self._copiers)

    def _serve(self, connection, peer):
        stream = _Stream(f"{self.name}:{peer[1]}", connection, self._trace)
        copies = []
        with contextlib.suppress(OSError), connection:
            while (request := _read_request(connection)) is not None:
                step = next(self._steps, Step())
                self._trace(f"{stream.name} gets {request.target}: {step}")
                if not self._follow(step, request, stream, copies):
                    return

    def _follow(self, step, request, stream, copies):
        if step.act in RUNNING_ACTS:
            self.runs.append(request.number)
        due, ahead = copies[:], b""
        copies.clear()
        for copy in due:
            if copy.step.copy == "next_but_one":
                copies.append(Copy(copy.step._replace(copy="next"), copy.data))
            elif copy.step.copy == "joined":
                ahead += copy.data
            else:
                stream.send(copy.data, copy.step.shape)
        gevent.sleep(step.work_ms / 1000)
        if step.act == "hang":
            stream.connection.recv(1)
        if step.act in ("hang", "close"):
            return False
        answer = encode_answer(step, request)
        stream.send(ahead + answer * (2 if step.copy == "with" else 1), step.shape)
        if step.copy in ("next", "joined", "next_but_one"):
            copies.append(Copy(step, answer))
        if step.copy == "soon":
            delay_s = step.copy_ms / 1000
            copier = gevent.spawn_later(delay_s, stream.send, answer, step.shape)
            self._copiers.append(copier)
        return step.shape != "closing"


class _Stream:
    """The sending side of a connection, on which each message is whole."""

    def __init__(self, name, connection, trace):
        self.name, self.connection, self._trace = name, connection, trace
        self._lock = BoundedSemaphore()

    def send(self, data, shape):
        if shape == "hinted":
            data = HINTS + data
        in_body = data.index(b"\r\n\r\n") + 6
        cuts = {"split": SPLIT_HEAD_BYTES, "split_body": in_body, "stalled": in_body}
        cut = cuts.get(shape, len(data))
        with contextlib.suppress(OSError), self._lock:
            self._trace(f"{self.name} sends {data!r}")
            self.connection.sendall(data[:cut])
            if data[cut:]:
                gevent.sleep(STALL_S if shape == "stalled" else SPLIT_S)
                self.connection.sendall(data[cut:])


class _Request(NamedTuple):
    method: str
    target: str
    request_id: str

    @property
    def number(self):
        return int(self.target.rpartition("/")[2])


def _read_request(connection):
    """Read a request without a body, or with the body ``x``."""
    data = b""
    while not data.endswith(b"\r\n\r\nx" if data.startswith(b"P") else b"\r\n\r\n"):
        received = connection.recv(65_536)
        if not received:
            return None
        data += received
    first, *lines = data.decode().split("\r\n")
    headers = dict(line.lower().partition(": ")[::2] for line in lines)
    return _Request(*first.split()[:2], headers["x-rosemarystream-attempt-id"])


def encode_answer(step, request):
    """Return the bytes of an answer; its header X-Number names the request."""
    status = STATUSES.get(step.act, 503)
    body, is_chunked = f"data: {request.number}\n\n", step.shape == "chunked"
    length = (
        "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
    )
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Rosemarystream-Attempt-Id: {request.request_id}",
        "X-Rosemarystream-Response-Seal: seal",
        f"X-Number: {request.number}",
        length,
    ]
    if request.target.startswith("/brief/"):
        lines.append("Content-Type: text/event-stream")
    if step.shape == "closing":
        lines.append("Connection: close")
    if status == 503:
        lines.append("X-Rosemarystream-Not-Executed: 1")
    if step.act == "wait":
        lines.append(f"Retry-After: {RETRY_AFTER_S}")
    if is_chunked:
        body = f"{len(body):x}\r\n{body}\r\n0\r\n\r\n"
    return "\r\n".join([*lines, "", "" if request.method == "HEAD" else body]).encode()


def make_answer_writer(method, sent):
    """Return a writer that appends to a buffer instead of sending to a caller."""
    protocol = h11.Connection(h11.SERVER)
    protocol.receive_data(method + b" / HTTP/1.1\r\nhost: x\r\n\r\n")
    protocol.next_event()
    resources = CallerResources(limits=OPERATOR_LIMITS, clock=time.monotonic)

    def send(data, *_):
        sent.extend(data)
        return len(data)

    return AnswerWriter(
        connection=SimpleNamespace(_sock=SimpleNamespace(send=send)),
        protocol=protocol,
        holdings=resources.open(None, "127.0.0.1"),
        clock=time.monotonic,
        has_body=method != b"HEAD",
        is_closing=False,
        is_leaving=bool,
    )
