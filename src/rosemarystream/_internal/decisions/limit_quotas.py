"""A data centre's quotas of the requests that limited backend servers take.

Handles limits of a few requests a second that hundreds of hosts share: equal parts
would be fractions of a request, and most would lie idle. Each data centre has a fixed
part, so that none depends on another one when it is cut off. Within it, one host (the
first collector) permits each request at the moment at which it is to be sent.

Servers that are cold have the same kind of parts, at rates at which the bound of each
second holds while two hosts of a data centre permit requests for some seconds.
"""

from collections.abc import Collection
from functools import lru_cache
from math import floor
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
# Permissions of a cold server that add up while nobody takes them: a little over one,
# so that a question that comes late by a few hundredths of a second loses nothing.
COLD_BURST = 1.15
# Data centres in which two hosts may give permissions for a cold server at once, and
# the share of the rate that the second one gives.
MAX_DOUBLE_GRANTORS = 2
SUCCESSOR_SHARE = 0.5
# Time from a permission until its request has arrived: those of a little over a second
# may arrive within one.
MAX_DELAY_S = 0.08
# Share of a cold server's rate that is given out at most, and at least if possible.
MAX_RATE_SHARE = 0.95
MIN_RATE_SHARE = 0.8
# Hosts that are told the same moment for their next question, as some of them have no
# request by then.
ASKERS_PER_PERMISSION = 6
# Longest time until a host that was refused may ask again.
MAX_BOOKED_S = 1.0


class Decision(NamedTuple):
    """Whether a request may be sent; if not, the time until the next may, in s."""

    is_permitted: bool
    wait_s: float = 0.0


class ColdBound(NamedTuple):
    """What a cold server may get in a second: a multiple of its rate and some more."""

    overshoot: float = 1.5
    slack: float = 5.0

    def compute(self, per_s: float) -> float:
        """Return the bound for a server that takes this many requests a second."""
        return self.overshoot * per_s + self.slack


class _Bucket(NamedTuple):
    """Permissions at hand for one server, as of a time.

    Attributes
    ----------
    asked_again_at : float
        When the last host that was refused may ask again.
    """

    permissions: float
    updated_at: float
    asked_again_at: float = 0.0


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

    def take_cold(self, server: int, rate: float, now: float) -> Decision:
        """Take a permission to send one request to a cold server, if there is one.

        Hosts that are refused are told different times, so that not all of them ask for
        each permission.

        Parameters
        ----------
        rate : float
            Requests a second that this data centre may send.
        """
        if not rate:
            return Decision(is_permitted=False, wait_s=NO_SHARE_WAIT_S)
        known = self._buckets.get(server, _Bucket(0.0, now))
        permissions = min(
            COLD_BURST, known.permissions + rate * (now - known.updated_at)
        )
        if permissions >= 1.0:
            bucket = _Bucket(permissions - 1.0, now, known.asked_again_at)
            self._buckets.put(server, bucket)
            return Decision(is_permitted=True)
        first = now + (1.0 - permissions) / rate
        booked = known.asked_again_at + 1.0 / (rate * ASKERS_PER_PERMISSION)
        again_at = min(max(first, booked), max(first, now + MAX_BOOKED_S))
        self._buckets.put(server, _Bucket(permissions, now, again_at))
        return Decision(is_permitted=False, wait_s=again_at - now)


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


def compute_cold_rate(
    server: int,
    data_centre: str,
    data_centres: Collection[str],
    *,
    home: str | None,
    per_s: float,
    bound: ColdBound,
) -> float:
    """Return the rate at which a data centre may send to a cold server, per second.

    The rates of all data centres together keep within the bound in each second, also
    while `MAX_DOUBLE_GRANTORS` of them have two hosts that give permissions, the later
    one `SUCCESSOR_SHARE` of the rate.

    Parameters
    ----------
    data_centres : collection of str
        All known data centres, this one included.
    home : str or None
        Data centre of the server, which always has a part.
    per_s : float
        Requests a second that the server takes.
    """
    parts, rate = _divide_cold(per_s, bound, min(len(data_centres), MAX_SHARING))
    others = order_candidates(str(server), {*data_centres} - {home})
    sharing = ([home] if home in data_centres else []) + others
    return rate if data_centre in sharing[:parts] else 0.0


@lru_cache(maxsize=1024)
def _divide_cold(per_s: float, bound: ColdBound, most: int) -> tuple[int, float]:
    """Return among how many data centres a rate is divided, and the rate of each.

    As many as can use most of the rate. Small bounds leave less of it to more of them,
    as each may send one request at once after a quiet time.
    """
    allowed = bound.compute(per_s)
    rates = {
        parts: _compute_part(per_s, allowed, parts) for parts in range(1, most + 1)
    }
    enough = [n for n, rate in rates.items() if n * rate >= MIN_RATE_SHARE * per_s]
    parts = max(enough) if enough else max(rates, key=lambda n: n * rates[n])
    # A bound below that of two hosts at once can only hold while there is one.
    return parts, rates[parts] or min(MAX_RATE_SHARE * per_s, 1.0 / (1.0 + MAX_DELAY_S))


def _compute_part(per_s: float, allowed: float, parts: int) -> float:
    """Return the rate of one of some equal parts of what a cold server may get.

    A bucket of rate r permits up to `COLD_BURST` + r t requests within a time t. All
    buckets, with the later ones of data centres in dispute, have to keep within the
    bound.
    """
    disputed = min(MAX_DOUBLE_GRANTORS, max(1, parts - 1))
    time_s = 1.0 + MAX_DELAY_S
    for permitted in range(floor(allowed / parts), 0, -1):
        # A little less, so that the last permission falls outside of the time.
        rate = (permitted + 0.99 - COLD_BURST) / time_s
        later = floor(COLD_BURST + SUCCESSOR_SHARE * rate * time_s)
        if parts * permitted + disputed * later <= allowed:
            return min(rate, MAX_RATE_SHARE * per_s / parts)
    return 0.0
