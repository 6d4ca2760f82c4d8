"""Reachability of services from this host.

Handles a data centre that is cut off from all servers of a service while callers
still reach it. The host refuses requests at once, lets one through now and then as
a probe, and reports that it isn't ready, so that callers are directed to hosts in
other data centres.
"""

# Least time between two probes: requests let through to servers that seem
# unresponsive.
PROBE_INTERVAL_S = 0.25
# Time for which a service has to be unreachable before the host reports it.
UNREACHABLE_AFTER_S = 0.3


class Reachability:
    """Services that seem to be unreachable from this host."""

    def __init__(self) -> None:
        self._unreachable_since: dict[str, float] = {}
        self._next_probe_at: dict[str, float] = {}

    def record_reachable(self, service: str) -> None:
        """Record that a server of a service is reachable, or seems to be."""
        self._unreachable_since.pop(service, None)
        self._next_probe_at.pop(service, None)

    def allow_probe(self, service: str, now: float) -> bool:
        """Return whether a request may probe a service that seems unreachable."""
        self._unreachable_since.setdefault(service, now)
        if now < self._next_probe_at.get(service, now):
            return False
        self._next_probe_at[service] = now + PROBE_INTERVAL_S
        return True

    def list_unreachable_services(self, now: float) -> list[str]:
        """Return the services that have been unreachable for `UNREACHABLE_AFTER_S`."""
        return [
            service
            for service, since in self._unreachable_since.items()
            if now - since >= UNREACHABLE_AFTER_S
        ]
