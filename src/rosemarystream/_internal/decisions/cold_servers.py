"""Which backend servers are cold, until when, and how a host has learnt it.

Handles servers that have just started or come back: for some seconds each takes only a
few requests a second from all hosts together, and crashes well above that. The entry of
the store says how long, but may arrive a second after the server accepts connections
again. So a server whose machine has refused a connection counts as cold from then on
until a warm-up after it was last seen down, on all hosts; one whose entry names another
start of its process does too. A server that could not be reached for another reason is
presumed cold by the host that saw it only: that host may have been cut off, and would
otherwise make the fleet leave servers idle that never stopped. So is one that has
closed a connection while the host was late, which may have been down and up again.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum
from math import inf
from typing import NamedTuple

from rosemarystream._internal.decisions.bounded_dict import BoundedDict
from rosemarystream._internal.decisions.host_delays import TICK_S, HostDelays
from rosemarystream._internal.decisions.limit_quotas import ColdBound
from rosemarystream._internal.decisions.server_observations import is_reported
from rosemarystream._internal.decisions.store_era import StoreEra
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.position import START, Position
from rosemarystream._internal.models.route import FleetConfiguration, Service

# Largest number of servers of which anything is kept.
MAX_SERVERS = 16_384
# Two ends of a warm-up that are closer than this are the same one: each message adds
# the time that it takes, so that reports passed on in a circle would never end.
SAME_END_S = 0.5
# Most servers that a message reports, the latest ones.
MAX_REPORTS = 256
# Time between failures to reach a server from which it counts as having been away. One
# late connection of a busy host shows nothing.
AWAY_S = 0.4
# Shortest delay of this host in which a server may have started again unseen.
RESTART_S = 0.3
# Time for which a closed connection is remembered, until such a delay.
CLOSED_S = 2.0
_MS_PER_S = 1000

# Time that a server is still presumed cold in ms, and whether it was seen to be up.
ColdReport = tuple[int, bool]


class ColdRow(NamedTuple):
    """A cold server as another host is told it.

    Attributes
    ----------
    position : Position
        Position of its entry.
    entry_left_ms, presumed_left_ms : int
        Time that it is still cold by that entry and by presumption, in milliseconds.
    """

    server: int
    position: Position
    entry_left_ms: int
    presumed_left_ms: int


class ColdSource(StrEnum):
    """How a host knows that a server is cold."""

    ENTRY = "entry"
    INCARNATION = "incarnation"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    REPORTED = "reported"


class ColdChange(NamedTuple):
    """A server that has become cold, or warm if its source is None."""

    server: int
    left_s: float
    source: ColdSource | None


class _Entry(NamedTuple):
    """What the newest known entry says."""

    position: Position
    until: float


class _Presumption(NamedTuple):
    """A warm-up that is presumed.

    Attributes
    ----------
    is_up : bool
        Whether the server was seen to be up since it was down.
    learnt_at : float
        When this host learnt it, to pass it on for a while.
    """

    until: float
    is_up: bool
    source: ColdSource
    learnt_at: float


class _Failure(NamedTuple):
    """Failures of this host to reach a server since it last did."""

    first_at: float
    last_at: float
    is_refused: bool


class ColdServers:
    """The servers that are cold, by number.

    Only those of services with a warm-up and a rate for cold servers can be.

    Parameters
    ----------
    era : StoreEra, optional
        The era of the store.
    delays : HostDelays, optional
        Delays of this host, in which it learns and passes on nothing.

    Attributes
    ----------
    bound : ColdBound
        Requests that one of them may get in a second.
    data_centres : frozenset of str
        Data centres of all registered servers, which all hosts know alike.
    """

    def __init__(
        self, *, era: StoreEra | None = None, delays: HostDelays | None = None
    ) -> None:
        self._era = era or StoreEra()
        self._delays = delays or HostDelays()
        self._services: dict[str, Service] = {}
        self._service_of: dict[int, Service] = {}
        self._data_centre_of: dict[int, str] = {}
        self._incarnations = BoundedDict[int, int](most=MAX_SERVERS)
        self._entries = BoundedDict[int, _Entry](most=MAX_SERVERS)
        self._presumptions = BoundedDict[int, _Presumption](most=MAX_SERVERS)
        self._own_presumptions: dict[int, float] = {}
        # Servers that may be cold; few, unlike those that have entries.
        self._warming: set[int] = set()
        self._failures: dict[int, _Failure] = {}
        # Since when servers may have closed connections.
        self._closed_since = BoundedDict[int, float](most=MAX_SERVERS)
        self._logged: set[int] = set()
        self.bound = ColdBound()
        self.data_centres: frozenset[str] = frozenset()

    @property
    def is_empty(self) -> bool:
        """Whether no service has servers that can be cold."""
        return not self._services

    def update(
        self,
        endpoints: Collection[Endpoint],
        configuration: FleetConfiguration | None,
        now: float,
    ) -> None:
        """Apply the registered servers and the services in force.

        A known server with another incarnation has started again.
        """
        services = configuration.services.values() if configuration else ()
        self._services = {s.name: s for s in services if s.warmup_s and s.cold_per_s}
        if self.is_empty:
            self._service_of, self._data_centre_of = {}, {}
            self._failures.clear()
            return
        self.data_centres = frozenset(e.data_centre for e in endpoints)
        limited = {e.number: e for e in endpoints if e.service in self._services}
        self._service_of = {n: self._services[e.service] for n, e in limited.items()}
        self._data_centre_of = {n: e.data_centre for n, e in limited.items()}
        for departed in self._failures.keys() - limited.keys():
            del self._failures[departed]
        for server, endpoint in limited.items():
            known = self._incarnations.get(server)
            if known == endpoint.incarnation:
                continue
            self._incarnations.put(server, endpoint.incarnation)
            if known is not None:
                self._presume_start(server, ColdSource.INCARNATION, now)

    def record_entry(
        self, server: int, position: Position, left_s: float, now: float
    ) -> None:
        """Record how much longer an entry says that a server is cold.

        An entry that is read again says less than it seems to, so its first end holds;
        the end known before holds against one that may be of a copy of the store.
        """
        known = self._entries.get(server)
        until = now + left_s
        if known is None and not left_s:
            return
        if known is not None:
            if position < known.position:
                return
            if position == known.position:
                until = min(until, known.until)
            elif self._era.is_outlasted(position, known.position):
                until = known.until
        self._entries.put(server, _Entry(position, until))
        if until > now:
            self._warming.add(server)

    def record_failure(self, server: int, now: float, *, is_refused: bool) -> None:
        """Record that this host could not reach a server.

        Parameters
        ----------
        is_refused : bool
            Whether its machine answered that nothing listens there.
        """
        service = self._service_of.get(server)
        if service is None:
            return
        known = self._failures.get(server, _Failure(now, now, False))
        self._failures[server] = _Failure(
            known.first_at, now, known.is_refused or is_refused
        )
        if is_refused:
            until = now + service.warmup_s + SAME_END_S
            presumption = _Presumption(until, False, ColdSource.REFUSED, now)
            self._presume(server, presumption)

    def record_closed(self, server: int, since: float) -> None:
        """Record that a server closed a connection before it was due, since a time."""
        if server in self._service_of:
            # A delay that ended in the same turn of the loop counts.
            self._closed_since.put(server, since - TICK_S)

    def _judge_closed(self, server: int, now: float) -> None:
        """Presume that a server has started again if this host can't have seen it."""
        since = self._closed_since[server]
        was_late = self._delays.was_late(since, now, by_s=RESTART_S)
        if was_late:
            self._own_presumptions[server] = now + self._service_of[server].warmup_s
            self._warming.add(server)
        if was_late or now - since >= CLOSED_S:
            del self._closed_since[server]

    def record_reachable(self, server: int, now: float) -> None:
        """Record that a server has answered this host or accepted a connection."""
        self._closed_since.pop(server, None)
        failure = self._failures.pop(server, None) if self._failures else None
        service = self._service_of.get(server)
        if failure is None or service is None:
            return
        if failure.is_refused:
            known = self._presumptions.get(server)
            seen_up_at = -inf
            if known is not None and known.is_up:
                seen_up_at = known.until - service.warmup_s - SAME_END_S
            if seen_up_at < failure.last_at:
                self._presume_start(server, ColdSource.REFUSED, now)
        elif failure.last_at - failure.first_at >= AWAY_S:
            self._own_presumptions[server] = now + service.warmup_s
            self._warming.add(server)

    def _presume_start(self, server: int, source: ColdSource, now: float) -> None:
        until = now + self._service_of[server].warmup_s + SAME_END_S
        self._presume(server, _Presumption(until, True, source, now))

    def _presume(self, server: int, new: _Presumption) -> None:
        known = self._presumptions.get(server)
        if known is not None and new.until <= known.until + SAME_END_S:
            if known.is_up or not new.is_up:
                return
            new = new._replace(until=max(new.until, known.until))
        self._presumptions.put(server, new)
        self._warming.add(server)

    # Spread

    def list_reports(self, now: float) -> dict[int, ColdReport]:
        """Return what this host has presumed or been told lately, to pass it on."""
        if not self._presumptions:
            return {}
        recent = [
            (server, presumption)
            for server, presumption in self._presumptions.items()
            if presumption.until > now
            and is_reported(presumption.learnt_at, now, self._delays)
        ]
        return {
            server: (_measure_left_ms(presumption.until, now), presumption.is_up)
            for server, presumption in recent[-MAX_REPORTS:]
        }

    def accept_reports(self, reports: Mapping[int, ColdReport], now: float) -> None:
        """Record what another host presumes."""
        for server, (left_ms, is_up) in reports.items():
            until = now + self._bound_left(server, left_ms)
            presumption = _Presumption(until, is_up, ColdSource.REPORTED, now)
            self._presume(server, presumption)

    def _bound_left(self, server: int, left_ms: int) -> float:
        """Return a time that is left, no more than any host can have presumed."""
        service = self._service_of.get(server)
        most_s = inf if service is None else service.warmup_s + SAME_END_S
        return min(left_ms / _MS_PER_S, most_s)

    def list_rows(self, now: float) -> list[ColdRow]:
        """Return all cold servers, for a host that asks for the registered ones."""
        rows = []
        for server in self._warming:
            entry = self._entries.get(server, _Entry(START, -inf))
            presumption = self._presumptions.get(server)
            presumed_until = presumption.until if presumption else -inf
            if max(entry.until, presumed_until) > now:
                entry_left_ms = _measure_left_ms(entry.until, now)
                presumed_left_ms = _measure_left_ms(presumed_until, now)
                row = ColdRow(server, entry.position, entry_left_ms, presumed_left_ms)
                rows.append(row)
        return rows

    def accept_rows(self, rows: Iterable[ColdRow], now: float) -> None:
        """Record the cold servers that another host knows."""
        for server, position, entry_left_ms, presumed_left_ms in rows:
            if entry_left_ms:
                left_s = entry_left_ms / _MS_PER_S
                self.record_entry(server, position, left_s, now)
            if presumed_left_ms:
                self.accept_reports({server: (presumed_left_ms, False)}, now)

    # Answers

    def find_until(self, server: int) -> float:
        """Return the time until which a server is cold; in the past if it is warm."""
        return self._find_end(server) if server in self._service_of else -inf

    def _find_end(self, server: int) -> float:
        """Return until when a server is cold, if its service has a warm-up."""
        entry = self._entries.get(server)
        presumption = self._presumptions.get(server)
        return max(
            entry.until if entry else -inf,
            presumption.until if presumption else -inf,
            self._own_presumptions.get(server, -inf),
        )

    def can_be_cold(self, server: int) -> bool:
        """Return whether a server is one of a service whose servers can be cold."""
        return server in self._service_of

    def is_cold(self, server: int, now: float) -> bool:
        """Return whether a server is cold."""
        if server in self._closed_since and server in self._service_of:
            self._judge_closed(server, now)
        return now < self.find_until(server)

    def find_rate(self, server: int) -> float:
        """Return the requests a second that a server takes while it is cold."""
        service = self._service_of.get(server)
        return service.cold_per_s if service else 0.0

    def find_data_centre(self, server: int) -> str | None:
        """Return the data centre of a server that can be cold; None if unknown."""
        return self._data_centre_of.get(server)

    def find_source(self, server: int) -> ColdSource:
        """Return how it is known until when a server is cold."""
        until = self.find_until(server)
        presumption = self._presumptions.get(server)
        if presumption is not None and presumption.until == until:
            return presumption.source
        if self._own_presumptions.get(server) == until:
            return ColdSource.UNREACHABLE
        return ColdSource.ENTRY

    def take_changes(self, now: float) -> list[ColdChange]:
        """Return the servers that became cold or warm; drop what is over."""
        if not (self._warming or self._logged):
            return []
        over = [s for s, p in self._presumptions.items() if p.until <= now]
        for server in over:
            del self._presumptions[server]
        over = [s for s, until in self._own_presumptions.items() if until <= now]
        for server in over:
            del self._own_presumptions[server]
        self._warming = {s for s in self._warming if self._find_end(s) > now}
        cold = {server for server in self._warming if self.is_cold(server, now)}
        begun, ended = cold - self._logged, self._logged - cold
        self._logged = cold
        return [
            ColdChange(s, self.find_until(s) - now, self.find_source(s))
            for s in sorted(begun)
        ] + [ColdChange(s, 0.0, None) for s in sorted(ended)]


def _measure_left_ms(until: float, now: float) -> int:
    return int((until - now) * _MS_PER_S) if until > now else 0
