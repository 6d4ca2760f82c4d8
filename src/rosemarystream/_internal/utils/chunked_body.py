"""Decoding of a body in chunks (RFC 9112, section 7.1), many chunks at a time.

h11 makes an event of each chunk. A sender of one-byte chunks would make a body of the
longest allowed length cost a host seconds of processor time.
"""

import re

from rosemarystream._internal.exceptions import RequestError

LAST_CHUNK = b"0\r\n"
_LINE_END = b"\r\n"
_CHUNK_HEAD = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n\x00]*|[ \t]*)\r\n")
# Chunks of one step, so that its user can let others run in between.
_STEP_CHUNKS = 512


class ChunkedBodyError(RequestError):
    """The chunks of a body are malformed."""


class ChunkedDecoder:
    """Decodes the chunks of one body before its last one, which has no contents.

    Parameters
    ----------
    max_head_bytes : int
        Longest head of a chunk, its extensions included.

    Attributes
    ----------
    is_at_end : bool
        Whether the last chunk has come; its head is removed, what follows is trailers.
    """

    def __init__(self, *, max_head_bytes: int) -> None:
        self.is_at_end = False
        self._max_head_bytes = max_head_bytes
        # Contents that the current chunk lacks; None before its head.
        self._missing_bytes: int | None = None

    def decode(self, data: bytearray) -> bytearray:
        """Remove chunks from the start of `data`; return their contents.

        There are none at the end of the body, or if more has to be received.

        Raises
        ------
        ChunkedBodyError
            If they are malformed.
        """
        contents = bytearray()
        if self.is_at_end:
            return contents
        position = 0
        for _ in range(_STEP_CHUNKS):
            if self._missing_bytes is None:
                head = _CHUNK_HEAD.match(data, position)
                if head is None:
                    self._check_partial_head(data, position)
                    break
                position = head.end()
                self._missing_bytes = int(head[1], 16)
                if not self._missing_bytes:
                    self.is_at_end = True
                    break
            received = data[position : position + self._missing_bytes]
            contents += received
            position += len(received)
            self._missing_bytes -= len(received)
            if self._missing_bytes:
                break
            line_end = data[position : position + len(_LINE_END)]
            if line_end != _LINE_END:
                if not _LINE_END.startswith(line_end):
                    raise ChunkedBodyError("a chunk is longer than its size")
                break
            position += len(_LINE_END)
            self._missing_bytes = None
        del data[:position]
        return contents

    def _check_partial_head(self, data: bytearray, start: int) -> None:
        if data.find(_LINE_END, start) >= 0:
            raise ChunkedBodyError("malformed head of a chunk")
        if len(data) - start > self._max_head_bytes:
            raise ChunkedBodyError(f"over {self._max_head_bytes} bytes of chunk head")
