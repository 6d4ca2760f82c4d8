"""Choice among servers whose known loads are a little old.

Handles a burst of plain requests at many hosts: all of them see the same server as the
least loaded one until the next reports, and would send it everything that arrives in
between. Each host instead assumes that the others level the loads out with what they
have sent since, and draws a server by the part that it gets of that.
"""

from collections.abc import Mapping

from xxhash import xxh3_64_intdigest

from rosemarystream._internal.decisions.hashing import order_candidates

_HASH_RANGE = 2**64


def compute_parts(loads: Mapping[str, float], amount: float) -> dict[str, float]:
    """Return how much of an amount each server gets if it levels the loads out."""
    names = sorted(loads, key=loads.__getitem__)
    level = filled = 0.0
    for count, name in enumerate(names, start=1):
        if count > 1 and level <= loads[name]:
            break
        filled += loads[name]
        level = (amount + filled) / count
    return {name: max(0.0, level - loads[name]) for name in names}


def pick_spread(loads: Mapping[str, float], *, unseen: float, key: str) -> str:
    """Return the server for one request.

    Parameters
    ----------
    loads : mapping of str to float
        Known load of each server, in requests.
    unseen : float
        Requests that other hosts have probably sent since the loads were reported; if
        there are none, a server with the least load is returned.
    key : str
        Key of the draw, and of the rendezvous order in which servers of equal load are
        preferred.
    """
    order = order_candidates(key, loads)
    if unseen <= 0:
        return min(order, key=loads.__getitem__)
    parts = compute_parts({name: loads[name] for name in order}, unseen + 1.0)
    draw = xxh3_64_intdigest(f"{key}/draw".encode()) / _HASH_RANGE * (unseen + 1.0)
    for name, part in parts.items():
        draw -= part
        if draw < 0:
            return name
    return min(order, key=loads.__getitem__)
