"""Decimal numbers in headers."""

import re

# As programs write them, with however many digits behind the point.
_DECIMAL = re.compile(rb"\d{1,18}(\.\d+)?")


def parse_decimal(value: bytes) -> float | None:
    """Return a decimal number; None if it isn't one without a sign or an exponent."""
    return float(value) if _DECIMAL.fullmatch(value) else None
