"""Checks of a request head that are stricter than those of h11.

A head that two parsers may frame differently allows request smuggling: a second
request passes one of them unnoticed. Such heads are refused.
"""

import re

from rosemarystream._internal.exceptions import RequestError

_END = b"\r\n\r\n"
_FORBIDDEN_BYTES = re.compile(rb"(?<!\r)\n|\r(?!\n)|\x00")
_FIELD_LINE = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:")
_CONTENT_LENGTH = re.compile(rb"^[0-9]{1,18}$")


class HttpHeadError(RequestError):
    """A request head is ambiguously framed or malformed."""


def find_head_end(data: bytes | bytearray, start: int = 0) -> int:
    """Return the position behind the head that begins at `start`, 0 if incomplete."""
    end = data.find(_END, start)
    return end + len(_END) if end >= 0 else 0


def check_http_head(head: bytes) -> None:
    """Reject a head that parsers may interpret differently.

    Raises
    ------
    HttpHeadError
        If the head is ambiguous or malformed; the message gives the reason.
    """
    if _FORBIDDEN_BYTES.search(head):
        raise HttpHeadError("bare line feed, carriage return or zero byte")
    framing = _FramingHeaders()
    for line in head[: -len(_END)].split(b"\r\n")[1:]:
        if not _FIELD_LINE.match(line):
            raise HttpHeadError("malformed header line")
        name, _, value = line.partition(b":")
        framing.add(name.lower(), value.strip())
    framing.check()


class _FramingHeaders:
    """Collects the headers that determine a request's length and host."""

    def __init__(self) -> None:
        self._lengths: list[bytes] = []
        self._codings: list[bytes] = []
        self._hosts: list[bytes] = []
        self._values = {
            b"content-length": self._lengths,
            b"transfer-encoding": self._codings,
            b"host": self._hosts,
        }

    def add(self, name: bytes, value: bytes) -> None:
        if name in self._values:
            self._values[name].append(value)

    def check(self) -> None:
        if self._lengths and self._codings:
            raise HttpHeadError("both Content-Length and Transfer-Encoding")
        if any(len(values) > 1 for values in self._values.values()):
            raise HttpHeadError("repeated framing or Host header")
        if self._lengths and not _CONTENT_LENGTH.match(self._lengths[0]):
            raise HttpHeadError("malformed Content-Length")
        if self._codings and self._codings[0].lower() != b"chunked":
            raise HttpHeadError("unknown Transfer-Encoding")
