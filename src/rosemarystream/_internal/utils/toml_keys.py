"""Positions of keys in a TOML document, for error messages."""

import re
from collections.abc import Sequence

_HEADER = re.compile(r"^\s*\[+\s*([\w.-]+)\s*\]+")


def find_key_line(text: str, path: Sequence[int | str]) -> int:
    """Return the line number of a TOML key, counted from 1.

    If the key is absent, it is the line of its section, or else 1.

    Parameters
    ----------
    text : str
        Text of the TOML document.
    path : sequence of int or str
        Section, index in an array of tables if any, and key.
    """
    section = str(path[0]) if path else ""
    index = next((part for part in path[1:] if isinstance(part, int)), 0)
    key = str(path[-1])
    section_line = 1
    table_index = -1
    is_inside = False
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header:
            if header.group(1) == section:
                table_index += 1
            is_inside = header.group(1) == section and table_index == index
            if is_inside:
                section_line = number
        elif is_inside and re.match(rf"\s*{re.escape(key)}\s*=", line):
            return number
    return section_line
