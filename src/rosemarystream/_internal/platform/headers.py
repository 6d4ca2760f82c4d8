"""HTTP headers of the platform: names, decoding of requests and answers, encoding."""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from rosemarystream._internal.models.call import Call, Headers, PromptPart
from rosemarystream._internal.models.ranges import (
    MAX_MS,
    MAX_PART_TOKENS,
    MAX_RATE_PER_S,
    MAX_SLOWNESS,
)
from rosemarystream._internal.platform.decimals import parse_decimal
from rosemarystream._internal.platform.retry_after import (
    RetryAfter,
    parse_retry_after,
)

REQUEST_ID = b"x-rosemarystream-attempt-id"
DEADLINE = b"x-rosemarystream-deadline-ms"
PROMPT_PARTS = b"x-rosemarystream-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
INTEGRITY_SEAL = b"x-rosemarystream-response-seal"
WORKSPACE = b"x-rosemarystream-tenant"
EXPECTED_SERVER = b"x-rosemarystream-expect-instance"
SERVER_LOAD = b"x-rosemarystream-server-load"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
NOT_RUN = b"x-rosemarystream-not-executed"
RETRY_AFTER = b"retry-after"
MODEL = b"x-rosemarystream-model"
PRIORITY = b"x-rosemarystream-request-priority"
CACHE_SOURCE = b"kv-fetch"
KEY = b"api-key"

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers that only an entry host may set; a caller's values are dropped.
_SET_BY_HOSTS = frozenset(
    {
        DEADLINE,
        WORKSPACE,
        EXPECTED_SERVER,
        PRIORITY,
        KEY,
        LAST_EVENT_ID,
        b"x-rosemarystream-hold",
        b"x-rosemarystream-pin-ms",
        b"x-rosemarystream-kv-backup",
        b"x-rosemarystream-expect-version",
        b"kv-from",
        CACHE_SOURCE,
    }
)
_DROPPED_FROM_ANSWERS = _HOP_BY_HOP | {SERVER_LOAD}

# Value with which a server states that it leaves, and those that state nothing.
_LEAVING = b"1"
_NEGATIONS = (b"0", b"false")
_IDENTITY = b"identity"

_OK = 200
_REDIRECTION = 300
_CLIENT_ERROR = 400
_MISDIRECTED = 421
_UNAVAILABLE = 503
# Statuses with which callers are promised that a request has not run and won't.
_PROMISES = frozenset({408, _MISDIRECTED, 429, _UNAVAILABLE})
_MAX_DIGITS = 18
_MS_PER_S = 1000.0
MAX_PRIORITY = 9
# Place of the slowness in a server's load, and its value at the usual speed.
_SLOWNESS_FIGURE = 3
_USUAL_SLOWNESS = 100.0


class AnswerHead(NamedTuple):
    """Decoded status and headers of a backend server's answer.

    Attributes
    ----------
    headers : list of tuple of bytes
        Headers to forward to the caller, without hop-by-hop headers.
    not_run : bool
        Whether the server guarantees that it has not run the request. An answer that
        isn't a failure contradicts that.
    is_sealed : bool
        Whether the answer carries the integrity seal of the server.
    is_encoded : bool
        Whether the body has a content coding other than identity.
    keep_alive_s : float or None
        Idle timeout of the connection at the server, in seconds.
    closes_connection : bool
        Whether the server closes the connection after this answer.
    is_event_stream : bool
        Whether the body is a stream of server-sent events.
    is_delimited : bool
        Whether the end of the body can be told from the end of the connection.
    slowness : float or None
        How long work takes at the server at this moment compared with its usual time;
        None if it doesn't tell.
    limit_per_s : float or None
        Requests that the server takes in a second from all hosts together; None if it
        states no limit that can be read.
    has_unreadable_limit : bool
        Whether it states one that can't be read, which doesn't end an earlier one.
    is_leaving : bool
        Whether the server states that it leaves.
    retry_after : RetryAfter or None
        When the server wants requests again; None if it doesn't tell.
    """

    status: int
    headers: Headers
    request_id: str
    not_run: bool
    is_sealed: bool
    is_encoded: bool
    keep_alive_s: float | None
    closes_connection: bool
    is_event_stream: bool
    is_delimited: bool
    slowness: float | None = None
    limit_per_s: float | None = None
    has_unreadable_limit: bool = False
    is_leaving: bool = False
    retry_after: RetryAfter | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is one of success (2xx)."""
        return _OK <= self.status < _REDIRECTION

    @property
    def promises_not_run(self) -> bool:
        """Whether callers take the status for the promise that it has not run.

        A server's own promise is `not_run`; its status alone is none.
        """
        return self.status in _PROMISES

    @property
    def asks_to_wait(self) -> bool:
        """Whether the server states when it wants requests again."""
        return self.status == _UNAVAILABLE and self.retry_after is not None


def decode_call(method: bytes, target: bytes, headers: Headers) -> Call:
    """Decode a caller's request; header names have to be in lower case."""
    first_values = _index_headers(headers)
    dropped = _HOP_BY_HOP | _parse_connection_options(headers) | _SET_BY_HOSTS
    key = first_values.get(KEY)
    return Call(
        request_id=_decode(first_values.get(REQUEST_ID, b"")),
        method=method,
        target=target,
        host=_decode(first_values.get(b"host", b"")).lower().partition(":")[0],
        path=_decode(target).partition("?")[0],
        headers=[pair for pair in headers if pair[0] not in dropped],
        key=None if key is None else _decode(key),
        wait_s=_parse_ms(first_values.get(DEADLINE)),
        model=_decode(first_values.get(MODEL, b"")),
        parts=_parse_parts(first_values.get(PROMPT_PARTS, b"")),
        last_event_id=first_values.get(LAST_EVENT_ID, b""),
    )


