"""The process of an entry host."""

import gc
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path

import gevent
import msgspec
from gevent.event import Event
from logbook import Logger

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.exceptions import ConnectError, SettingsError
from rosemarystream._internal.gateway.answering import Answer
from rosemarystream._internal.gateway.fleet import Fleet
from rosemarystream._internal.gateway.listener import Listener, Request
from rosemarystream._internal.gateway.logs import (
    gate,
    set_up_gateway_logs,
    write_line,
)
from rosemarystream._internal.gateway.metrics import GatewayMetrics, StatsdSender
from rosemarystream._internal.gateway.peering import Peering
from rosemarystream._internal.gateway.pool import Pool
from rosemarystream._internal.gateway.pulls import Pulls
from rosemarystream._internal.gateway.relay import Relay
from rosemarystream._internal.gateway.settings import (
    START_SECTIONS,
    GatewaySettings,
    list_changes,
    load_gateway_settings,
)
from rosemarystream._internal.gateway.state import StateReport
from rosemarystream._internal.gateway.watching import ConfigurationWatch, ServerWatch
from rosemarystream._internal.models.gossip import HostAddress
from rosemarystream._internal.models.log_entries import (
    HostExchangeFailed,
    HostFound,
    HostLost,
    Leaving,
    ServersNotReturned,
    ServerStillUnreachable,
    ServicesUnreachable,
    SettingsReloaded,
    SettingsReloadFailed,
    Started,
    Stopped,
)
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.platform.store import HOSTS, Store, StoreError
from rosemarystream._internal.utils.address import split_address

log = Logger(__name__)

HOUSEKEEPING_S = 0.1
REGISTER_PAUSE_S = 1.0
# Time between two looks at the hosts that are known in the store.
HOSTS_S = 20.0
# Time in which seeds answer a host that has just started, and when all start.
PEERS_S = 0.1
FIRST_PEERS_S = 0.6
# A shutdown closes connections that stay idle after this time.
IDLE_CLOSE_S = 2.5
# Time before the end of a shutdown at which what still runs is cut.
END_MARGIN_S = 0.4
LEAVE_POLL_S = 0.05
# Time between two looks for servers that have gone out of reach.
SEARCH_S = 0.25
# Time between two reports to a statsd server.
STATSD_S = 10.0
METRICS_TYPE = b"text/plain; version=0.0.4"
JSON_TYPE = b"application/json"
STATE_TARGET = b"/v1/state"
_MS_PER_S = 1000


