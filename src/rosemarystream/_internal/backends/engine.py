"""Client of the HTTP interface of a model engine.

``POST /v1/generate`` takes a JSON object and streams server-sent events:
``{"request_id", "sequence", "text"}`` for each token, and an explicit
``{"request_id", "sequence", "end": true, ...}`` as the last event.
"""

from collections.abc import Callable, Iterator
from typing import NotRequired, TypedDict

import msgspec

from rosemarystream._internal.exceptions import (
    BackendError,
    ErrorKind,
    RefusedError,
    StreamInterruptedError,
)
from rosemarystream._internal.models.request import StreamEnd, Token, TurnBody, Work
from rosemarystream._internal.models.server import BackendServer
from rosemarystream._internal.utils.http_exchange import Exchange

EVENT_SEPARATOR = b"\n\n"
EVENT_PREFIX = b"data: "
HTTP_OK = 200


class EngineEvent(TypedDict):
    """Server-sent event of an engine's answer: a token or the end marker."""

    request_id: str
    sequence: int
    text: NotRequired[str]
    end: NotRequired[bool]
    cached_tokens: NotRequired[int]
    prompt_tokens: NotRequired[int]


_TURN_DECODER = msgspec.json.Decoder(TurnBody)
_EVENT_DECODER = msgspec.json.Decoder(EngineEvent)


class EngineTimeouts:
    """Timeouts of an engine's stream.

    Parameters
    ----------
    first_token : float
        Longest wait for the first token, in seconds.
    between_tokens : float
        Longest wait between two tokens, in seconds.
    """

    def __init__(self, *, first_token: float, between_tokens: float) -> None:
        self.first_token = first_token
        self.between_tokens = between_tokens


def stream_turn(
    work: Work,
    *,
    server: BackendServer,
    priority: int,
    timeouts: EngineTimeouts,
    clock: Callable[[], float],
) -> Iterator[Token | StreamEnd]:
    """Run a chat turn on an engine and yield its tokens, then its end marker.

    Raises
    ------
    ConnectError
        If the engine cannot be reached; nothing was sent.
    RefusedError
        If the engine refused the turn; nothing has run.
    StreamInterruptedError
        If the stream broke off, stalled for longer than `timeouts` allows, or
        carried an event of another request or out of sequence.
    """
    turn = _TURN_DECODER.decode(work.body)
    with Exchange(address=server.address, clock=clock) as exchange:
        exchange.connect(work.deadline)
        deadline = min(work.deadline, clock() + timeouts.first_token)
        status = exchange.send(
            "POST",
            "/v1/generate",
            body=_encode_turn(work, turn, priority),
            headers={"Content-Type": "application/json"},
            deadline=deadline,
        )
        if status != HTTP_OK:
            raise RefusedError(
                f"engine {server.name} refused the turn with status {status}",
                kind=ErrorKind.BACKEND_REFUSED,
            )
        yield from _read_events(exchange, work, turn, server, timeouts, clock)


def _encode_turn(work: Work, turn: TurnBody, priority: int) -> bytes:
    return msgspec.json.encode(
        {
            "request_id": work.request_id,
            "chat": work.affinity_key,
            "prompt": turn.prompt,
            "max_tokens": turn.max_tokens,
            "priority": priority,
            "generated": turn.generated,
        }
    )


def _read_events(
    exchange: Exchange,
    work: Work,
    turn: TurnBody,
    server: BackendServer,
    timeouts: EngineTimeouts,
    clock: Callable[[], float],
) -> Iterator[Token | StreamEnd]:
    sequence = len(turn.generated)
    wait = timeouts.first_token
    while True:
        deadline = min(work.deadline, clock() + wait)
        event = _read_event(exchange, deadline)
        check_event_order(event, work.request_id, sequence)
        if event.get("end"):
            yield StreamEnd(
                request_id=work.request_id,
                sequence=sequence,
                server=server.name,
                incarnation=server.incarnation,
                cached_tokens=event.get("cached_tokens", 0),
                prompt_tokens=event.get("prompt_tokens", 0),
            )
            return
        yield Token(work.request_id, sequence, event.get("text", ""))
        sequence += 1
        wait = timeouts.between_tokens


def check_event_order(event: EngineEvent, request_id: str, sequence: int) -> None:
    """Check that an event is the next one of the request's stream.

    Raises
    ------
    StreamInterruptedError
        If it belongs to another request or is out of sequence.
    """
    if event["request_id"] != request_id or event["sequence"] != sequence:
        raise StreamInterruptedError("event of another request or place")


def _read_event(exchange: Exchange, deadline: float) -> EngineEvent:
    try:
        line = exchange.read_line(EVENT_SEPARATOR, deadline)
        return _EVENT_DECODER.decode(line.strip().removeprefix(EVENT_PREFIX))
    except BackendError as error:
        raise StreamInterruptedError(str(error)) from error
    except msgspec.DecodeError as error:
        raise StreamInterruptedError(f"unreadable engine event: {error}") from error
