"""Parsing of network addresses."""

from functools import lru_cache
from ipaddress import IPv4Address

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# Length of an IPv4 address.
MAX_IP_CHARS = 15
# Results of checks that are kept: several for each host of a large fleet.
_KEPT_RESULTS = 4_096


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into host and port; IPv6 brackets are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_host_ip(text: str) -> bool:
    """Return whether a text is the IPv4 address of one host."""
    return len(text) <= MAX_IP_CHARS and _is_host_ip(text)


@lru_cache(_KEPT_RESULTS)
def _is_host_ip(text: str) -> bool:
    try:
        ip = IPv4Address(text)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)


def is_server_address(address: str) -> bool:
    """Return whether an address is ``ip:port`` of a host, by IPv4."""
    ip, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return False
    return 0 < int(port) <= MAX_PORT and is_host_ip(ip)
