"""The waiting lines of all plain services, and what this host knows of their load."""

from collections.abc import Callable, Sequence

from logbook import Logger

from rosemarystream._internal.decisions.admission_share import ServiceLoad
from rosemarystream._internal.decisions.load_table import Load, LoadTable
from rosemarystream._internal.decisions.return_times import compute_retry_after
from rosemarystream._internal.decisions.server_availability import (
    ServerAvailability,
)
from rosemarystream._internal.decisions.server_occupancy import ServerOccupancy
from rosemarystream._internal.decisions.waiting_line import WaitingLine
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.log_entries.services import (
    ServiceFull,
    ServiceNotFull,
)

log = Logger(__name__)

# Age of a load report when it arrives: it waits for the rounds of two collectors.
REPORT_DELAY_S = 0.1


class ServiceLines:
    """Keeps the waiting line of each plain service that has had requests.

    Parameters
    ----------
    occupancy : ServerOccupancy
        Requests that servers hold, as they state it.
    """

    def __init__(
        self,
        *,
        availability: ServerAvailability,
        loads: LoadTable,
        occupancy: ServerOccupancy,
        clock: Callable[[], float],
    ) -> None:
        self._availability = availability
        self._loads = loads
        self._occupancy = occupancy
        self._clock = clock
        self._lines: dict[str, WaitingLine] = {}
        # Counts of requests that waited and were refused, by each service that is full.
        self._full: dict[str, list[int]] = {}

    def find(self, service: str) -> WaitingLine:
        """Return the line of a service."""
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = WaitingLine()
        return line

    def count_waiting(self, service: str) -> int:
        """Return the requests that wait for a service in this host."""
        return len(self._lines[service]) if service in self._lines else 0

    def find_share(self, service: str) -> float:
        """Return the share of the requests for a service that is sent, 0 to 1."""
        line = self._lines.get(service)
        return 1.0 if line is None else line.share.value

    def sum_load(
        self, endpoints: Sequence[Endpoint], load: Load, counts_age_s: float, now: float
    ) -> ServiceLoad:
        """Return the load of some servers of a service.

        Parameters
        ----------
        counts_age_s : float
            Time since the newest report of other hosts arrived; 0 if there is none, as
            own counts are exact.
        """
        delay_s = counts_age_s + REPORT_DELAY_S if counts_age_s else 0.0
        slots = requests = all_own = 0
        for endpoint in endpoints:
            number = endpoint.number
            own = self._loads.find_own(number)
            slots += endpoint.slots
            all_own += own
            requests += self._occupancy.estimate(
                number, load.counts[number], now - delay_s, own=own
            )
        return ServiceLoad(slots, requests, all_own)

    def measure_load(self, service: str, now: float) -> ServiceLoad:
        """Return the load of all servers of a service that may get a request."""
        ready = self._availability.list_ready(service)
        opened = self._availability.select_open(
            service, ready, exclude=(), now=now, may_probe=False
        )
        load = self._loads.sum_fleet(now)
        return self.sum_load(opened, load, self._loads.measure_report_age(now), now)

    def compute_retry_after(
        self, service: str, *, left_s: float, request_id: str
    ) -> float:
        """Return the delay in seconds to advise to a caller that is refused."""
        share = self.find_share(service)
        return compute_retry_after(share=share, left_s=left_s, key=request_id)

    def record_send(self, service: str, *, is_refused: bool) -> None:
        """Record whether a server refused a request that it was sent."""
        if service in self._lines:
            self._lines[service].share.record_send(is_refused=is_refused)

    def record_response(self, service: str, seconds: float, objective_s: float) -> None:
        """Record the time from the send of a request to the head of its answer."""
        if service in self._lines:
            self._lines[service].share.record_response(seconds, objective_s)

    def record_waiting(self, service: str) -> None:
        """Count a request that has to wait."""
        self._count_full(service)[0] += 1

    def record_refused(self, service: str) -> None:
        """Count a request that is refused unsent."""
        self._count_full(service)[1] += 1

    def _count_full(self, service: str) -> list[int]:
        if service not in self._full:
            self._full[service] = [0, 0]
            load = self.measure_load(service, self._clock())
            entry = ServiceFull(
                service=service, requests=load.requests, slots=load.slots
            )
            write_log_entry(log, entry)
        return self._full[service]

    def observe_full(self, now: float) -> None:
        """Observe the services that are full, and log those that no longer are.

        They are observed at intervals, as a service may get no more requests.
        """
        for service in [*self._full]:
            line = self._lines[service]
            is_open = line.is_open(self.measure_load(service, now), now)
            if is_open and line.share.value == 1.0:
                waited, refused = self._full.pop(service)
                entry = ServiceNotFull(service=service, waited=waited, refused=refused)
                write_log_entry(log, entry)
