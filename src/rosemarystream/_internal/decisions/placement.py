"""Which backend server takes a request.

Answers two patterns. Requests that share long prompts go where they cost least,
which is where the prompt has been read already, unless much is waiting there;
the order of a rendezvous hash gives all hosts the same home for a new prompt.
No server is given more than a bound on its load. Plain requests go where least
is waiting.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import order_candidates, pick_candidate
from rosemarystream._internal.models.call import PromptPart
from rosemarystream._internal.models.endpoint import Endpoint

# Share of the allowed excess over the mean load that one server is given.
EXCESS_SHARE = 0.9
# Requests allowed beyond the multiple of the mean.
SLACK_REQUESTS = 2.0
# Prompt tokens that an engine reads in a millisecond.
PREFILL_TOKENS_PER_MS = 30.0
# Cost to the others of a millisecond in which an engine reads a prompt.
PREFILL_WEIGHT = 6.0
# Part of the objective up to which an answer is safely in time.
SAFE_OBJECTIVE_SHARE = 0.8
# Cost of a millisecond of waiting beyond that.
LATE_WEIGHT = 2.0
# Time that a running request adds to another one.
QUEUE_MS_PER_REQUEST = 5.0
# Time that a server seems to need longer at a failure rate of 1.
FAILURE_PENALTY_MS = 8_000.0
# Cost of each step away from the first home, for prompts no server holds yet.
ORDER_PENALTY_MS = 4.0
MAX_ORDER_STEPS = 5
# Tokens from which a copy of what another server holds goes before reading.
MIN_COPY_TOKENS = 64
# Time after which a server has read what it was sent, so that it can be copied.
PREFILL_S = 0.6
# Age at which a server has settled, whatever the age of the others.
SETTLED_AGE_MS = 600_000.0
# Part of the oldest server's age at which another one has settled.
SETTLED_AGE_SHARE = 0.5
# Load that a failing server seems to have, in requests for a rate of 1.
FAILURE_PENALTY_REQUESTS = 40.0
# Load that a server of another data centre seems to have beside a near one.
REMOTE_PENALTY_REQUESTS = 0.4


def choose_shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts of a prompt that other requests share."""
    return parts[:-1] or parts


def select_settled(endpoints: Sequence[Endpoint], wall_ms: float) -> list[Endpoint]:
    """Return the servers that have been there long enough to be homes.

    A server that joins takes what is new or too much for others; only once it
    has settled do prompts that are read elsewhere move to it.

    Parameters
    ----------
    wall_ms : float
        Time of day in milliseconds since the epoch; seconds off do no harm.
    """
    if not endpoints:
        return []
    oldest_ms = wall_ms - min(endpoint.incarnation for endpoint in endpoints)
    least_ms = min(SETTLED_AGE_MS, SETTLED_AGE_SHARE * oldest_ms)
    return [e for e in endpoints if wall_ms - e.incarnation >= least_ms] or [*endpoints]


def choose_home(key: str, endpoints: Sequence[Endpoint], wall_ms: float) -> str | None:
    """Return the server that all hosts take for the home of a prompt."""
    return pick_candidate(
        key, [endpoint.name for endpoint in select_settled(endpoints, wall_ms)]
    )


def compute_load_bound(loads: Sequence[int], multiple: float) -> float:
    """Return how many requests a server may have, the next one included."""
    if not loads:
        return 0.0
    mean = sum(loads) / len(loads)
    return (1.0 + (multiple - 1.0) * EXCESS_SHARE) * mean + SLACK_REQUESTS


class ContextLoad(NamedTuple):
    """What a request would meet at a server that keeps context.

    Attributes
    ----------
    requests : int
        Requests in progress there.
    prefill : int
        Prompt tokens of other requests that it has yet to read.
    uncached_tokens : int
        Tokens of this prompt that it would have to read.
    failure_rate : float
        Part of its requests that fail of late, 0 to 1.
    """

    requests: int
    prefill: int
    uncached_tokens: int
    failure_rate: float


