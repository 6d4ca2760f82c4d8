"""Checks of a request head that stricter readers than h11's make.

Bytes that two readers may frame differently can carry a second request past
one of them, so they are refused.
"""

import re

_END = b"\r\n\r\n"
_BARE = re.compile(rb"(?<!\r)\n|\r(?!\n)|\x00")
_FIELD = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+:")
_LENGTH = re.compile(rb"^[0-9]{1,18}$")


class HeadError(ValueError):
    """A request head is ambiguous or malformed."""


def find_head_end(data: bytes) -> int:
    """Return the length of the head with its empty line, or 0."""
    end = data.find(_END)
    return end + len(_END) if end >= 0 else 0


def check_head(head: bytes) -> None:
    """Refuse a head that could be read in two ways.

    Raises
    ------
    HeadError
        With what is wrong.
    """
    if _BARE.search(head):
        raise HeadError("bare line feed, carriage return or zero byte")
    lengths: list[bytes] = []
    codings: list[bytes] = []
    hosts = 0
    for line in head[: -len(_END)].split(b"\r\n")[1:]:
        if not _FIELD.match(line):
            raise HeadError("malformed header line")
        name, _, value = line.partition(b":")
        name = name.lower()
        if name == b"content-length":
            lengths.append(value.strip())
        elif name == b"transfer-encoding":
            codings.append(value.strip().lower())
        elif name == b"host":
            hosts += 1
    if lengths and codings:
        raise HeadError("both Content-Length and Transfer-Encoding")
    if len(lengths) > 1 or len(codings) > 1 or hosts > 1:
        raise HeadError("repeated framing or Host header")
    if lengths and not _LENGTH.match(lengths[0]):
        raise HeadError("malformed Content-Length")
    if codings and codings != [b"chunked"]:
        raise HeadError("unknown Transfer-Encoding")
