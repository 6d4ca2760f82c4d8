"""Rendezvous hashing (a stable order of candidates for each key) and name hashes."""

from collections.abc import Iterable
from functools import lru_cache

from xxhash import xxh3_64_intdigest

_SEPARATOR = "\x00"
_SHORT_BITS = 16
_NUMBER_BITS = 32
# Names whose numbers are kept: those of the servers are needed for each request.
_MAX_KEPT_NUMBERS = 16_384


def hash_name_16(name: str) -> int:
    """Return a 16-bit hash of a name, to be sent instead of the name."""
    return xxh3_64_intdigest(name.encode()) & ((1 << _SHORT_BITS) - 1)


@lru_cache(maxsize=_MAX_KEPT_NUMBERS)
def hash_name_32(name: str) -> int:
    """Return a 32-bit hash of a name, to be sent and stored instead of the name."""
    return xxh3_64_intdigest(name.encode()) & ((1 << _NUMBER_BITS) - 1)


def score_candidate(key: str, candidate: str) -> int:
    """Return the score of a candidate for a key; the highest score wins."""
    return xxh3_64_intdigest(f"{candidate}{_SEPARATOR}{key}".encode())


def order_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates from most to least preferred for a key.

    A candidate that joins or leaves moves only the keys that it wins or held.
    """
    return sorted(
        candidates,
        key=lambda candidate: (score_candidate(key, candidate), candidate),
        reverse=True,
    )


def pick_candidate(key: str, candidates: Iterable[str]) -> str | None:
    """Return the most preferred candidate, or None if there are no candidates."""
    return max(
        candidates,
        key=lambda candidate: (score_candidate(key, candidate), candidate),
        default=None,
    )
