"""Splitting of JSON texts of any depth, without recursion.

msgspec skips nested values recursively, so one deep value makes all of a text
unreadable. Here the text is only divided; the parts are decoded one by one.
"""

import re
from collections.abc import Iterator

# Strings, runs of brackets, and commas. Possessive, so that the time stays linear.
_TOKENS = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)|[\[{]+|[\]}]+|,', re.DOTALL)
_KEY = re.compile(rb'\s*"((?:[^"\\]++|\\.)*+)"\s*:\s*', re.DOTALL)


def split_elements(text: bytes) -> Iterator[bytes]:
    """Yield the texts between the commas of an array, or of an object.

    Raises
    ------
    ValueError
        If the array or object has no end.
    """
    depth = start = 0
    for token in _TOKENS.finditer(text):
        kind = token.group()[:1]
        if kind in b"[{":
            start = start if depth else token.start() + 1
            depth += len(token.group())
        elif kind in b"]}":
            end = token.start() + depth - 1
            depth -= len(token.group())
            if depth <= 0:
                yield text[start:end]
                return
        elif kind == b"," and depth == 1:
            yield text[start : token.start()]
            start = token.end()
    raise ValueError("a JSON array or object has no end")


def split_members(text: bytes) -> dict[bytes, bytes]:
    """Return the texts of an object's values by key; no object has no members.

    Raises
    ------
    ValueError
        If the object has no end.
    """
    if not text.lstrip().startswith(b"{"):
        return {}
    members = {}
    for element in split_elements(text):
        key = _KEY.match(element)
        if key is not None:
            members[key.group(1)] = element[key.end() :]
    return members
