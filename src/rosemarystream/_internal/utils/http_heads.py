"""Checks of a request head that stricter readers than h11's make.

Bytes that two readers may frame differently can carry a second request past
one of them, so they are refused.
"""

import re

from rosemarystream._internal.exceptions import RequestError

_END = b"\r\n\r\n"
_FORBIDDEN_BYTES = re.compile(rb"(?<!\r)\n|\r(?!\n)|\x00")
_FIELD_LINE = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:")
_CONTENT_LENGTH = re.compile(rb"^[0-9]{1,18}$")


class HttpHeadError(RequestError):
    """A request head is ambiguous or malformed."""


def find_head_end(data: bytes) -> int:
    """Return the length of the head with its empty line, or 0."""
    end = data.find(_END)
    return end + len(_END) if end >= 0 else 0


def check_http_head(head: bytes) -> None:
    """Refuse a head that could be read in two ways.

    Raises
    ------
    HttpHeadError
        With what is wrong.
    """
    if _FORBIDDEN_BYTES.search(head):
        raise HttpHeadError("bare line feed, carriage return or zero byte")
    framing = _Framing()
    for line in head[: -len(_END)].split(b"\r\n")[1:]:
        if not _FIELD_LINE.match(line):
            raise HttpHeadError("malformed header line")
        name, _, value = line.partition(b":")
        framing.add(name.lower(), value.strip())
    framing.check()


class _Framing:
    """Headers that say where a request ends and whose it is."""

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
