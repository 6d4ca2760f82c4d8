"""HTTP message heads that two parsers could frame differently are refused."""

import pytest

from rosemarystream._internal.utils.http_heads import (
    HttpHeadError,
    check_http_head,
    find_head_end,
)

PLAIN = b"POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n"


def test_a_plain_head_passes():
    check_http_head(PLAIN)


def test_end_of_a_head_is_after_its_empty_line():
    assert find_head_end(PLAIN + b"abc") == len(PLAIN)
    assert find_head_end(PLAIN[:-2]) == 0


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked",
        b"Content-Length: 3\r\nContent-Length: 4",
        b"Content-Length: 3\r\nContent-Length: 3",
        b"Content-Length: +3",
        b"Content-Length: 3, 3",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        b"Transfer-Encoding : chunked",
        b"X-A: 1\nX-B: 2",
        b"X-A: 1\rX-B: 2",
        b"X-A: 1\r\n folded",
        b"X-A: \x00",
        b"Host: y",
    ],
)
def test_an_ambiguous_head_is_refused(lines):
    with pytest.raises(HttpHeadError):
        check_http_head(b"POST /a/ HTTP/1.1\r\nHost: x\r\n" + lines + b"\r\n\r\n")
