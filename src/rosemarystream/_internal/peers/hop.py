"""Forwards requests from the entry host to the owner of a server group.

``POST /hop/v1/works`` takes one request and streams its frames back.
"""

from collections.abc import Callable, Iterator
from typing import Any

import falcon
import msgspec

from rosemarystream._internal.backends.engine import EngineTimeouts
from rosemarystream._internal.backends.runner import WorkRunner
from rosemarystream._internal.decisions.server_groups import parse_group
from rosemarystream._internal.exceptions import (
    BackendError,
    ErrorKind,
    RefusedError,
)
from rosemarystream._internal.models.frames import (
    SEPARATOR,
    Granted,
    Ping,
    decode_frame,
    encode_frame,
)
from rosemarystream._internal.models.hop import Hop, decode_hop, encode_hop
from rosemarystream._internal.models.request import (
    CallResult,
    StreamEnd,
    StreamFailure,
)
from rosemarystream._internal.utils.http_exchange import Exchange

HOP_PATH = "/hop/v1/works"
HTTP_OK = 200
PING_TIMEOUT_SECONDS = 3.0
RELAY_MARGIN_SECONDS = 1.0
_FINAL_FRAMES = (StreamEnd, StreamFailure, CallResult)


def forward_work(
    hop: Hop,
    *,
    address: str,
    timeouts: EngineTimeouts,
    clock: Callable[[], float],
) -> Iterator[Any]:
    """Forward a request to the owner of its group and yield the frames.

    Raises
    ------
    ConnectError
        If the owner cannot be reached; nothing was sent.
    BackendError
        If the exchange failed; the request may have run.
    """
    work = hop.work
    with Exchange(address=address, clock=clock) as exchange:
        exchange.connect(min(work.deadline, clock() + PING_TIMEOUT_SECONDS))
        status = exchange.send(
            "POST",
            HOP_PATH,
            body=encode_hop(hop),
            deadline=min(work.deadline, clock() + PING_TIMEOUT_SECONDS),
        )
        if status != HTTP_OK:
            raise RefusedError(
                f"host at {address} took no request", kind=ErrorKind.LEAVING
            )
        yield from _read_frames(exchange, work.request_id, timeouts, clock)


def _read_frames(
    exchange: Exchange,
    request_id: str,
    timeouts: EngineTimeouts,
    clock: Callable[[], float],
) -> Iterator[Any]:
    wait = PING_TIMEOUT_SECONDS
    while True:
        frame = _read_frame(exchange, clock() + wait)
        if frame.request_id != request_id:
            raise BackendError("a frame of another request arrived")
        if isinstance(frame, Granted):
            wait = timeouts.first_token + RELAY_MARGIN_SECONDS
        elif not isinstance(frame, Ping):
            wait = timeouts.between_tokens + RELAY_MARGIN_SECONDS
        yield frame
        if isinstance(frame, _FINAL_FRAMES):
            return


def _read_frame(exchange: Exchange, deadline: float) -> Any:
    try:
        return decode_frame(exchange.read_line(SEPARATOR, deadline))
    except msgspec.DecodeError as error:
        raise BackendError(f"unreadable frame: {error}") from error


class HopResource:
    """``POST /hop/v1/works``, for requests forwarded by other entry hosts.

    Parameters
    ----------
    runner : WorkRunner
        Runs the requests on the servers of this host's groups.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    def __init__(self, *, runner: WorkRunner, clock: Callable[[], float]) -> None:
        self._runner = runner
        self._clock = clock

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Run a forwarded request and stream its frames."""
        try:
            hop = decode_hop(req.bounded_stream.read(), self._clock())
        except msgspec.DecodeError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        frames = self._runner.run(
            hop.work, parse_group(hop.group), may_queue=hop.may_queue
        )
        resp.content_type = "application/x-ndjson"
        resp.stream = (encode_frame(frame) for frame in frames)


def make_hop_app(runner: WorkRunner, clock: Callable[[], float]) -> falcon.App:
    """Return the WSGI application for the hop address."""
    app = falcon.App()
    app.add_route(HOP_PATH, HopResource(runner=runner, clock=clock))
    return app
