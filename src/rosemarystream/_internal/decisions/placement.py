"""Choice of the backend server for a request.

Requests with long shared prompts go to the server with the lowest estimated cost.
That is usually the one whose KV cache holds the prompt, unless its queue is long.
For a prompt that no server holds yet, a rendezvous hash gives all hosts the same
home server. No server is given more requests than its load bound. Plain requests
go to the least loaded server.
"""

from collections.abc import Collection, Mapping, Sequence
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import order_candidates, pick_candidate
from rosemarystream._internal.decisions.load_spreading import pick_spread
from rosemarystream._internal.models.call import PromptPart
from rosemarystream._internal.models.endpoint import Endpoint

# Fraction of the allowance above the mean load (load_multiple - 1) that a server may
# use.
EXCESS_SHARE = 0.9
# Requests that a server may have in addition to the multiple of the mean.
SLACK_REQUESTS = 2.0
# Prompt tokens that an engine prefills per millisecond.
PREFILL_TOKENS_PER_MS = 30.0
# Cost of a millisecond of prefill to the engine's other requests.
PREFILL_WEIGHT = 6.0
# Fraction of the objective up to which a wait counts as safely in time.
SAFE_OBJECTIVE_SHARE = 0.8
# Additional cost of a millisecond of waiting beyond that.
LATE_WEIGHT = 2.0
# Waiting time that each request in progress adds to a new one.
QUEUE_MS_PER_REQUEST = 5.0
# Cost of a server with a failure rate of 1; lower rates cost proportionally less.
FAILURE_PENALTY_MS = 8_000.0
# Cost of each step down the rendezvous order, so that prompts which no server holds
# yet go to their home server; charged for at most MAX_ORDER_STEPS steps.
ORDER_PENALTY_MS = 4.0
MAX_ORDER_STEPS = 5
# Least number of tokens for which copying another server's KV cache is preferred to
# prefill.
MIN_COPY_TOKENS = 64
# Time after which a prompt sent to a server counts as prefilled and can be copied.
PREFILL_S = 0.6
# Age from which a server is settled, whatever the age of the others.
SETTLED_AGE_MS = 600_000.0
# Fraction of the oldest server's age from which another server is settled.
SETTLED_AGE_SHARE = 0.5
# Requests added to the load of a server with a failure rate of 1.
FAILURE_PENALTY_REQUESTS = 40.0
# Requests added to the load of a server whose work takes twice as long at the moment;
# more or less in proportion.
SLOW_PENALTY_REQUESTS = 2.0
# How much longer work takes at least at a cold server, and how much more a prompt costs
# there that a warm server holds.
COLD_SLOWNESS = 2.0
HELD_ELSEWHERE = 4.0
# Requests added to the load of a server in another data centre.
REMOTE_PENALTY_REQUESTS = 0.4


def choose_shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts of a prompt that other requests share.

    The last part is the request's own, unless it is the only one.
    """
    return parts[:-1] or parts


def select_settled(endpoints: Sequence[Endpoint], wall_ms: float) -> list[Endpoint]:
    """Return the servers that have run long enough to be home servers.

    A server that has just joined takes new prompts and the overflow of others;
    prompts that other servers have cached move to it only once it is settled.

    Parameters
    ----------
    wall_ms : float
        Time in milliseconds since the epoch; an error of seconds does no harm.
    """
    if not endpoints:
        return []
    oldest_ms = wall_ms - min(endpoint.incarnation for endpoint in endpoints)
    least_ms = min(SETTLED_AGE_MS, SETTLED_AGE_SHARE * oldest_ms)
    return [e for e in endpoints if wall_ms - e.incarnation >= least_ms] or [*endpoints]


def choose_home(key: str, endpoints: Sequence[Endpoint], wall_ms: float) -> str | None:
    """Return the home server of a prompt, the same on all hosts."""
    return pick_candidate(
        key, [endpoint.name for endpoint in select_settled(endpoints, wall_ms)]
    )


def compute_load_bound(loads: Sequence[int], multiple: float) -> float:
    """Return the number of requests a server may have, the new one included.

    Parameters
    ----------
    loads : sequence of int
        Requests in progress at each ready server of the service.
    multiple : float
        Allowed multiple of the mean load.
    """
    if not loads:
        return 0.0
    mean = sum(loads) / len(loads)
    return (1.0 + (multiple - 1.0) * EXCESS_SHARE) * mean + SLACK_REQUESTS


class ContextLoad(NamedTuple):
    """Load of a server that keeps context, as it affects one request.

    Attributes
    ----------
    requests : int
        Requests in progress at the server.
    prefill : int
        Pending prefill tokens of other requests.
    uncached_tokens : int
        Tokens of this prompt that the server would have to prefill.
    failure_rate : float
        Fraction of its recent requests that failed, 0 to 1.
    slowness : float
        How much longer work takes there at this moment; 1 is usual.
    prefill_weight : float
        Cost of a millisecond of prefill to its other requests.
    """

    requests: int
    prefill: int
    uncached_tokens: int
    failure_rate: float
    slowness: float = 1.0
    prefill_weight: float = PREFILL_WEIGHT


class Placement(NamedTuple):
    """The server chosen for a request, and the figures behind the choice.

    Attributes
    ----------
    requests, prefill, uncached_tokens : int
        Known load of the server; see `ContextLoad`.
    bound : float
        Requests that the server may have; 0 if no bound was applied.
    home : str or None
        Home server of the prompt.
    home_requests, home_prefill : int
        Load of the home server.
    counts_age_s : float
        Age of the newest load report of other hosts, in seconds.
    source : Endpoint or None
        Server from which the cached context of the prompt is copied.
    slowness : float
        How much longer work probably takes at the server at this moment.
    send_by : float
        Time after which the request must not be sent there any more, as its permission
        has lapsed by then; infinite if the server can't be cold.
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
    slowness: float = 1.0
    send_by: float = inf