def decode_answer(status: int, headers: Headers) -> AnswerHead:
    """Decode the head of an answer; header names have to be in lower case."""
    first_values = _index_headers(headers)
    connection_options = _parse_connection_options(headers)
    dropped = _DROPPED_FROM_ANSWERS | connection_options
    limits = _list_values(headers, SERVER_LIMIT)
    limit_per_s = _find_limit(limits)
    return AnswerHead(
        status=status,
        headers=[pair for pair in headers if pair[0] not in dropped],
        request_id=_find_request_id(headers),
        not_run=status == _MISDIRECTED
        or (_states_not_run(headers) and status >= _CLIENT_ERROR),
        is_sealed=bool(first_values.get(INTEGRITY_SEAL)),
        is_encoded=any(
            value.lower() != _IDENTITY
            for value in _list_values(headers, b"content-encoding")
        ),
        keep_alive_s=_parse_keep_alive(first_values.get(b"keep-alive")),
        closes_connection=b"close" in connection_options,
        is_event_stream=first_values.get(b"content-type", b"")
        .lower()
        .startswith(b"text/event-stream"),
        is_delimited=b"content-length" in first_values
        or b"transfer-encoding" in first_values,
        slowness=_parse_slowness(first_values.get(SERVER_LOAD, b"")),
        limit_per_s=limit_per_s,
        has_unreadable_limit=bool(limits) and limit_per_s is None,
        is_leaving=_LEAVING in _list_values(headers, SERVER_LEAVING),
        retry_after=parse_retry_after(first_values.get(RETRY_AFTER)),
    )


def encode_call(
    call: Call,
    *,
    wait_s: float,
    server: str,
    workspace: str | None,
    level: int,
    last_event_id: bytes,
    source: str | None,
) -> Headers:
    """Encode the headers of a request to a server, without framing headers.

    Parameters
    ----------
    level : int
        Priority for the engine; 0 is first. Clipped to 0..`MAX_PRIORITY`.
    source : str or None
        Address of a server from which the engine copies the KV cache of the prompt.
    """
    headers = list(call.headers)
    headers.append((DEADLINE, b"%d" % max(1, int(wait_s * _MS_PER_S))))
    headers.append((EXPECTED_SERVER, server.encode("latin-1")))
    headers.append((PRIORITY, b"%d" % min(max(level, 0), MAX_PRIORITY)))
    if workspace is not None:
        headers.append((WORKSPACE, workspace.encode()))
    if source is not None:
        headers.append((CACHE_SOURCE, source.encode("latin-1")))
    if last_event_id:
        headers.append((LAST_EVENT_ID, last_event_id))
    return headers


def encode_retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Encode the Retry-After header, in seconds to the millisecond."""
    return (RETRY_AFTER, b"%.3f" % seconds)


def _decode(value: bytes) -> str:
    return value.decode("latin-1")


def _index_headers(headers: Headers) -> dict[bytes, bytes]:
    """Return the first value of each header."""
    return dict(reversed(headers))


def _list_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header, whose statements hold together."""
    return [value for key, value in headers if key == name]


def _find_request_id(headers: Headers) -> str:
    """Return the id of the request that is answered; empty if there are two."""
    ids = {*_list_values(headers, REQUEST_ID)}
    return _decode(ids.pop()) if len(ids) == 1 else ""


def _states_not_run(headers: Headers) -> bool:
    values = _list_values(headers, NOT_RUN)
    return bool(values) and not any(x.lower() in _NEGATIONS for x in values)


def _find_limit(values: Iterable[bytes]) -> float | None:
    """Return the least of the limits that can be read, or None.

    One that no fleet can reach is infinite, so that no permissions are asked for.
    """
    numbers = [number for x in values if (number := parse_decimal(x)) is not None]
    least = min(numbers, default=None)
    return inf if least is not None and least > MAX_RATE_PER_S else least


def _parse_connection_options(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        word.strip().lower()
        for name, value in headers
        if name == b"connection"
        for word in value.split(b",")
    )


def _parse_ms(value: bytes | None) -> float | None:
    number = None if value is None else parse_whole(value, MAX_MS)
    return None if number is None else number / _MS_PER_S


def parse_whole(value: bytes, most: int) -> int | None:
    """Return the whole number of a header; None if it is none, or above its range."""
    # int() fails on some thousands of digits.
    if not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    number = int(value)
    return number if number <= most else None


def _parse_slowness(value: bytes) -> float | None:
    """Return the fourth figure of a server's load; the platform states it in %."""
    figures = value.split(b",")
    if len(figures) <= _SLOWNESS_FIGURE:
        return None
    most = int(MAX_SLOWNESS * _USUAL_SLOWNESS)
    figure = parse_whole(figures[_SLOWNESS_FIGURE].strip(), most)
    return figure / _USUAL_SLOWNESS if figure else None


def _parse_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; one of no readable size counts as empty."""
    parts = []
    for entry in value.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        number = parse_whole(tokens, MAX_PART_TOKENS)
        if name:
            parts.append(PromptPart(_decode(name), number or 0))
    return tuple(parts)


def _parse_keep_alive(value: bytes | None) -> float | None:
    for word in (value or b"").split(b","):
        name, _, seconds = word.strip().partition(b"=")
        if name.lower() == b"timeout":
            number = parse_decimal(seconds)
            return None if number is None else min(number, MAX_MS)
    return None
