"""Whether a host can still reach the servers that its callers need.

Answers the pattern of a data centre that is cut off from all servers of a
service while callers still reach it: the host refuses at once, lets a request
through now and then to find out, and says that it isn't ready, so that callers
are led to hosts elsewhere.
"""

# Time between two requests that are let through to servers that seem silent.
PROBE_S = 0.25
# Time for which a service must have been out of reach before the host says so.
CUT_OFF_AFTER_S = 0.3


class Reachability:
    """Services that seem to be out of reach of this host."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._probe_at: dict[str, float] = {}

    def record_reachable(self, service: str) -> None:
        """Note that a server of a service can be reached, or seems so."""
        self._since.pop(service, None)
        self._probe_at.pop(service, None)

    def allow_probe(self, service: str, now: float) -> bool:
        """Whether a request may try a service whose servers all seem silent."""
        self._since.setdefault(service, now)
        if now < self._probe_at.get(service, now):
            return False
        self._probe_at[service] = now + PROBE_S
        return True

    def list_cut_off(self, now: float) -> list[str]:
        """Return the services that this host can't reach."""
        return [
            service
            for service, since in self._since.items()
            if now - since >= CUT_OFF_AFTER_S
        ]
