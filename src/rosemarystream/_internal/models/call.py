"""Decoded form of a caller's request."""

from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class PromptPart(NamedTuple):
    """A part of a prompt, which requests with the same prefix may share."""

    name: str
    tokens: int


class Call(NamedTuple):
    """A caller's request with its platform headers decoded.

    Attributes
    ----------
    request_id : str
        Identifier that the caller gave this attempt.
    headers : list of tuple of bytes
        Headers to forward, without hop-by-hop headers and those that hosts set.
    key : str or None
        API key, if the caller sent one.
    wait_s : float or None
        Time that the caller waits for the answer, in seconds.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last is specific to this request.
    last_event_id : bytes
        Identifier of the last event that the caller received, or empty.
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

    def format_prompt(self) -> list[str]:
        """Return the prompt parts with their numbers of tokens, for the logs."""
        return [f"{part.name}:{part.tokens}" for part in self.parts]
