"""A data centre's quotas of the requests that limited backend servers take.

Handles limits of a few requests a second that hundreds of hosts share: equal parts
would be fractions of a request, and most would lie idle. Each data centre has a fixed
part, so that none depends on another one when it is cut off. Within it, one host (the
first collector) permits each request at the moment at which it is to be sent.
"""

from collections.abc import Collection
from typing import NamedTuple

from rosemarystream._internal.decisions.bounded_dict import BoundedDict
from rosemarystream._internal.decisions.hashing import order_candidates

# Data centres among which a server's limit is divided; in a larger fleet these are
# others for each server. Each may send one request at once after a quiet time.
MAX_SHARING = 5
# Time over which permissions that nobody takes add up.
BURST_S = 0.5
# Rate at which a server that states a lower limit, or takes nothing, is still asked.
LEAST_PER_S = 0.25
# Time until the next question, where the data centre has no part of the limit.
NO_SHARE_WAIT_S = 1.0
# Largest number of servers whose permissions are remembered.
MAX_SERVERS = 8_192


class Decision(NamedTuple):
    """Whether a request may be sent; if not, the time until the next may, in s."""

    is_permitted: bool
    wait_s: float = 0.0


class _Bucket(NamedTuple):
    """Permissions at hand for one server, as of a time."""

    permissions: float
    updated_at: float


class LimitQuotas:
    """Permissions of one data centre by server number, as token buckets.

    They start empty, as another host may just have given what was there.
    """

    def __init__(self) -> None:
        self._buckets = BoundedDict[int, _Bucket](most=MAX_SERVERS)

    def take(self, server: int, per_s: float, *, share: float, now: float) -> Decision:
        """Take a permission to send one request to a server, if there is one.

        Parameters
        ----------
        per_s : float
            Limit of the server, in requests per second of all hosts.
        share : float
            Part of it that this data centre may use, 0 to 1.
        """
        rate = max(per_s, LEAST_PER_S) * share
        if not rate:
            return Decision(is_permitted=False, wait_s=NO_SHARE_WAIT_S)
        known = self._buckets.get(server, _Bucket(0.0, now))
        permissions = min(
            max(1.0, rate * BURST_S),
            known.permissions + rate * (now - known.updated_at),
        )
        is_permitted = permissions >= 1.0
        left = permissions - 1.0 if is_permitted else permissions
        self._buckets.put(server, _Bucket(left, now))
        wait_s = 0.0 if is_permitted else (1.0 - permissions) / rate
        return Decision(is_permitted, wait_s)


def compute_share(
    server: int, data_centre: str, data_centres: Collection[str]
) -> float:
    """Return the part of a server's limit that a data centre may use, 0 to 1.

    Parameters
    ----------
    data_centres : collection of str
        All known data centres, this one included.
    """
    if len(data_centres) > MAX_SHARING:
        data_centres = order_candidates(str(server), data_centres)[:MAX_SHARING]
    return 1.0 / len(data_centres) if data_centre in data_centres else 0.0
