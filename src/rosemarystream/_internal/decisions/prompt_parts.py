"""Numbers of prompt parts, which are sent, stored and logged instead of the names."""

import re
from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

from rosemarystream._internal.models.call import PromptPart

_PART_NUMBER = re.compile(r"[0-9a-f]{1,16}")


def hash_shared_parts(parts: Sequence[PromptPart]) -> tuple[int, ...]:
    """Return the numbers of the parts but the last, which is the request's own.

    They are sent and stored instead of the names, and long enough that two names with
    the same number are not met.
    """
    return tuple(xxh3_64_intdigest(part.name.encode()) for part in parts[:-1])


def format_part(part: int) -> str:
    """Return the number of a part as it stands in logs, state dump and store."""
    return f"{part:016x}"


def parse_part(text: str) -> int:
    """Return the number that `format_part` has written.

    Raises
    ------
    ValueError
        If the text is no such number.
    """
    if not _PART_NUMBER.fullmatch(text):
        raise ValueError(f"{text!r} is no number of a prompt part")
    return int(text, 16)
