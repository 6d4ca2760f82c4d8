"""HTTP client functions for tests and demonstrations."""

import http.client
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

TIMEOUT_SECONDS = 60.0


class Reply(NamedTuple):
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body)


class StreamReply(NamedTuple):
    """A token stream read to its end.

    Attributes
    ----------
    status : int
        HTTP status.
    tokens : list of str
        Tokens in order, checked for gaps and repeats.
    end : dict or None
        Data of the end marker.
    error : dict or None
        Data of the error event, or the body of an error answer.
    """

    status: int
    tokens: list[str]
    end: Any
    error: Any


def request(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = TIMEOUT_SECONDS,
) -> Reply:
    """Send one request and return the whole response.

    Raises
    ------
    ConnectionError
        If the response is incomplete or malformed.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else msgspec.json.encode(body)
        connection.request(method, path, body=data, headers=headers or {})
        answer = connection.getresponse()
        return Reply(answer.status, dict(answer.getheaders()), answer.read())
    except http.client.HTTPException as error:
        raise ConnectionError(f"{method} {path}: {error!r}") from error
    finally:
        connection.close()


def request_json(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Any:
    """Send one request and return the decoded JSON of the response."""
    return request(method, address, path, body, headers).json()


def make_headers(
    workspace: str, key: str, rank: str | None = None, **more: str
) -> dict[str, str]:
    """Return the headers by which a caller authenticates and names its rank."""
    headers = {"X-Workspace": workspace, "Authorization": f"Bearer {key}", **more}
    if rank is not None:
        headers["X-Rank"] = rank
    return headers


def iterate_events(answer: Any) -> Iterator[tuple[str, Any]]:
    """Yield name and data of each server-sent event of a response."""
    name = "message"
    for raw in answer:
        line = raw.strip()
        if line.startswith(b"event: "):
            name = line[7:].decode()
        elif line.startswith(b"data: "):
            yield name, msgspec.json.decode(line[6:])
            name = "message"


def stream_turn(
    address: str,
    chat: str,
    body: dict[str, Any],
    headers: dict[str, str],
    timeout: float = TIMEOUT_SECONDS,
) -> StreamReply:
    """Send a chat turn and read its token stream.

    Raises
    ------
    AssertionError
        If a token is missing or repeated.
    ConnectionError
        If the stream ends without an end marker or error event.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        path = f"/v1/chats/{chat}/turns"
        connection.request("POST", path, msgspec.json.encode(body), headers)
        answer = connection.getresponse()
        if answer.status != 200:
            error = msgspec.json.decode(answer.read())
            return StreamReply(answer.status, [], None, error)
        return _read_stream(answer)
    except http.client.HTTPException as error:
        raise ConnectionError(f"the stream was cut: {error!r}") from error
    finally:
        connection.close()


def _read_stream(answer: Any) -> StreamReply:
    tokens: list[str] = []
    for name, data in iterate_events(answer):
        if name == "end":
            return StreamReply(200, tokens, data, None)
        if name == "error":
            return StreamReply(200, tokens, None, data)
        if data["sequence"] != len(tokens):
            raise AssertionError(f"token {data['sequence']} after {len(tokens)}")
        tokens.append(data["text"])
    raise ConnectionError("the stream ended without an end marker")
