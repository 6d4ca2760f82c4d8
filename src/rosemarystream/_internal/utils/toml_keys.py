"""Small helpers for text."""

import re
from collections.abc import Sequence

_HEADER = re.compile(r"^\s*\[+\s*([\w.-]+)\s*\]+")


def find_key_line(text: str, path: Sequence[int | str]) -> int:
    """Return the line of a TOML key, counted from 1.

    Falls back to the line of its section, then to 1.

    Parameters
    ----------
    text : str
        The TOML document.
    path : sequence of int or str
        Section, index of an array's table if any, and key.
    """
    section = str(path[0]) if path else ""
    index = next((part for part in path[1:] if isinstance(part, int)), 0)
    key = str(path[-1])
    found = 1
    seen = -1
    inside = False
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header:
            if header.group(1) == section:
                seen += 1
            inside = header.group(1) == section and seen == index
            if inside:
                found = number
        elif inside and re.match(rf"\s*{re.escape(key)}\s*=", line):
            return number
    return found
