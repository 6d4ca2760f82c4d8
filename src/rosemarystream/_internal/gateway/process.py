"""The process of an entry host: assembly, background tasks, reload and shutdown."""

import gc
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from logbook import Logger

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.peer_table import Peer, PeerTable
from rosemarystream._internal.decisions.prompt_blocks import (
    PromptBlocks,
    format_part,
)
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.exceptions import ConnectError, SettingsError
from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.block_records import BlockWatch
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.listener import Listener, Request
from rosemarystream._internal.gateway.logs import (
    log_filter,
    set_up_gateway_logs,
    write_log_entry,
)
from rosemarystream._internal.gateway.metrics import GatewayMetrics, StatsdSender
from rosemarystream._internal.gateway.peering import Peering
from rosemarystream._internal.gateway.relay import Relay
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.settings import (
    RESTART_SECTIONS,
    GatewaySettings,
    list_changes,
    load_gateway_settings,
)
from rosemarystream._internal.gateway.state import StateReport
from rosemarystream._internal.gateway.state_pulls import StatePuller
from rosemarystream._internal.gateway.store_watches import (
    ConfigurationWatch,
    ServerWatch,
)
from rosemarystream._internal.gateway.unexpected_errors import (
    record_unexpected_error,
)
from rosemarystream._internal.models.gossip import HostAddress, QuotaQuestion
from rosemarystream._internal.models.log_entries import (
    HostExchangeFailed,
    HostFound,
    HostLost,
    Leaving,
    PromptPartBlocked,
    PromptPartReleased,
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
from rosemarystream._internal.utils.clock import Clock

log = Logger(__name__)

HOUSEKEEPING_INTERVAL_S = 0.1
# Interval of the attempts to register a collector in the store.
REGISTER_RETRY_S = 1.0
# Interval at which the hosts known in the store are read.
HOSTS_INTERVAL_S = 20.0
# Time for seeds to answer a host that restarts, and one at its first start, when
# the others start as well.
SEED_ANSWER_S = 0.1
FIRST_START_SEED_ANSWER_S = 0.6
# Time after the start of a shutdown from which idle connections are closed.
IDLE_CLOSE_S = 2.5
# Time before the end of a shutdown at which requests in progress are aborted.
END_MARGIN_S = 0.4
LEAVE_POLL_S = 0.05
# Interval of the probes of unreachable services.
PROBE_S = 0.25
# Interval of reports to a statsd server.
STATSD_INTERVAL_S = 10.0
# Interval of the log entries on requests sent to limited servers.
LIMITED_SENDS_INTERVAL_S = 1.0
METRICS_TYPE = b"text/plain; version=0.0.4"
JSON_TYPE = b"application/json"
STATE_TARGET = b"/v1/state"
_MS_PER_S = 1000


class Gateway:
    """Assembles and runs an entry host.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    path : Path
        File of the settings; read again on SIGHUP.
    count_dropped_entries : callable
        Returns the number of log entries dropped since the start.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        path: Path,
        count_dropped_entries: Callable[[], int] = lambda: 0,
    ) -> None:
        self._settings = settings
        self._path = path
        self._incarnation = int(time.time() * 1000)
        self._clock = time.monotonic
        host = settings.host
        self._this_host = HostAddress(host.name, host.data_centre, host.ip)
        self._leaving = Event()
        self._tasks: list[gevent.Greenlet] = []
        self._unreachable_services: list[str] = []
        self._probes = 0
        self._replica = Replica()
        self._peer_table = PeerTable(name=host.name, data_centre=host.data_centre)
        self._loads = LoadTable()
        self._contexts = ContextMap()
        self._blocks = PromptBlocks()
        self._metrics = GatewayMetrics()
        self._pool = ConnectionPool(clock=self._clock)
        self._router = Router(
            data_centre=host.data_centre,
            bounds=settings.bounds,
            replica=self._replica,
            peer_table=self._peer_table,
            loads=self._loads,
            contexts=self._contexts,
            metrics=self._metrics,
            clock=self._clock,
            # Steps of the time of day must not move the homes of prompts.
            read_epoch_s=Clock().now,
            on_load=self._report_load_change,
        )
        self._puller = StatePuller(
            address=(host.ip, host.peer_port),
            clock=self._clock,
            replica=self._replica,
            contexts=self._contexts,
            blocks=self._blocks,
            on_change=self._forget_departed,
        )
        self._gate = LimitGate(
            this_host=self._this_host,
            first_number=self._incarnation,
            clock=self._clock,
            peer_table=self._peer_table,
            limits=self._router.limits,
            send_question=self._send_question,
        )
        self._peering = Peering(
            this_host=self._this_host,
            port=host.peer_port,
            seeds=host.seeds,
            first_sequence=self._incarnation,
            clock=self._clock,
            replica=self._replica,
            peer_table=self._peer_table,
            loads=self._loads,
            contexts=self._contexts,
            observations=self._router.observations,
            gate=self._gate,
            blocks=self._blocks,
            puller=self._puller,
            list_ejected=self._router.list_ejected,
            on_ejections=self._router.accept_ejections,
            metrics=self._metrics,
        )
        self._watches = [
            watch(
                store=self._make_store(),
                clock=self._clock,
                replica=self._replica,
                is_watcher=self._is_watcher,
                on_change=self._announce,
            )
            for watch in (
                self._make_configuration_watch,
                ServerWatch,
                self._make_block_watch,
            )
        ]
        self._relay = Relay(
            router=self._router,
            pool=self._pool,
            gate=self._gate,
            blocks=self._blocks,
            clock=self._clock,
        )
        self._caller_listener = Listener(
            address=host.caller_address,
            handler=self._relay.serve,
            get_limits=self._get_limits,
            record_error=self._record_error,
            clock=self._clock,
        )
        self._ready_listener = Listener(
            address=host.ready_address,
            handler=self._serve_readiness,
            get_limits=CallerLimits,
            record_error=self._record_error,
            clock=self._clock,
        )
        self._metrics_listener = Listener(
            address=f"{host.ip}:{host.metrics_port}",
            handler=self._serve_metrics,
            get_limits=CallerLimits,
            record_error=self._record_error,
            clock=self._clock,
        )
        self._state = StateReport(
            name=host.name,
            data_centre=host.data_centre,
            clock=self._clock,
            replica=self._replica,
            peer_table=self._peer_table,
            loads=self._loads,
            router=self._router,
            blocks=self._blocks,
            count_busy=self._caller_listener.count_busy,
            count_dropped_entries=count_dropped_entries,
        )

    def _make_configuration_watch(self, **arguments: Any) -> ConfigurationWatch:
        return ConfigurationWatch(
            keeps_waits_short=lambda: self._peer_table.keeps_waits_short(self._clock()),
            **arguments,
        )

    def _make_block_watch(self, **arguments: Any) -> BlockWatch:
        return BlockWatch(blocks=self._blocks, writer=self._make_store(), **arguments)

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
        write_log_entry(log, Started(pid=os.getpid(), incarnation=self._incarnation))
        self._caller_listener.start()
        self._ready_listener.start()
        self._metrics_listener.start()
        self._puller.start()
        self._peering.start()
        self._tasks = [
            gevent.spawn(self._start_watches),
            gevent.spawn(self._run_housekeeping),
            gevent.spawn(self._probe_services),
            gevent.spawn(self._log_limited_sends),
        ]
        if self._settings.metrics.statsd:
            self._tasks.append(gevent.spawn(self._send_statsd))

    def stop(self) -> None:
        """Stop without finishing requests, as a killed process would."""
        for listener in (
            self._caller_listener,
            self._ready_listener,
            self._metrics_listener,
        ):
            listener.stop()
        self._puller.stop()
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

    def _record_error(self, error: Exception) -> None:
        record_unexpected_error(error, metrics=self._metrics)

    def _report_load_change(self) -> None:
        self._peering.report_load_change()

    def _send_question(self, host: Peer, question: QuotaQuestion) -> None:
        self._peering.send_question(host, question)

    def _announce(self) -> None:
        self._forget_departed()
        self._peering.announce()

    def _forget_departed(self) -> None:
        endpoints = self._replica.list_endpoints()
        self._pool.close_others(endpoints)
        self._router.forget_departed(endpoints)

    def _start_watches(self) -> None:
        """Start the store watches after the seeds have had time to answer.

        By then a host knows whether it is a collector, so that few hosts query the
        store. After a restart the wait is short: if no other host is up either, as
        after a power loss, quick recovery matters more than few queries.
        """
        first_start = self._settings.host.first_start
        gevent.sleep(FIRST_START_SEED_ANSWER_S if first_start else SEED_ANSWER_S)
        for watch in self._watches:
            watch.start()
        self._exchange_hosts_with_store()

    def _exchange_hosts_with_store(self) -> None:
        """Register this host in the store while it is a collector; read the others."""
        store = self._make_store()
        spec = {"data_centre": self._this_host.data_centre, "ip": self._this_host.ip}
        registered = False
        while True:
            if self._peer_table.is_collector(self._clock()):
                try:
                    if not registered:
                        store.put(HOSTS, self._this_host.name, spec)
                    registered = True
                    self._read_hosts(store)
                except StoreError as error:
                    write_log_entry(log, HostExchangeFailed(error=str(error)))
            store.close()
            gevent.sleep(HOSTS_INTERVAL_S if registered else REGISTER_RETRY_S)

    def _read_hosts(self, store: Store) -> None:
        now = self._clock()
        for item in store.list(HOSTS).objects:
            host = item.read_text_fields()
            if "ip" in host and "data_centre" in host:
                self._peer_table.add_peer(
                    item.name, host["data_centre"], host["ip"], now
                )

    def _probe_services(self) -> None:
        """Log which services are unreachable, and probe their servers."""
        while True:
            gevent.sleep(PROBE_S)
            unreachable = self._router.list_unreachable_services()
            if unreachable != self._unreachable_services:
                write_log_entry(log, ServicesUnreachable(services=unreachable))
            self._unreachable_services = unreachable
            for service in unreachable:
                self._probe_server(service)

    def _probe_server(self, service: str) -> None:
        endpoints = self._router.availability.list_probed(service, self._clock())
        if not endpoints:
            return
        self._probes += 1
        endpoint = endpoints[self._probes % len(endpoints)]
        try:
            self._pool.probe(endpoint)
        except ConnectError as error:
            entry = ServerStillUnreachable(server=endpoint.name, reason=str(error))
            write_log_entry(log, entry)
            return
        self._router.record_reachable(endpoint)

    def _run_housekeeping(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            now = self._clock()
            self._peer_table.remove_stale(now)
            expired = self._replica.expire(now)
            if expired:
                write_log_entry(log, ServersNotReturned(servers=expired))
                self._announce()
            self._log_host_changes(now)
            self._blocks.expire(now)
            self._log_block_changes()
            self._router.statements.log_changes()
            self._state.record_version()
            lost = [watch.lost_at for watch in self._watches if watch.lost_at]
            self._state.store_lost_s = now - min(lost) if lost else 0.0
            self._peering.store_lost_ms = int(self._state.store_lost_s * _MS_PER_S)

    def _log_limited_sends(self) -> None:
        while True:
            gevent.sleep(LIMITED_SENDS_INTERVAL_S)
            self._router.statements.log_limited_sends()

    def _log_block_changes(self) -> None:
        for change in self._blocks.take_changes():
            part = format_part(change.part)
            if change.is_blocked:
                for_ms = round(change.left_s * _MS_PER_S, 1)
                write_log_entry(log, PromptPartBlocked(part=part, for_ms=for_ms))
            else:
                write_log_entry(log, PromptPartReleased(part=part))

    def _log_host_changes(self, now: float) -> None:
        changes = self._peer_table.take_changes(now)
        for host in changes.found:
            write_log_entry(
                log, HostFound(peer=host.name, data_centre=host.data_centre)
            )
        for host in changes.lost:
            entry = HostLost(
                peer=host.name,
                data_centre=host.data_centre,
                silent_ms=round((now - host.last_seen_at) * _MS_PER_S, 1),
            )
            write_log_entry(log, entry)

    def _send_statsd(self) -> None:
        sender = StatsdSender(
            address=split_address(self._settings.metrics.statsd),
            host=self._this_host.name,
            metrics=self._metrics,
        )
        while True:
            gevent.sleep(STATSD_INTERVAL_S)
            self._metrics.set_gauges(self._state.collect_gauges())
            sender.send()

    def _is_ready(self) -> bool:
        return (
            self._replica.configuration is not None
            and not self._leaving.is_set()
            and not self._unreachable_services
        )

    def _serve_readiness(self, request: Request, answer: AnswerWriter) -> None:
        answer.send_whole(200 if self._is_ready() else 503, [], b"")

    def _serve_metrics(self, request: Request, answer: AnswerWriter) -> None:
        """Answer with the state dump at its path, and with the metrics elsewhere."""
        if request.target == STATE_TARGET:
            dump = self._state.make_dump(
                ready=self._is_ready(), leaving=self._leaving.is_set()
            )
            body = msgspec.json.encode(dump)
            answer.send_whole(200, [(b"content-type", JSON_TYPE)], body)
            return
        self._metrics.set_gauges(self._state.collect_gauges())
        body = self._metrics.format_text()
        answer.send_whole(200, [(b"content-type", METRICS_TYPE)], body)

    def _reload(self) -> None:
        try:
            settings = load_gateway_settings(self._path)
        except SettingsError as error:
            write_log_entry(log, SettingsReloadFailed(error=str(error)))
            return
        changes = list_changes(self._settings, settings)
        needing_restart = [
            change for change in changes if change.section in RESTART_SECTIONS
        ]
        entry = SettingsReloaded(
            changed=[str(change) for change in changes],
            at_next_start=[str(change) for change in needing_restart],
        )
        write_log_entry(log, entry)
        if settings.bounds != self._settings.bounds:
            self._router.set_bounds(settings.bounds)
        self._settings = settings

    def leave(self) -> None:
        """Finish the requests in progress, at most for the shutdown time, then stop."""
        began_at = self._clock()
        end = began_at + self._settings.bounds.shutdown_ms / 1000 - END_MARGIN_S
        left_ms = round((end - began_at) * _MS_PER_S, 1)
        write_log_entry(
            log, Leaving(busy=self._caller_listener.count_busy(), end_in_ms=left_ms)
        )
        self._leaving.set()
        self._caller_listener.leaving = True
        while self._clock() < end:
            gevent.sleep(LEAVE_POLL_S)
            if self._clock() - began_at < IDLE_CLOSE_S:
                continue
            self._relay.end_at(end)
            self._caller_listener.close_idle()
            if not self._caller_listener.count_busy():
                break
        write_log_entry(log, Stopped(busy=self._caller_listener.count_busy()))


def run_gateway(path: Path) -> int:
    """Run an entry host with the settings of a file; return the exit code."""
    settings = load_gateway_settings(path)
    handler = set_up_gateway_logs(host=settings.host.name, level=settings.log.level)
    gateway = Gateway(
        settings=settings, path=path, count_dropped_entries=lambda: log_filter.dropped
    )
    code = gateway.run()
    handler.flush_at_end()
    return code
