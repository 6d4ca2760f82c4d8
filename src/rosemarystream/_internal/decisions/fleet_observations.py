"""What hosts report to each other of backend servers, bundled in their messages."""

from typing import NamedTuple

from rosemarystream._internal.decisions.cold_servers import ColdReport
from rosemarystream._internal.decisions.leaving_servers import (
    Incarnation,
    LeavingServers,
)
from rosemarystream._internal.decisions.retry_deadlines import RetryDeadlines
from rosemarystream._internal.decisions.server_limits import ServerLimits
from rosemarystream._internal.decisions.server_observations import ServerReport
from rosemarystream._internal.decisions.server_speeds import ServerSpeeds


class ObservationReports(NamedTuple):
    """What the hosts of a scope have lately seen of servers, by number.

    Attributes
    ----------
    leaving : list of tuple of int
        Numbers and incarnations of all servers that leave, whoever has seen it.
    cold : dict of int to tuple
        Servers presumed cold, whoever has seen it.
    """

    slowness: dict[int, ServerReport]
    limits: dict[int, ServerReport]
    retry_after: dict[int, ServerReport]
    leaving: list[Incarnation]
    cold: dict[int, ColdReport] = {}


NO_REPORTS = ObservationReports({}, {}, {}, [])


class FleetObservations:
    """Observations of this host and of others, to be passed on."""

    def __init__(
        self,
        *,
        speeds: ServerSpeeds,
        limits: ServerLimits,
        retries: RetryDeadlines,
        leaving: LeavingServers,
    ) -> None:
        self._speeds = speeds
        self._limits = limits
        self._retries = retries
        self._leaving = leaving

    def report_own(self, now: float) -> ObservationReports:
        """Return what this host saw lately."""
        return ObservationReports(
            self._speeds.list_own(now),
            self._limits.list_own(now),
            self._retries.list_own(now),
            self._leaving.list_reported(),
            self._limits.cold.list_reports(now),
        )

    def report_nearby(self, now: float) -> ObservationReports:
        """Return what the hosts of this data centre saw lately."""
        return ObservationReports(
            self._speeds.list_nearby(now),
            self._limits.list_nearby(now),
            self._retries.list_nearby(now),
            self._leaving.list_reported(),
            self._limits.cold.list_reports(now),
        )

    def report_all(self, now: float) -> ObservationReports:
        """Return what all hosts saw lately."""
        return ObservationReports(
            self._speeds.list_all(now),
            self._limits.list_all(now),
            self._retries.list_all(now),
            self._leaving.list_reported(),
            self._limits.cold.list_reports(now),
        )

    def report_leaving(self) -> ObservationReports:
        """Return only which servers leave."""
        return NO_REPORTS._replace(leaving=self._leaving.list_reported())

    def report_limit(self, server: int, now: float) -> ObservationReports:
        """Return only what is known of the limit of one server."""
        return NO_REPORTS._replace(limits=self._limits.make_reports(server, now))

    def accept(self, reports: ObservationReports, now: float, *, nearby: bool) -> None:
        """Record what another host has reported.

        Parameters
        ----------
        nearby : bool
            Whether it reports its own observations, as a host of this data centre.
        """
        self._speeds.accept_reports(reports.slowness, now, nearby=nearby)
        self._limits.accept_reports(reports.limits, now, nearby=nearby)
        # Most messages have nothing to report of these.
        if reports.retry_after:
            self._retries.accept_reports(reports.retry_after, now, nearby=nearby)
        if reports.leaving:
            self._leaving.accept_reports(reports.leaving)
        if reports.cold:
            self._limits.cold.accept_reports(reports.cold, now)
