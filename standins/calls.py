"""Plain HTTP calls of tests and demonstrations."""

import http.client
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

TIMEOUT_SECONDS = 60.0


class Reply(NamedTuple):
    """Status, headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body)


class StreamReply(NamedTuple):
    """A token stream that was read to its end.

    Attributes
    ----------
    status : int
        HTTP status.
    tokens : list of str
        Tokens in order; checked for gaps and repeats.
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
    """Send one request and return the whole answer."""
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
    """Send one request and return the JSON of the answer."""
    return request(method, address, path, body, headers).json()


def make_headers(
    workspace: str, key: str, rank: str | None = None, **more: str
) -> dict[str, str]:
    """Return the headers of a caller."""
    headers = {"X-Workspace": workspace, "Authorization": f"Bearer {key}", **more}
    if rank is not None:
        headers["X-Rank"] = rank
    return headers


def iterate_events(answer: Any) -> Iterator[tuple[str, Any]]:
    """Yield name and data of the server-sent events of an answer."""
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
    """Send a turn and read its stream; raise on a gap or a silent cut."""
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
