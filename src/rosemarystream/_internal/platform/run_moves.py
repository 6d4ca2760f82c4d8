"""Calls that stop a run at its server and move it to another one."""

from typing import Any
from urllib.parse import quote

import msgspec

from rosemarystream._internal.models.call import Headers
from rosemarystream._internal.models.ranges import Name
from rosemarystream._internal.platform.documents import is_server_name
from rosemarystream._internal.platform.headers import EXPECTED_SERVER

MOVE_METHOD = b"POST"
MOVE_TARGET = b"/v1/kv-move"
FREE_METHOD = b"DELETE"
_FREE_TARGET = "/v1/kv-handle/"


class _Answer(msgspec.Struct):
    handle: Name


_decoder = msgspec.json.Decoder(_Answer)


def encode_move(request_id: str, *, to: str) -> bytes:
    """Encode the body of a call that stops a run for good and moves it.

    Parameters
    ----------
    to : str
        Address of the server that takes the run.
    """
    body: dict[str, Any] = {"id": request_id, "to": to, "last": True}
    return msgspec.json.encode(body)


def encode_headers(*, server: str, address: str) -> Headers:
    """Encode the headers of a call about a run, without framing headers.

    Parameters
    ----------
    server, address : str
        Name and address of the server that is called.
    """
    return [
        (b"host", address.encode()),
        (b"content-type", b"application/json"),
        (EXPECTED_SERVER, server.encode("latin-1")),
    ]


def encode_free_target(handle: str) -> bytes:
    """Encode the target of a call that frees a handle that isn't used."""
    return (_FREE_TARGET + quote(handle, safe="", encoding="latin-1")).encode()


def decode_handle(body: bytes) -> str:
    """Return the handle that an answer has; empty if it has no usable one."""
    try:
        handle = _decoder.decode(body).handle
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return ""
    # A handle is sent on in a header, as names of servers are.
    return handle if is_server_name(handle) else ""
