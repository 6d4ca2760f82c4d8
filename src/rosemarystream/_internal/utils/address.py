"""Parsing of network addresses."""

from functools import lru_cache
from ipaddress import IPv4Address

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# Addresses kept with the result of their check: several times those of a large fleet.
_KEPT_RESULTS = 16_384


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into host and port; IPv6 brackets are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


@lru_cache(_KEPT_RESULTS)
def is_host_ip(text: str) -> bool:
    """Return whether a text is the IPv4 address of one host."""
    try:
        ip = IPv4Address(text)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)


@lru_cache(_KEPT_RESULTS)
def is_server_address(address: str) -> bool:
    """Return whether an address is ``ip:port`` of a host, by IPv4."""
    ip, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return False
    return 0 < int(port) <= MAX_PORT and is_host_ip(ip)
