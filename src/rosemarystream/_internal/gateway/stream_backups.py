"""Choice of backup servers for streams that may run only once."""

from collections.abc import Callable

from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.decisions.server_availability import (
    ServerAvailability,
)
from rosemarystream._internal.decisions.stream_backups import (
    BackupTable,
    can_be_named,
    choose_backup,
    estimate_break_cost_ms,
    estimate_copy_cost_ms,
    may_have_backup,
)
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.route import Route, Service


class StreamBackups:
    """Chooses backup servers by this host's view of the servers.

    Attributes
    ----------
    is_enabled : bool
        Whether the settings switch backups on.
    table : BackupTable
        The copies that this host has placed.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        availability: ServerAvailability,
        loads: LoadTable,
        clock: Callable[[], float],
    ) -> None:
        self._replica = replica
        self._availability = availability
        self._loads = loads
        self._clock = clock
        self.is_enabled = False
        self.table = BackupTable()

    def may_have_backup(self, route: Route, service: str) -> bool:
        """Return whether streams of a route may have backup servers."""
        found = self._find_service(service)
        return found is not None and may_have_backup(route, found)

    def may_move(self, service: str) -> bool:
        """Return whether the servers of a service move runs on request."""
        found = self._find_service(service)
        return found is not None and found.moves

    def choose(self, call: Call, first: Endpoint, level: int) -> Endpoint | None:
        """Return the backup server of a request; None if it is to have none."""
        service = self._find_service(first.service)
        tokens = sum(part.tokens for part in call.parts)
        is_named = can_be_named(call.request_id) and self.table.is_unique(
            call.request_id
        )
        if service is None or not is_named:
            return None
        if estimate_copy_cost_ms(service, tokens) > estimate_break_cost_ms(level):
            return None
        now = self._clock()
        candidates = self._availability.select_open(
            first.service,
            self._availability.list_ready(first.service),
            exclude=[first.name],
            now=now,
            may_probe=False,
        )
        # A limited server may refuse the continuation for lack of a permission.
        limits = self._availability.limits
        candidates = [e for e in candidates if not limits.is_limited(e.number)]
        counts = self._loads.sum_fleet(now).counts
        return choose_backup(
            call.request_id,
            first,
            candidates,
            requests={e.name: counts[e.number] for e in candidates},
            copies=self.table.copies,
        )

    def _find_service(self, name: str) -> Service | None:
        configuration = self._replica.configuration
        return None if configuration is None else configuration.services.get(name)
