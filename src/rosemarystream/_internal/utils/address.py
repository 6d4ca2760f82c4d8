"""Parsing of network addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into host and port; IPv6 brackets are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
