"""Networks on loopback, each used by one test process at a time.

Test processes run side by side: the workers of one run, the features, other runs. A
process holds a socket in the network that it has taken, so no other one takes it.
"""

import itertools
import os
import socket

# Second octets of the networks.
FIRST_OCTET, OCTETS = 10, 200
# Address within a network, and UDP port, of the socket that is held.
_HELD_IP, _HELD_PORT = "255.254", 18_079
# Third octets, used again in turn: most of the parts are free again long before.
_parts = itertools.cycle(range(1, 251))
_held: list[socket.socket] = []
_octets: list[int] = []


def take_network() -> str:
    """Return the first three octets of a network that no other test uses."""
    if not _octets:
        _octets.append(_take_octet())
    return f"127.{_octets[0]}.{next(_parts)}"


def _take_octet() -> int:
    for offset in range(OCTETS):
        octet = FIRST_OCTET + (os.getpid() + offset) % OCTETS
        held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            held.bind((f"127.{octet}.{_HELD_IP}", _HELD_PORT))
        except OSError:
            held.close()
            continue
        _held.append(held)
        return octet
    raise RuntimeError(f"all {OCTETS} networks are taken; end other test runs")
