"""The header Retry-After of servers' answers."""

import re
from datetime import UTC, datetime
from typing import NamedTuple

from rosemarystream._internal.platform.decimals import parse_decimal

# The one form of date that senders may use (RFC 9110, section 5.6.7).
_DATE = re.compile(rb"[A-Z][a-z]{2}, \d\d [A-Z][a-z]{2} \d{4} \d\d:\d\d:\d\d GMT")
_DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"


class RetryAfter(NamedTuple):
    """Decoded Retry-After of an answer; both are None if it is unreadable.

    Attributes
    ----------
    delay_s : float or None
        Time to wait, in seconds.
    epoch_s : float or None
        Time of day to wait for, in seconds since the epoch.
    """

    delay_s: float | None = None
    epoch_s: float | None = None


def parse_retry_after(value: bytes | None) -> RetryAfter | None:
    """Decode the value of the header; None if there is none."""
    if value is None:
        return None
    delay_s = parse_decimal(value)
    if delay_s is not None:
        return RetryAfter(delay_s=delay_s)
    if not _DATE.fullmatch(value):
        return RetryAfter()
    try:
        date = datetime.strptime(value.decode(), _DATE_FORMAT).replace(tzinfo=UTC)
    except ValueError:
        return RetryAfter()
    return RetryAfter(epoch_s=date.timestamp())


def measure_delay(retry_after: RetryAfter | None, epoch_s: float) -> float | None:
    """Return the time in seconds to wait; None if a Retry-After is unreadable.

    Parameters
    ----------
    epoch_s : float
        Time of day, in seconds since the epoch.
    """
    if retry_after is None:
        return None
    if retry_after.epoch_s is not None:
        return max(0.0, retry_after.epoch_s - epoch_s)
    return retry_after.delay_s
