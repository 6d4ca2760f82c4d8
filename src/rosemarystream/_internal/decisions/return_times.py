"""When the caller of a refused request should return.

Handles callers that return together and are refused together: their times are spread
by a hash of the request id, and are the longer the smaller the share that is sent.
"""

from xxhash import xxh3_64_intdigest

# Shortest time to advise, in seconds.
MIN_RETRY_AFTER_S = 0.1
# Time that the backlog of a service is assumed to last while next to nothing of its
# demand is sent, in seconds; bursts last some seconds, and a request's time is less.
BACKLOG_S = 4.0
# Largest part of its remaining time after which a caller returns.
MAX_PART_OF_TIME = 1 / 3
# Part of the time up to which the returns are spread.
SPREAD = 0.5
_HASH_RANGE = 2**64


def compute_retry_after(*, share: float, left_s: float, key: str) -> float:
    """Return the time in seconds after which a caller should return.

    Parameters
    ----------
    share : float
        Share of the service's requests that this host sends at present, 0 to 1.
    left_s : float
        Time that is left for the request, in seconds.
    key : str
        Identifier of the request.
    """
    draw = xxh3_64_intdigest(f"{key}/return".encode()) / _HASH_RANGE
    longest_s = min((1.0 - share) * BACKLOG_S, left_s * MAX_PART_OF_TIME)
    return max(MIN_RETRY_AFTER_S, longest_s * (1.0 - SPREAD * draw))
