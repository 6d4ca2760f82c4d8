"""Parses and checks HTTP requests of callers."""

import hashlib
import hmac
from collections.abc import Callable
from typing import Annotated, Any, NamedTuple

import falcon
import gevent
import msgspec
from gevent import Timeout

from rosemarystream._internal.callers.hints import decode_hint
from rosemarystream._internal.decisions.configuration import Configuration
from rosemarystream._internal.exceptions import ErrorKind, RequestError
from rosemarystream._internal.models.configuration import (
    Pool,
    PoolKind,
    Rank,
    Workspace,
)
from rosemarystream._internal.models.request import TurnBody, Work

CHARACTERS_PER_TOKEN = 4
MAX_NAME_CHARACTERS = 128
CALL_COST_TOKENS = 100


class CallerLimits(NamedTuple):
    """Limits on the requests of callers.

    Attributes
    ----------
    body_bytes : int
        Largest body, in bytes.
    max_tokens : int
        Longest answer, in tokens.
    max_deadline, default_deadline : float
        Largest and default time until the deadline of a request, in seconds.
    body_timeout : float
        Longest time, in seconds, that a body may take to arrive.
    open_requests : int
        Most requests of callers that one host has in progress.
    """

    body_bytes: int
    max_tokens: int
    max_deadline: float
    default_deadline: float
    body_timeout: float
    open_requests: int


class TurnRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/chats/{chat}/turns``."""

    pool: str
    prompt: str
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 256
    stream: bool = True


class CallRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/services/{pool}/calls``."""

    payload: Any
    idempotent: bool = True


class RequestParser:
    """Turns requests of callers into `Work`, checked against all limits.

    Parameters
    ----------
    configuration : Configuration
        Active workspaces, pools and ranks.
    limits : CallerLimits
        Limits on the requests.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        limits: CallerLimits,
        clock: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._limits = limits
        self._clock = clock

    def parse_turn(
        self, req: falcon.Request, chat: str, request_id: str
    ) -> tuple[Work, TurnRequest]:
        """Parse a chat turn and return its work and its body.

        Raises
        ------
        RequestError
            If the request is invalid or not permitted; nothing has run.
        """
        workspace = self._find_workspace(req)
        rank = self._find_rank(req, workspace)
        deadline = self._read_deadline(req)
        check_name("chat", chat)
        turn = self._read_body(req, TurnRequest)
        pool = self._find_pool(turn.pool, PoolKind.MODEL)
        if turn.max_tokens > self._limits.max_tokens:
            raise RequestError(
                f"max_tokens is over {self._limits.max_tokens}; ask for fewer",
                kind=ErrorKind.TOO_LARGE,
            )
        context_tokens = len(turn.prompt) // CHARACTERS_PER_TOKEN
        body = TurnBody(prompt=turn.prompt, max_tokens=turn.max_tokens)
        work = Work(
            request_id=request_id,
            workspace=workspace.name,
            pool=pool.name,
            rank=rank.name,
            affinity_key=f"{workspace.name}/{chat}",
            cost=context_tokens + turn.max_tokens,
            context_tokens=context_tokens,
            deadline=deadline,
            idempotent=True,
            hint=decode_hint(req.get_header("X-Context-Hint")),
            body=msgspec.json.encode(body),
        )
        return work, turn

    def parse_call(self, req: falcon.Request, pool: str, request_id: str) -> Work:
        """Parse a call of a plain service and return its work; see `parse_turn`."""
        workspace = self._find_workspace(req)
        rank = self._find_rank(req, workspace)
        deadline = self._read_deadline(req)
        call = self._read_body(req, CallRequest)
        return Work(
            request_id=request_id,
            workspace=workspace.name,
            pool=self._find_pool(pool, PoolKind.SERVICE).name,
            rank=rank.name,
            affinity_key=request_id,
            cost=CALL_COST_TOKENS,
            context_tokens=0,
            deadline=deadline,
            idempotent=call.idempotent,
            hint=None,
            body=msgspec.json.encode(call.payload),
        )

    def _find_workspace(self, req: falcon.Request) -> Workspace:
        name = req.get_header("X-Workspace")
        if name is None:
            raise RequestError("the header X-Workspace is missing; name a workspace")
        workspace = self._configuration.find_workspace(name)
        if workspace is None:
            raise RequestError(
                "unknown workspace; check the name", kind=ErrorKind.NOT_FOUND
            )
        key = read_bearer_key(req)
        digest = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(digest, workspace.key_sha256):
            raise RequestError("wrong workspace key", kind=ErrorKind.UNAUTHORIZED)
        return workspace

    def _find_rank(self, req: falcon.Request, workspace: Workspace) -> Rank:
        highest = self._configuration.find_rank(workspace.highest_rank)
        name = req.get_header("X-Rank") or workspace.highest_rank
        rank = self._configuration.find_rank(name)
        if rank is None:
            raise RequestError(f"unknown rank {name[:MAX_NAME_CHARACTERS]!r}")
        if highest is None or rank.order < highest.order:
            raise RequestError(
                f"workspace may use ranks from {workspace.highest_rank} down",
                kind=ErrorKind.FORBIDDEN,
            )
        return rank

    def _find_pool(self, name: str, kind: PoolKind) -> Pool:
        pool = self._configuration.find_pool(name)
        if pool is None or pool.kind is not kind:
            raise RequestError(f"no {kind} pool of that name", kind=ErrorKind.NOT_FOUND)
        return pool

    def _read_deadline(self, req: falcon.Request) -> float:
        text = req.get_header("X-Timeout-Ms")
        seconds = self._limits.default_deadline
        if text is not None:
            if not text.isdecimal() or int(text) < 1:
                raise RequestError("X-Timeout-Ms must be a whole number above 0")
            seconds = int(text) / 1000
        return self._clock() + min(seconds, self._limits.max_deadline)

    def _read_body(self, req: falcon.Request, body_type: Any) -> Any:
        data = self._read_bytes(req)
        try:
            return msgspec.json.decode(data, type=body_type)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise RequestError(f"the body is wrong: {error}") from None

    def _read_bytes(self, req: falcon.Request) -> bytes:
        limit = self._limits.body_bytes
        too_large = RequestError(
            f"the body is over {limit} bytes; send less", kind=ErrorKind.TOO_LARGE
        )
        if (req.content_length or 0) > limit:
            raise too_large
        try:
            with gevent.Timeout(self._limits.body_timeout):
                data = req.bounded_stream.read(limit + 1)
        except (Timeout, OSError):
            raise RequestError("the body did not arrive in time") from None
        if len(data) > limit:
            raise too_large
        if req.content_length is not None and len(data) < req.content_length:
            raise RequestError("the body is shorter than its Content-Length")
        return data


def read_bearer_key(req: falcon.Request) -> str:
    """Return the bearer key of the ``Authorization`` header.

    Raises
    ------
    RequestError
        If the header is missing or of another scheme.
    """
    scheme, _, key = (req.auth or "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise RequestError(
            "the header Authorization: Bearer KEY is missing",
            kind=ErrorKind.UNAUTHORIZED,
        )
    return key.strip()


def check_name(what: str, name: str) -> None:
    """Check that a name is not empty, short enough and printable.

    Raises
    ------
    RequestError
        If it is not.
    """
    if not 0 < len(name) <= MAX_NAME_CHARACTERS or not name.isprintable():
        raise RequestError(
            f"{what} must have 1 to {MAX_NAME_CHARACTERS} printable characters"
        )
