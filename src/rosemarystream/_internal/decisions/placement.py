"""Which backend server takes a request.

Answers two patterns. Requests that share long prompts go where the prompt has
been read already: the order of a rendezvous hash gives every host the same
first, second and third home with nothing said, and a home that is near its
bound passes the rest on to the next. Plain requests go where least is waiting.
"""

from collections.abc import Mapping, Sequence

from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.models.call import PromptPart
from rosemarystream._internal.models.endpoint import Endpoint

# Share of the allowed excess over the mean load that one server is given.
EXCESS_SHARE = 0.7
# Requests allowed beyond the multiple of the mean.
SPARE_REQUESTS = 2.0
# Load that a failing server seems to have, in requests for a rate of 1.
FAILURE_LOAD = 40.0
# Load that a server of another data centre seems to have beside a near one.
DISTANCE_LOAD = 0.4
# Failure rate from which a server's share of a prompt's requests moves away.
FAILING = 0.25


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
    mean = (sum(loads) + 1) / len(loads)
    return (1.0 + (multiple - 1.0) * EXCESS_SHARE) * mean + SPARE_REQUESTS


def place_by_context(
    key: str,
    endpoints: Sequence[Endpoint],
    *,
    loads: Mapping[str, int],
    failure_rates: Mapping[str, float],
    multiple: float,
) -> Endpoint | None:
    """Return the first home of a prompt that is neither full nor failing."""
    if not endpoints:
        return None
    by_name = {endpoint.name: endpoint for endpoint in endpoints}
    bound = bound_load([loads.get(name, 0) for name in by_name], multiple)
    for name in order_candidates(key, by_name):
        if failure_rates.get(name, 0.0) > FAILING:
            continue
        if loads.get(name, 0) + 1 <= bound:
            return by_name[name]
    return place_by_load(
        endpoints, loads=loads, failure_rates=failure_rates, data_centre=""
    )


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