class Placement(NamedTuple):
    """Where a request goes, and what decided it.

    Attributes
    ----------
    requests, prefill, uncached_tokens : int
        Load of the server as far as it was known; see `ContextLoad`.
    bound : float
        Requests that it may have; 0 if no bound was applied.
    home : str or None
        Server that was taken for the home of the prompt.
    home_requests, home_prefill : int
        Load of the home.
    counts_age_s : float
        Age of what other hosts had told of the load, in seconds.
    source : Endpoint or None
        Server from which it copies what that one holds of the prompt.
    """

    endpoint: Endpoint
    requests: int
    prefill: int = 0
    uncached_tokens: int = 0
    bound: float = 0.0
    home: str | None = None
    home_requests: int = 0
    home_prefill: int = 0
    counts_age_s: float = 0.0
    source: Endpoint | None = None


def estimate_cost_ms(load: ContextLoad, objective_ms: float) -> float:
    """Return what a request costs at a server, to itself and to the others.

    Waiting weighs little while the answer still begins well inside its
    objective, and much after that. Reading holds up all streams of an engine.
    """
    wait_ms = (
        load.prefill + load.uncached_tokens
    ) / PREFILL_TOKENS_PER_MS + QUEUE_MS_PER_REQUEST * load.requests
    late_ms = max(0.0, wait_ms - SAFE_OBJECTIVE_SHARE * objective_ms)
    return (
        wait_ms
        + LATE_WEIGHT * late_ms
        + PREFILL_WEIGHT * load.uncached_tokens / PREFILL_TOKENS_PER_MS
        + FAILURE_PENALTY_MS * load.failure_rate
    )


def assume_cached_at_home(
    loads: Mapping[str, ContextLoad], home: str | None, own_tokens: int
) -> dict[str, ContextLoad]:
    """Return the loads with a prompt taken as held at its home.

    For prompts that no server is known to hold: all hosts send them there
    unless they know a better place.

    Parameters
    ----------
    own_tokens : int
        Tokens of the request's own part, which no server holds.
    """
    loads = dict(loads)
    if home in loads:
        loads[home] = loads[home]._replace(
            uncached_tokens=min(own_tokens, loads[home].uncached_tokens)
        )
    return loads


def place_by_context(
    key: str,
    loads: Mapping[str, ContextLoad],
    *,
    objective_ms: float,
    bound: float,
) -> str | None:
    """Return the server at which a request with a shared prompt costs least.

    Parameters
    ----------
    key : str
        What requests with the same shared prompt have in common.
    objective_ms : float
        Time in which the answer should begin, in milliseconds.
    bound : float
        Requests that a server may have, this one included.
    """
    if not loads:
        return None
    open_names = [name for name, load in loads.items() if load.requests < bound]
    names = order_candidates(key, open_names or loads)
    costs = {
        name: estimate_cost_ms(loads[name], objective_ms)
        + ORDER_PENALTY_MS * min(rank, MAX_ORDER_STEPS)
        for rank, name in enumerate(names)
    }
    return min(names, key=costs.__getitem__)


def choose_copy_source(uncached_tokens: Mapping[int, int], tokens: int) -> int | None:
    """Return the server to copy the memory of a prompt from.

    Answers a prompt whose holders are full, or about to leave: the server that
    takes the request need not read all of it. None if a copy isn't worth it.

    Parameters
    ----------
    uncached_tokens : mapping of int to int
        Tokens of the prompt that other servers don't hold, by their numbers.
    tokens : int
        Tokens that the server which takes the request doesn't hold.
    """
    if not uncached_tokens:
        return None
    source = min(uncached_tokens, key=lambda number: (uncached_tokens[number], number))
    if tokens - uncached_tokens[source] < MIN_COPY_TOKENS:
        return None
    return source


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

    def score_load(name: str) -> float:
        endpoint = by_name[name]
        remote_penalty = (
            REMOTE_PENALTY_REQUESTS if endpoint.data_centre != data_centre else 0.0
        )
        failure_penalty = FAILURE_PENALTY_REQUESTS * failure_rates.get(name, 0.0)
        return loads.get(name, 0) + remote_penalty + failure_penalty

    order = order_candidates(salt, by_name)
    return by_name[min(order, key=score_load)]
