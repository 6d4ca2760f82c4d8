"""A caller's request on its way through the fleet."""

from typing import NamedTuple


class ContextHint(NamedTuple):
    """Names the engine that holds the context of a chat.

    Attributes
    ----------
    server : str
        Name of the engine.
    incarnation : int
        Its incarnation when it answered; a restart empties its cache.
    """

    server: str
    incarnation: int


class Work(NamedTuple):
    """One request, as the decisions see it and as it is forwarded.

    Attributes
    ----------
    request_id : str
        Unique identifier, checked on every frame of the answer.
    workspace, pool, rank : str
        Who asks, of what, and how urgently.
    affinity_key : str
        Key of the request for consistent hashing: the chat, or the request id.
    cost : int
        Expected work in tokens, used for fairness.
    context_tokens : int
        Tokens that an engine without the context would have to read again.
    deadline : float
        Time in seconds since the epoch after which the answer is worth nothing.
    idempotent : bool
        Whether the back end may see the request twice.
    hint : ContextHint or None
        Where the caller says its context is.
    body : bytes
        What the back end is sent.
    """

    request_id: str
    workspace: str
    pool: str
    rank: str
    affinity_key: str
    cost: int
    context_tokens: int
    deadline: float
    idempotent: bool
    hint: ContextHint | None
    body: bytes


class TurnBody(NamedTuple):
    """Body of a chat turn.

    Attributes
    ----------
    prompt : str
        The whole context of the chat, the new turn at its end.
    max_tokens : int
        Upper bound of the answer's length.
    generated : tuple of str
        Tokens that the caller has already; the engine goes on after them.
    """

    prompt: str
    max_tokens: int
    generated: tuple[str, ...] = ()


class Token(NamedTuple):
    """One event of a token stream."""

    request_id: str
    sequence: int
    text: str


class StreamEnd(NamedTuple):
    """The explicit end marker of a token stream.

    Attributes
    ----------
    request_id : str
        Request that the stream answers.
    sequence : int
        Number of tokens before the marker.
    server : str
        Engine that wrote the last token.
    incarnation : int
        Incarnation of that engine.
    cached_tokens, prompt_tokens : int
        How much of the prompt was found in the engine's cache.
    """

    request_id: str
    sequence: int
    server: str
    incarnation: int
    cached_tokens: int
    prompt_tokens: int


class StreamFailure(NamedTuple):
    """The explicit end of a token stream that could not be completed.

    Attributes
    ----------
    request_id : str
        Request that the stream answers.
    kind : str
        Value of an `ErrorKind`.
    message : str
        What happened.
    retry_after : float or None
        Seconds after which a retry makes sense.
    """

    request_id: str
    kind: str
    message: str
    retry_after: float | None


class CallResult(NamedTuple):
    """Answer of a plain service.

    Attributes
    ----------
    request_id : str
        Request that it answers.
    status : int
        HTTP status of the service.
    body : bytes
        Body of the service's answer.
    """

    request_id: str
    status: int
    body: bytes
