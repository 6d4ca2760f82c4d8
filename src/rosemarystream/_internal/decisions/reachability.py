"""Whether a host can still reach the servers that its callers need.

Answers the pattern of a data centre that is cut off from all servers of a
service while callers still reach it: the host refuses at once, lets a request
through now and then to find out, and says that it isn't ready, so that callers
are led to hosts elsewhere.
"""

# Time between two requests that are let through to servers that seem silent.
PROBE_INTERVAL_S = 0.25
# Time for which a service must have been out of reach before the host says so.
UNREACHABLE_AFTER_S = 0.3


class Reachability:
    """Services that seem to be out of reach of this host."""

    def __init__(self) -> None:
        self._unreachable_since: dict[str, float] = {}
        self._next_probe_at: dict[str, float] = {}

    def record_reachable(self, service: str) -> None:
        """Note that a server of a service can be reached, or seems so."""
        self._unreachable_since.pop(service, None)
        self._next_probe_at.pop(service, None)

    def allow_probe(self, service: str, now: float) -> bool:
        """Whether a request may try a service whose servers all seem silent."""
        self._unreachable_since.setdefault(service, now)
        if now < self._next_probe_at.get(service, now):
            return False
        self._next_probe_at[service] = now + PROBE_INTERVAL_S
        return True

    def list_unreachable_services(self, now: float) -> list[str]:
        """Return the services that this host can't reach."""
        return [
            service
            for service, since in self._unreachable_since.items()
            if now - since >= UNREACHABLE_AFTER_S
        ]
