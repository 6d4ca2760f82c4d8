"""A caller's request inside the fleet, and the messages that answer it."""

from typing import NamedTuple


class ContextHint(NamedTuple):
    """Names the engine that holds the context of a chat in its KV cache.

    Attributes
    ----------
    server : str
        Name of the engine.
    incarnation : int
        Incarnation of the engine when it answered; a restart empties the cache.
    """

    server: str
    incarnation: int


class Work(NamedTuple):
    """A unit of work: one request as it is scheduled and forwarded.

    Attributes
    ----------
    request_id : str
        Unique identifier; it is checked on every frame of the answer.
    workspace, pool, rank : str
        Workspace of the caller, requested pool, and priority class.
    affinity_key : str
        Key for consistent hashing: the chat, or the request id.
    cost : int
        Expected work in tokens, used for fairness.
    context_tokens : int
        Tokens that an engine without the cached context has to prefill again.
    deadline : float
        Time after which the answer is useless, in seconds since the epoch.
    idempotent : bool
        Whether the request may be sent to backend servers more than once.
    hint : ContextHint or None
        Location of the context according to the caller.
    body : bytes
        Body to send to the backend server.
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
        The whole context of the chat, ending with the new turn.
    max_tokens : int
        Maximum length of the answer in tokens.
    generated : tuple of str
        Tokens that the caller has received; the engine continues after them.
    """

    prompt: str
    max_tokens: int
    generated: tuple[str, ...] = ()


class Token(NamedTuple):
    """One token of a token stream."""

    request_id: str
    sequence: int
    text: str


class StreamEnd(NamedTuple):
    """End marker of a complete token stream.

    Attributes
    ----------
    request_id : str
        Request that the stream answers.
    sequence : int
        Number of tokens that precede the marker.
    server : str
        Engine that generated the last token.
    incarnation : int
        Incarnation of that engine.
    cached_tokens, prompt_tokens : int
        Tokens of the prompt found in the engine's cache, and all of its tokens.
    """

    request_id: str
    sequence: int
    server: str
    incarnation: int
    cached_tokens: int
    prompt_tokens: int


class StreamFailure(NamedTuple):
    """End marker of a token stream that could not be completed.

    Attributes
    ----------
    request_id : str
        Request that the stream answers.
    kind : str
        Value of an `ErrorKind`.
    message : str
        Description of the failure.
    retry_after : float or None
        Seconds after which a retry makes sense.
    """

    request_id: str
    kind: str
    message: str
    retry_after: float | None


class CallResult(NamedTuple):
    """The answer of a plain service.

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
