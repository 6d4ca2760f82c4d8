"""A caller's request on its way to a backend server."""

from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    name: str
    tokens: int


class Call(NamedTuple):
    """A request as the caller sent it.

    Attributes
    ----------
    request_id : str
        Identifier of this attempt of the caller.
    headers : list of tuple of bytes
        Headers that are passed on; those that a host sets are left out.
    wait_s : float or None
        How long the caller waits, in seconds.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    last_event_id : bytes
        Identifier of the last event the caller has, or empty.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    key: str | None
    wait_s: float | None
    model: str
    parts: tuple[PromptPart, ...]
    last_event_id: bytes
