"""Placement of requests by the context that engines have cached."""

from collections.abc import Callable, Sequence

from rosemarystream._internal.decisions.context_map import ContextMap, hash_part
from rosemarystream._internal.decisions.load_table import Load, LoadTable
from rosemarystream._internal.decisions.placement import (
    MIN_COPY_TOKENS,
    PREFILL_S,
    ContextLoad,
    Placement,
    assume_cached_at_home,
    charge_cold,
    choose_copy_source,
    choose_home,
    choose_shared_parts,
    compute_load_bound,
    place_by_context,
)
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.server_availability import (
    ServerAvailability,
)
from rosemarystream._internal.decisions.server_speeds import ServerSpeeds
from rosemarystream._internal.models.call import Call, PromptPart
from rosemarystream._internal.models.endpoint import Endpoint

_MS_PER_S = 1000


class ContextPlacer:
    """Chooses the engine that answers a prompt first, by what each has cached.

    Parameters
    ----------
    read_epoch_s : callable
        Returns the time since the epoch in seconds; it must not jump.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        availability: ServerAvailability,
        contexts: ContextMap,
        loads: LoadTable,
        speeds: ServerSpeeds,
        read_epoch_s: Callable[[], float],
    ) -> None:
        self._replica = replica
        self._availability = availability
        self._contexts = contexts
        self._loads = loads
        self._speeds = speeds
        self._read_epoch_s = read_epoch_s

    def place(
        self,
        call: Call,
        ready: Sequence[Endpoint],
        candidates: Sequence[Endpoint],
        load: Load,
        now: float,
        *,
        objective_s: float,
        share: float,
        load_multiple: float,
    ) -> Placement | None:
        """Choose the engine for a request; None if there is none.

        Parameters
        ----------
        ready, candidates : sequence of Endpoint
            All engines that take requests, and those of them that may get this one.
        load : Load
            Load of the servers over all hosts.
        objective_s : float
            Time within which the request should be answered, in seconds.
        share : float
            Part of the pending prefill of an engine that goes before this request.
        load_multiple : float
            Bound on the requests of an engine, as a multiple of the mean.
        """
        loads = self._measure_loads(call, candidates, load, now, share=share)
        cold = [
            e.name
            for e in candidates
            if self._availability.limits.cold.is_cold(e.number, now)
        ]
        if cold:
            loads = charge_cold(loads, cold, objective_s * _MS_PER_S)
        shared = choose_shared_parts(call.parts)
        key = f"{call.model}/{shared[-1].name}"
        home = choose_home(key, ready, self._read_epoch_s() * _MS_PER_S)
        bound = compute_load_bound(
            [load.counts[e.number] for e in ready], load_multiple
        )
        presumed_loads = loads
        if not self._is_held(call, shared[-1], now):
            own_tokens = sum(part.tokens for part in call.parts[len(shared) :])
            presumed_loads = assume_cached_at_home(loads, home, own_tokens)
        name = place_by_context(
            key, presumed_loads, objective_ms=objective_s * _MS_PER_S, bound=bound
        )
        endpoint = self._replica.find_endpoint(name) if name else None
        if endpoint is None:
            return None
        chosen_load = loads[endpoint.name]
        home_load = loads.get(home or "", chosen_load)
        return Placement(
            endpoint=endpoint,
            requests=chosen_load.requests,
            prefill=chosen_load.prefill,
            uncached_tokens=chosen_load.uncached_tokens,
            bound=round(bound, 1),
            home=home,
            home_requests=home_load.requests,
            home_prefill=home_load.prefill,
            counts_age_s=self._loads.measure_report_age(now),
            source=self._find_source(call, endpoint, chosen_load.uncached_tokens, now),
            slowness=chosen_load.slowness,
        )

    def _is_held(self, call: Call, part: PromptPart, now: float) -> bool:
        """Return whether a server that isn't evacuated holds a part of the prompt."""
        evacuated: set[int] = set()
        if not self._availability.evacuations.is_empty:
            servers = self._replica.list_endpoints()
            evacuated = {
                e.number for e in servers if self._availability.is_evacuated(e)
            }
        number = hash_part(call.model, part)
        return self._contexts.is_held(number, now, excluded=evacuated)

    def _measure_loads(
        self,
        call: Call,
        candidates: Sequence[Endpoint],
        load: Load,
        now: float,
        *,
        share: float,
    ) -> dict[str, ContextLoad]:
        """Return what a request would meet at each engine, by name."""
        numbers = {e.name: e.number for e in candidates}
        uncached_tokens = self._contexts.count_uncached_tokens(
            call.model, call.parts, numbers.values(), now
        )
        return {
            name: ContextLoad(
                requests=load.counts[number],
                prefill=int(share * load.prefill[number]),
                uncached_tokens=uncached_tokens[number],
                failure_rate=self._availability.health.failure_rate(name, now),
                slowness=self._speeds.estimate(number, now),
            )
            for name, number in numbers.items()
        }

    def _find_source(
        self, call: Call, endpoint: Endpoint, uncached_tokens: int, now: float
    ) -> Endpoint | None:
        """Return a server to copy cached context from, if a copy pays off.

        That is a server that has more of the prompt cached than the chosen one. A
        draining server qualifies too: it keeps its cache until it is gone.
        """
        if uncached_tokens - call.parts[-1].tokens < MIN_COPY_TOKENS:
            return None
        others = {
            other.number: other
            for other in self._replica.list_endpoints()
            if other.service == endpoint.service
            and other.name != endpoint.name
            and not self._availability.is_unreachable(other, now)
        }
        uncached_elsewhere = self._contexts.count_uncached_tokens(
            call.model, call.parts, others, now, min_held_s=PREFILL_S
        )
        source = choose_copy_source(uncached_elsewhere, uncached_tokens)
        return None if source is None else others[source]
