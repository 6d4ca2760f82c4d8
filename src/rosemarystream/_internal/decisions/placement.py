"""Which backend server takes a request.

Answers two patterns. Requests that share long prompts go where they cost least,
which is where the prompt has been read already, unless much is waiting there;
the order of a rendezvous hash gives all hosts the same home for a new prompt.
No server is given more than a bound on its load. Plain requests go where least
is waiting.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.models.call import PromptPart
from rosemarystream._internal.models.endpoint import Endpoint

# Share of the allowed excess over the mean load that one server is given.
EXCESS_SHARE = 0.9
# Requests allowed beyond the multiple of the mean.
SPARE_REQUESTS = 2.0
# Prompt tokens that an engine reads in a millisecond.
TOKENS_PER_MS = 30.0
# Cost of reading a prompt against waiting for others' to be read; reading also
# holds up every stream of the engine.
READ_WEIGHT = 2.0
# Time that a running request adds to another one.
REQUEST_MS = 5.0
# Time that a server seems to need longer at a failure rate of 1.
FAILURE_MS = 4_000.0
# Cost of each step away from the first home, for prompts no server holds yet.
STRAY_MS = 4.0
MAX_STRAYS = 5
# Load that a failing server seems to have, in requests for a rate of 1.
FAILURE_LOAD = 40.0
# Load that a server of another data centre seems to have beside a near one.
DISTANCE_LOAD = 0.4


def choose_context_key(model: str, parts: Sequence[PromptPart]) -> str:
    """Return the key that requests with the same shared prompt have in common."""
    if not parts:
        return ""
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return f"{model}/{shared.name}"


def bound_load(loads: Sequence[int], multiple: float) -> float:
    """Return how many requests a server may have, the next one included."""
    if not loads:
        return 0.0
    mean = sum(loads) / len(loads)
    return (1.0 + (multiple - 1.0) * EXCESS_SHARE) * mean + SPARE_REQUESTS


class ContextLoad(NamedTuple):
    """What a request would meet at a server that keeps context.

    Attributes
    ----------
    requests : int
        Requests in progress there.
    reading : int
        Prompt tokens of other requests that it has yet to read.
    unread : int
        Tokens of this prompt that it would have to read.
    failure_rate : float
        Part of its requests that fail of late, 0 to 1.
    """

    requests: int
    reading: int
    unread: int
    failure_rate: float


def estimate_cost_ms(load: ContextLoad) -> float:
    """Return what a request costs at a server, to itself and to the others."""
    tokens = load.reading + READ_WEIGHT * load.unread
    return (
        tokens / TOKENS_PER_MS
        + REQUEST_MS * load.requests
        + FAILURE_MS * load.failure_rate
    )


def place_by_context(
    key: str,
    loads: Mapping[str, ContextLoad],
    *,
    bound: float,
) -> str | None:
    """Return the server at which a request with a shared prompt costs least.

    Parameters
    ----------
    key : str
        What requests with the same shared prompt have in common; orders
        servers that nobody has sent this prompt to.
    bound : float
        Requests that a server may have, this one included.
    """
    if not loads:
        return None
    open_names = [name for name, load in loads.items() if load.requests < bound]
    names = order_candidates(key, open_names or loads)
    costs = {
        name: estimate_cost_ms(loads[name]) + STRAY_MS * min(rank, MAX_STRAYS)
        for rank, name in enumerate(names)
    }
    return min(names, key=costs.__getitem__)


def place_by_load(
    endpoints: Sequence[Endpoint],
    *,
    loads: Mapping[str, int],
    failure_rates: Mapping[str, float],
    data_centre: str,
    salt: str = "",
) -> Endpoint | None:
    """Return the server with the least to do, a near one if there are equals."""
    if not endpoints:
        return None
    by_name = {endpoint.name: endpoint for endpoint in endpoints}

    def weigh(name: str) -> float:
        endpoint = by_name[name]
        far = DISTANCE_LOAD if endpoint.data_centre != data_centre else 0.0
        failing = FAILURE_LOAD * failure_rates.get(name, 0.0)
        return loads.get(name, 0) + far + failing

    order = order_candidates(salt, by_name)
    return by_name[min(order, key=weigh)]