def estimate_cost_ms(load: ContextLoad, objective_ms: float) -> float:
    """Return the cost of a request at a server, to itself and to other requests.

    Waiting costs little while the answer still begins well inside its objective,
    and more after that. Prefill delays all streams of an engine.
    """
    wait_ms = _estimate_wait_ms(load)
    late_ms = max(0.0, wait_ms - SAFE_OBJECTIVE_SHARE * objective_ms)
    return (
        wait_ms
        + LATE_WEIGHT * late_ms
        + load.prefill_weight
        * load.slowness
        * load.uncached_tokens
        / PREFILL_TOKENS_PER_MS
        + FAILURE_PENALTY_MS * load.failure_rate
    )


def _estimate_wait_ms(load: ContextLoad) -> float:
    tokens = load.prefill + load.uncached_tokens
    wait_ms = tokens / PREFILL_TOKENS_PER_MS + QUEUE_MS_PER_REQUEST * load.requests
    return wait_ms * load.slowness


def estimate_slowness(slowness: float, *, is_cold: bool) -> float:
    """Return how much longer work takes at a server, which may be cold."""
    return max(slowness, COLD_SLOWNESS) if is_cold else slowness


def charge_cold(
    loads: Mapping[str, ContextLoad], cold: Collection[str], objective_ms: float
) -> dict[str, ContextLoad]:
    """Return the loads with what is special about cold servers.

    They are slow, and get few requests, which have most use for prompts that no warm
    server holds. Such a prompt delays few others there, so it goes there as long as it
    is safely in time itself.
    """
    warm_tokens = min(
        (load.uncached_tokens for name, load in loads.items() if name not in cold),
        default=None,
    )
    charged = dict(loads)
    for name in cold:
        load = loads[name]
        slowness = estimate_slowness(load.slowness, is_cold=True)
        if warm_tokens is not None and warm_tokens < load.uncached_tokens:
            slowness *= HELD_ELSEWHERE
        elif _estimate_wait_ms(load._replace(slowness=slowness)) <= (
            SAFE_OBJECTIVE_SHARE * objective_ms
        ):
            load = load._replace(prefill_weight=0.0)
        charged[name] = load._replace(slowness=slowness)
    return charged


def assume_cached_at_home(
    loads: Mapping[str, ContextLoad], home: str | None, own_tokens: int
) -> dict[str, ContextLoad]:
    """Return the loads as if the home server held the shared part of the prompt.

    Used for prompts that no server is known to hold, so that all hosts send them
    to the same server unless another one costs less.

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
    """Return the server with the lowest cost for a request with a shared prompt.

    Parameters
    ----------
    key : str
        Key of the shared prompt, the same for all requests that share it.
    objective_ms : float
        Time in which the answer should begin, in milliseconds.
    bound : float
        Number of requests that a server may have, this one included.
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
    """Return the server to copy the KV cache of a prompt from.

    Handles prompts whose holders are full or draining: the server that takes the
    request copies what a holder has instead of prefilling all of the prompt. None if
    the copy would save fewer than `MIN_COPY_TOKENS` tokens.

    Parameters
    ----------
    uncached_tokens : mapping of int to int
        Tokens of the prompt that each other server doesn't hold, by server number.
    tokens : int
        Tokens of the prompt that the chosen server doesn't hold.
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
    slowness: Mapping[str, float],
    data_centre: str,
    unseen: float = 0.0,
    salt: str = "",
) -> Endpoint | None:
    """Return the least loaded server; among equals, one of this data centre.

    While other hosts send requests that aren't known yet, lightly loaded servers are
    drawn in turn (see `load_spreading`).

    Parameters
    ----------
    slowness : mapping of str to float
        How much longer work takes at each server at this moment; 1 is usual.
    unseen : float
        Requests that other hosts have probably sent since their loads were reported.
    salt : str
        Key of the rendezvous order in which servers of equal load are preferred.
    """
    if not endpoints:
        return None
    by_name = {endpoint.name: endpoint for endpoint in endpoints}

    def score_load(name: str) -> float:
        endpoint = by_name[name]
        remote_penalty = (
            REMOTE_PENALTY_REQUESTS if endpoint.data_centre != data_centre else 0.0
        )
        failure_penalty = FAILURE_PENALTY_REQUESTS * failure_rates.get(name, 0.0)
        slow_penalty = SLOW_PENALTY_REQUESTS * (slowness.get(name, 1.0) - 1.0)
        return loads.get(name, 0) + remote_penalty + failure_penalty + slow_penalty

    scores = {name: score_load(name) for name in by_name}
    return by_name[pick_spread(scores, unseen=unseen, key=salt)]
