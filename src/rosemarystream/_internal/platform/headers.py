"""Headers of the platform: their names, and requests and answers decoded."""

from typing import NamedTuple

from rosemarystream._internal.models.call import Call, Headers, PromptPart

REQUEST_ID = b"x-rosemarystream-attempt-id"
DEADLINE = b"x-rosemarystream-deadline-ms"
PROMPT_PARTS = b"x-rosemarystream-prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
INTEGRITY_SEAL = b"x-rosemarystream-response-seal"
WORKSPACE = b"x-rosemarystream-tenant"
EXPECTED_SERVER = b"x-rosemarystream-expect-instance"
SERVER_LOAD = b"x-rosemarystream-server-load"
NOT_RUN = b"x-rosemarystream-not-executed"
RETRY_AFTER = b"retry-after"
MODEL = b"x-rosemarystream-model"
PRIORITY = b"x-rosemarystream-request-priority"
CACHE_SOURCE = b"kv-fetch"
KEY = b"api-key"

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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
# Headers that only a host may set; a caller's are dropped.
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

_MS_PER_S = 1000.0
MAX_PRIORITY = 9


class AnswerHead(NamedTuple):
    """What the head of a server's answer says.

    Attributes
    ----------
    headers : list of tuple of bytes
        Headers for the caller; those of one connection are left out.
    not_run : bool
        Whether the server promises that the request has not run.
    is_sealed : bool
        Whether the server vouches for the answer with its seal.
    keep_alive_s : float or None
        Idle time after which the server closes the connection, in seconds.
    closes_connection : bool
        Whether the server closes the connection after this answer.
    is_event_stream : bool
        Whether the body is a stream of events.
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


def decode_call(method: bytes, target: bytes, headers: Headers) -> Call:
    """Return a caller's request; header names are in lower case."""
    first = _index_headers(headers)
    dropped = _HOP_BY_HOP | _list_connection_headers(headers) | _SET_BY_HOSTS
    key = first.get(KEY)
    return Call(
        request_id=_decode(first.get(REQUEST_ID, b"")),
        method=method,
        target=target,
        host=_decode(first.get(b"host", b"")).lower().partition(":")[0],
        path=_decode(target).partition("?")[0],
        headers=[pair for pair in headers if pair[0] not in dropped],
        key=None if key is None else _decode(key),
        wait_s=_parse_ms(first.get(DEADLINE)),
        model=_decode(first.get(MODEL, b"")),
        parts=_parse_parts(first.get(PROMPT_PARTS, b"")),
        last_event_id=first.get(LAST_EVENT_ID, b""),
    )


def decode_answer(status: int, headers: Headers) -> AnswerHead:
    """Return the head of a server's answer; header names are in lower case."""
    first = _index_headers(headers)
    named = _list_connection_headers(headers)
    dropped = _DROPPED_FROM_ANSWERS | named
    return AnswerHead(
        status=status,
        headers=[pair for pair in headers if pair[0] not in dropped],
        request_id=_decode(first.get(REQUEST_ID, b"")),
        not_run=NOT_RUN in first or status == 421,
        is_sealed=INTEGRITY_SEAL in first,
        is_encoded=first.get(b"content-encoding", b"identity") != b"identity",
        keep_alive_s=_parse_keep_alive(first.get(b"keep-alive")),
        closes_connection=b"close" in named,
        is_event_stream=first.get(b"content-type", b"").startswith(
            b"text/event-stream"
        ),
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
    """Return the headers of a request to a server, without its framing.

    Parameters
    ----------
    source : str or None
        Address of a server from which memory of the prompt is copied.
    """
    headers = list(call.headers)
    headers.append((DEADLINE, b"%d" % max(1, int(wait_s * _MS_PER_S))))
    headers.append((EXPECTED_SERVER, server.encode("latin-1")))
    headers.append((PRIORITY, b"%d" % min(max(level, 0), MAX_PRIORITY)))
    if workspace is not None:
        headers.append((WORKSPACE, workspace.encode("latin-1")))
    if source is not None:
        headers.append((CACHE_SOURCE, source.encode("latin-1")))
    if last_event_id:
        headers.append((LAST_EVENT_ID, last_event_id))
    return headers


def encode_retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Return the header that tells a caller when to come back."""
    return (RETRY_AFTER, b"%.3f" % seconds)


def _decode(value: bytes) -> str:
    return value.decode("latin-1")


def _index_headers(headers: Headers) -> dict[bytes, bytes]:
    """Return the first value of each header."""
    return dict(reversed(headers))


def _list_connection_headers(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        word.strip().lower()
        for name, value in headers
        if name == b"connection"
        for word in value.split(b",")
    )


def _parse_ms(value: bytes | None) -> float | None:
    if value is None or not value.isdigit():
        return None
    return int(value) / _MS_PER_S


def _parse_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        if name and tokens.isdigit():
            parts.append(PromptPart(_decode(name), int(tokens)))
    return tuple(parts)


def _parse_keep_alive(value: bytes | None) -> float | None:
    for word in (value or b"").split(b","):
        name, _, seconds = word.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None