class Gateway:
    """Assembles and runs an entry host.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    path : Path
        File they came from; read again at SIGHUP.
    count_lines_left_out : callable
        Returns the log lines not written since the start.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        path: Path,
        count_lines_left_out: Callable[[], int] = lambda: 0,
    ) -> None:
        self._settings = settings
        self._path = path
        self._incarnation = int(time.time() * 1000)
        self._clock = time.monotonic
        host = settings.host
        self._me = HostAddress(host.name, host.data_centre, host.ip)
        self._leaving = Event()
        self._tasks: list[gevent.Greenlet] = []
        self._cut_off: list[str] = []
        self._tries = 0
        self._replica = Replica()
        self._peer_table = PeerTable(name=host.name, data_centre=host.data_centre)
        self._loads = LoadTable()
        self._contexts = ContextMap()
        self._metrics = GatewayMetrics()
        self._pool = Pool(clock=self._clock)
        self._fleet = Fleet(
            data_centre=host.data_centre,
            bounds=settings.bounds,
            replica=self._replica,
            peer_table=self._peer_table,
            loads=self._loads,
            contexts=self._contexts,
            metrics=self._metrics,
            clock=self._clock,
            on_load=self._tell_load,
        )
        self._pulls = Pulls(
            address=(host.ip, host.peer_port),
            clock=self._clock,
            replica=self._replica,
            on_news=self._note_news,
        )
        self._peering = Peering(
            me=self._me,
            port=host.peer_port,
            seeds=host.seeds,
            first_sequence=self._incarnation,
            clock=self._clock,
            replica=self._replica,
            peer_table=self._peer_table,
            loads=self._loads,
            contexts=self._contexts,
            pulls=self._pulls,
            list_ejected=self._fleet.list_ejected,
            on_resting=self._fleet.learn_resting,
            metrics=self._metrics,
        )
        self._watches = [
            watch(
                store=self._make_store(),
                clock=self._clock,
                replica=self._replica,
                is_watcher=self._is_watcher,
                on_news=self._announce,
            )
            for watch in (ConfigurationWatch, ServerWatch)
        ]
        self._relay = Relay(fleet=self._fleet, pool=self._pool, clock=self._clock)
        self._callers = Listener(
            address=host.caller_address,
            handler=self._relay.serve,
            get_limits=self._get_limits,
            clock=self._clock,
        )
        self._health = Listener(
            address=host.ready_address,
            handler=self._answer_ready,
            get_limits=CallerLimits,
            clock=self._clock,
        )
        self._figures = Listener(
            address=f"{host.ip}:{host.metrics_port}",
            handler=self._answer_state,
            get_limits=CallerLimits,
            clock=self._clock,
        )
        self._state = StateReport(
            name=host.name,
            data_centre=host.data_centre,
            clock=self._clock,
            replica=self._replica,
            peer_table=self._peer_table,
            loads=self._loads,
            fleet=self._fleet,
            count_busy=self._callers.count_busy,
            count_lines_left_out=count_lines_left_out,
        )

    def _make_store(self) -> Store:
        return Store(
            address=self._settings.platform.address,
            clock=self._clock,
            on_call=lambda result: self._metrics.store_calls.labels(result).inc(),
        )

    def run(self) -> int:
        """Serve until SIGTERM; returns the exit code."""
        gevent.signal_handler(signal.SIGTERM, self._leaving.set)
        gevent.signal_handler(signal.SIGINT, self._leaving.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        self.start()
        gc.freeze()
        self._leaving.wait()
        self.leave()
        return 0

    def start(self) -> None:
        """Begin to serve; ready once a configuration is known."""
        write_line(log, Started(pid=os.getpid(), incarnation=self._incarnation))
        self._callers.start()
        self._health.start()
        self._figures.start()
        self._pulls.start()
        self._peering.start()
        self._tasks = [
            gevent.spawn(self._ask_store),
            gevent.spawn(self._keep_house),
            gevent.spawn(self._look_for_servers),
        ]
        if self._settings.metrics.statsd:
            self._tasks.append(gevent.spawn(self._send_statsd))

    def stop(self) -> None:
        """Stop at once, as a killed process would."""
        for listener in (self._callers, self._health, self._figures):
            listener.stop()
        self._pulls.stop()
        self._peering.stop()
        for watch in self._watches:
            watch.stop()
        gevent.killall(self._tasks)

    def _is_watcher(self) -> bool:
        now = self._clock()
        lost = self._peering.list_lost_stores(now)
        return self._peer_table.is_watcher(now, lost=lost)

    def _get_limits(self) -> CallerLimits:
        configuration = self._replica.configuration
        return configuration.limits if configuration else CallerLimits()

    def _tell_load(self) -> None:
        self._peering.tell_jump()

    def _announce(self) -> None:
        self._note_news()
        self._peering.announce()

    def _note_news(self) -> None:
        endpoints = self._replica.list_endpoints()
        self._pool.drop_others(endpoints)
        self._fleet.forget_others(endpoints)

    def _ask_store(self) -> None:
        """Turn to the store once the seeds have had time to answer.

        By then this host knows whether it collects, so few hosts ask. Where
        nobody else is up either, as after a loss of power, time counts more.
        """
        first_start = self._settings.host.first_start
        gevent.sleep(FIRST_PEERS_S if first_start else PEERS_S)
        for watch in self._watches:
            watch.start()
        self._exchange_hosts()

    def _exchange_hosts(self) -> None:
        """Make collectors known in the store, and learn of those elsewhere."""
        store = self._make_store()
        spec = {"data_centre": self._me.data_centre, "ip": self._me.ip}
        registered = False
        while True:
            if self._peer_table.is_collector(self._clock()):
                try:
                    if not registered:
                        store.put(HOSTS, self._me.name, spec)
                    registered = True
                    self._learn_hosts(store)
                except StoreError as error:
                    write_line(log, HostExchangeFailed(error=str(error)))
            store.close()
            gevent.sleep(HOSTS_S if registered else REGISTER_PAUSE_S)

    def _learn_hosts(self, store: Store) -> None:
        now = self._clock()
        for item in store.list(HOSTS).objects:
            host = item.read_text_fields()
            if "ip" in host and "data_centre" in host:
                self._peer_table.add_peer(
                    item.name, host["data_centre"], host["ip"], now
                )

    def _look_for_servers(self) -> None:
        """Say when services go out of reach, and find out when they are back."""
        while True:
            gevent.sleep(SEARCH_S)
            cut_off = self._fleet.list_unreachable_services()
            if cut_off != self._cut_off:
                write_line(log, ServicesUnreachable(services=cut_off))
            self._cut_off = cut_off
            for service in cut_off:
                self._try_server(service)

    def _try_server(self, service: str) -> None:
        endpoints = self._replica.list_ready(service)
        if not endpoints:
            return
        self._tries += 1
        endpoint = endpoints[self._tries % len(endpoints)]
        try:
            connection = self._pool.open(endpoint, self._clock() + SEARCH_S)
        except ConnectError as error:
            line = ServerStillUnreachable(server=endpoint.name, reason=str(error))
            write_line(log, line)
            return
        connection.close()
        self._fleet.record_reachable(endpoint)

    def _keep_house(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_S)
            now = self._clock()
            self._peer_table.remove_stale(now)
            gone = self._replica.expire(now)
            if gone:
                write_line(log, ServersNotReturned(servers=gone))
                self._announce()
            self._note_hosts(now)
            self._state.note_version()
            lost = [watch.lost_at for watch in self._watches if watch.lost_at]
            self._state.store_lost_s = now - min(lost) if lost else 0.0
            self._peering.store_lost_ms = int(self._state.store_lost_s * _MS_PER_S)

    def _note_hosts(self, now: float) -> None:
        turnover = self._peer_table.take_changes(now)
        for host in turnover.found:
            write_line(log, HostFound(peer=host.name, data_centre=host.data_centre))
        for host in turnover.lost:
            line = HostLost(
                peer=host.name,
                data_centre=host.data_centre,
                silent_ms=round((now - host.last_seen_at) * _MS_PER_S, 1),
            )
            write_line(log, line)

    def _send_statsd(self) -> None:
        sender = StatsdSender(
            address=split_address(self._settings.metrics.statsd),
            host=self._me.name,
            metrics=self._metrics,
        )
        while True:
            gevent.sleep(STATSD_S)
            self._metrics.set_figures(self._state.make_figures())
            sender.send()

    def _is_ready(self) -> bool:
        return (
            self._replica.configuration is not None
            and not self._leaving.is_set()
            and not self._cut_off
        )

    def _answer_ready(self, request: Request, answer: Answer) -> None:
        answer.send_whole(200 if self._is_ready() else 503, [], b"")

    def _answer_state(self, request: Request, answer: Answer) -> None:
        """Answer with the state dump at its path, else with the metrics."""
        if request.target == STATE_TARGET:
            dump = self._state.make_dump(
                ready=self._is_ready(), leaving=self._leaving.is_set()
            )
            body = msgspec.json.encode(dump)
            answer.send_whole(200, [(b"content-type", JSON_TYPE)], body)
            return
        self._metrics.set_figures(self._state.make_figures())
        body = self._metrics.format_text()
        answer.send_whole(200, [(b"content-type", METRICS_TYPE)], body)

    def _reload(self) -> None:
        try:
            settings = load_gateway_settings(self._path)
        except SettingsError as error:
            write_line(log, SettingsReloadFailed(error=str(error)))
            return
        changes = list_changes(self._settings, settings)
        late = [change for change in changes if change.section in START_SECTIONS]
        line = SettingsReloaded(
            changed=[str(change) for change in changes],
            at_next_start=[str(change) for change in late],
        )
        write_line(log, line)
        if settings.bounds != self._settings.bounds:
            self._fleet.set_bounds(settings.bounds)
        self._settings = settings

    def leave(self) -> None:
        """Finish what runs, then close; the end is the settings' shutdown time."""
        begun = self._clock()
        end = begun + self._settings.bounds.shutdown_ms / 1000 - END_MARGIN_S
        left_ms = round((end - begun) * _MS_PER_S, 1)
        write_line(log, Leaving(busy=self._callers.count_busy(), end_in_ms=left_ms))
        self._leaving.set()
        self._callers.leaving = True
        while self._clock() < end:
            gevent.sleep(LEAVE_POLL_S)
            if self._clock() - begun < IDLE_CLOSE_S:
                continue
            self._relay.end_at(end)
            self._callers.close_idle()
            if not self._callers.count_busy():
                break
        write_line(log, Stopped(busy=self._callers.count_busy()))


def run_gateway(path: Path) -> int:
    """Run an entry host with the settings of a file; returns the exit code."""
    settings = load_gateway_settings(path)
    handler = set_up_gateway_logs(host=settings.host.name, level=settings.log.level)
    gateway = Gateway(
        settings=settings, path=path, count_lines_left_out=lambda: gate.left_out
    )
    code = gateway.run()
    handler.flush_at_end()
    return code
