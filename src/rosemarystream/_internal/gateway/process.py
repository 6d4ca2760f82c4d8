"""The process of an entry host: assembly, background tasks, reload and shutdown."""

import gc
import os
import resource
import signal
import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event
from logbook import Logger

from rosemarystream._internal.decisions.caller_budget import derive_limits
from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.crash_holds import HostTurn
from rosemarystream._internal.decisions.hashing import hash_name_32
from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.decisions.live_hosts import Peer
from rosemarystream._internal.decisions.load_table import LoadTable
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.decisions.prompt_blocks import (
    PromptBlocks,
)
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.block_records import BlockWatch
from rosemarystream._internal.gateway.caller_resources import CallerResources
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.evacuation_watch import EvacuationWatch
from rosemarystream._internal.gateway.host_registry import HostRegistry
from rosemarystream._internal.gateway.host_times import HostTimes
from rosemarystream._internal.gateway.housekeeping import Housekeeping
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.listener import Listener
from rosemarystream._internal.gateway.logs import (
    log_filter,
    set_up_gateway_logs,
    write_log_entry,
)
from rosemarystream._internal.gateway.metrics import StatsdSender
from rosemarystream._internal.gateway.operator_answers import OperatorAnswers
from rosemarystream._internal.gateway.operator_listeners import OperatorListeners
from rosemarystream._internal.gateway.peering import Peering
from rosemarystream._internal.gateway.relay import Relay
from rosemarystream._internal.gateway.request_ledger import RequestLedger
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.server_watch import ServerWatch
from rosemarystream._internal.gateway.service_probes import ServiceProbes
from rosemarystream._internal.gateway.settings import (
    GatewaySettings,
    load_gateway_settings,
)
from rosemarystream._internal.gateway.settings_reload import reload_settings
from rosemarystream._internal.gateway.shutdown import (
    Shutdown,
    ShutdownPlan,
    make_shutdown_plan,
)
from rosemarystream._internal.gateway.state import StateReport
from rosemarystream._internal.gateway.state_pulls import StatePuller
from rosemarystream._internal.gateway.store_access import StoreAccess
from rosemarystream._internal.gateway.store_watches import (
    ConfigurationWatch,
    StoreWatch,
)
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.gateway.unexpected_errors import (
    record_unexpected_error,
)
from rosemarystream._internal.gateway.watch_roles import (
    WATCHED_KINDS,
    WatchRoles,
)
from rosemarystream._internal.models.gossip import HostAddress, QuotaQuestion
from rosemarystream._internal.models.judgements import Judgement
from rosemarystream._internal.models.log_entries.process import Started
from rosemarystream._internal.models.route import CallerLimits
from rosemarystream._internal.platform.store import (
    BLOCKED_PARTS,
    CONFIGURATION,
    EVACUATIONS,
    SERVERS,
)
from rosemarystream._internal.utils.address import split_address
from rosemarystream._internal.utils.clock import Clock

log = Logger(__name__)

# Time for seeds to answer a host that restarts, and one at its first start, when
# the others start as well.
SEED_ANSWER_S = 0.1
FIRST_START_SEED_ANSWER_S = 0.6
# Interval of reports to a statsd server.
STATSD_INTERVAL_S = 10.0


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
    supervisor : Supervisor, optional
        Runs the loops of the process.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        path: Path,
        count_dropped_entries: Callable[[], int] = lambda: 0,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._settings = settings
        self._path = path
        self._incarnation = int(time.time() * 1000)
        self._clock = time.monotonic
        host = settings.host
        self._this_host = HostAddress(host.name, host.data_centre, host.ip)
        self._leaving = Event()
        self._shutdown_plan: ShutdownPlan | None = None
        self._tasks: list[gevent.Greenlet] = []
        self._statsd: StatsdSender | None = None
        self._replica = Replica()
        self._peer_table = PeerTable(
            name=host.name,
            data_centre=host.data_centre,
            delays=self._replica.delays,
        )
        self._loads = LoadTable()
        self._contexts = ContextMap()
        self._blocks = PromptBlocks(find_turn=self._find_turn)
        self._supervisor = supervisor or Supervisor(clock=self._clock)
        self._metrics = self._supervisor.metrics
        self._stores = StoreAccess(
            address=settings.platform.address,
            clock=self._clock,
            metrics=self._metrics,
            find_known_era=lambda: self._replica.era.number,
        )
        self._left_out = IgnoredObjects(on_new=self._metrics.count_left_out)
        self._times = HostTimes(clock=self._clock)
        self._ledger = RequestLedger(
            metrics=self._metrics,
            replica=self._replica,
            times=self._times,
            clock=self._clock,
        )
        resources = settings.resources
        limits = derive_limits(
            memory_mb=resources.memory_mb,
            max_descriptors=min(resources.max_descriptors, _read_max_descriptors()),
            per_address=resources.connections_per_address,
        )
        callers = CallerResources(
            limits=limits, clock=self._clock, metrics=self._metrics
        )
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
        self._pool = ConnectionPool(
            clock=self._clock,
            resources=callers,
            delays=self._router.availability.delays,
            on_withheld=partial(self._router.record_withheld, Judgement.CONNECT),
            on_closed=self._router.record_closed,
        )
        self._puller = StatePuller(
            address=(host.ip, host.peer_port),
            clock=self._clock,
            replica=self._replica,
            contexts=self._contexts,
            blocks=self._blocks,
            on_change=self._forget_departed,
            supervisor=self._supervisor,
            ignored=self._left_out,
            evacuations=self._router.availability.evacuations,
            cold=self._router.cold,
        )
        self._roles = WatchRoles(
            data_centre=host.data_centre,
            peer_table=self._peer_table,
            list_lost_stores=lambda now: self._peering.list_lost_stores(now),
            clock=self._clock,
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
            supervisor=self._supervisor,
            evacuations=self._router.availability.evacuations,
            freshness=self._roles.freshness,
        )
        watch_makers: dict[str, Callable[..., StoreWatch]] = {
            CONFIGURATION: ConfigurationWatch,
            SERVERS: self._make_server_watch,
            BLOCKED_PARTS: self._make_block_watch,
            EVACUATIONS: self._make_evacuation_watch,
        }
        self._watches = [
            watch_makers[kind](
                store=self._stores.connect(),
                clock=self._clock,
                replica=self._replica,
                is_watcher=partial(self._roles.is_watcher, kind),
                on_change=self._announce,
                supervisor=self._supervisor,
                ignored=self._left_out,
                keeps_waits_short=self._roles.keeps_waits_short,
                on_current=self._roles.record_current,
            )
            for kind in WATCHED_KINDS
        ]
        self._relay = Relay(
            router=self._router,
            pool=self._pool,
            gate=self._gate,
            blocks=self._blocks,
            clock=self._clock,
            supervisor=self._supervisor,
            may_serve=self._evacuation_watch.is_answered,
        )
        self._caller_listener = Listener(
            address=host.caller_address,
            handler=self._relay.serve,
            get_limits=self._get_limits,
            record_error=self._record_error,
            clock=self._clock,
            ledger=self._ledger,
            resources=callers,
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
            list_failing_loops=self._supervisor.list_failing,
            count_busy=self._caller_listener.count_busy,
            count_dropped_entries=count_dropped_entries,
            collect_callers=self._caller_listener.resources.collect_gauges,
            left_out=self._left_out,
            times=self._times,
            ledger=self._ledger,
        )
        self._answers = OperatorAnswers(
            state=self._state,
            metrics=self._metrics,
            is_ready=self._is_ready,
            is_leaving=self._leaving.is_set,
        )
        self._operator_listeners = OperatorListeners(
            host=host,
            answers=self._answers,
            record_error=self._record_error,
            clock=self._clock,
        )
        self._registry = HostRegistry(
            this_host=self._this_host,
            store=self._stores.connect(),
            peer_table=self._peer_table,
            ignored=self._left_out,
            clock=self._clock,
            contact=self._peering.contact,
        )
        self._probes = ServiceProbes(
            router=self._router, pool=self._pool, clock=self._clock
        )
        self._housekeeping = Housekeeping(
            clock=self._clock,
            replica=self._replica,
            peer_table=self._peer_table,
            blocks=self._blocks,
            router=self._router,
            state=self._state,
            peering=self._peering,
            watches=self._watches,
            reserve=self._roles.reserve,
            on_expiry=self._announce,
            check_requests=self._check_requests,
        )

    def _make_server_watch(self, **arguments: Any) -> ServerWatch:
        return ServerWatch(on_entry=self._router.record_entry, **arguments)

    def _make_block_watch(self, **arguments: Any) -> BlockWatch:
        return BlockWatch(
            blocks=self._blocks, writer=self._stores.connect(), **arguments
        )

    def _make_evacuation_watch(self, **arguments: Any) -> EvacuationWatch:
        evacuations = self._router.availability.evacuations
        self._evacuation_watch = EvacuationWatch(evacuations=evacuations, **arguments)
        return self._evacuation_watch

    def run(self, *, told_to_stop_at: Sequence[float]) -> int:
        """Serve until SIGTERM; returns the exit code.

        Parameters
        ----------
        told_to_stop_at : sequence of float
            Times of SIGTERM before this host handled it, by the monotonic clock.
        """
        gevent.signal_handler(signal.SIGTERM, self._begin_leave)
        gevent.signal_handler(signal.SIGINT, self._begin_leave)
        gevent.signal_handler(
            signal.SIGHUP, self._supervisor.run_task, "reload", self._reload
        )
        if told_to_stop_at:
            self._begin_leave(told_at=told_to_stop_at[0])
        # The launcher holds it back while the modules load.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
        self.start()
        gc.freeze()
        self._leaving.wait()
        self.leave()
        return 0

    def start(self) -> None:
        """Begin to serve; ready once configuration and evacuations are known."""
        write_log_entry(log, Started(pid=os.getpid(), incarnation=self._incarnation))
        self._caller_listener.start()
        self._operator_listeners.start()
        self._puller.start()
        self._peering.start()
        start_loop = self._supervisor.start_loop
        self._tasks = [
            self._supervisor.start_task(
                "watch_start", self._start_watches, delay_s=self._get_seed_wait()
            ),
            start_loop("housekeeping", self._housekeeping.run, is_needed=True),
            start_loop("service_probes", self._probes.run, is_needed=True),
            start_loop("limited_sends", self._housekeeping.log_limited_sends),
        ]
        if self._settings.metrics.statsd:
            self._tasks.append(start_loop("statsd", self._send_statsd))

    def stop(self) -> None:
        """Stop without finishing requests, as a killed process would."""
        self._caller_listener.stop()
        self._operator_listeners.stop()
        self._puller.stop()
        self._peering.stop()
        for watch in self._watches:
            watch.stop()
        gevent.killall(self._tasks)

    def _find_turn(self, now: float) -> HostTurn:
        hosts = self._peer_table.count_live(now)
        return HostTurn(hash_name_32(self._this_host.name), hosts)

    def _get_limits(self) -> CallerLimits:
        configuration = self._replica.configuration
        return configuration.limits if configuration else CallerLimits()

    def _record_error(self, error: Exception) -> None:
        record_unexpected_error(error, metrics=self._metrics)

    def _check_requests(self) -> None:
        self._ledger.check_balance(self._caller_listener.count_busy())

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

    def _get_seed_wait(self) -> float:
        """Return the time that seeds have to answer before the store is watched.

        By then a host knows whether it is a collector, so that few hosts query the
        store. After a restart the wait is short: if no other host is up either, as
        after a power loss, quick recovery matters more than few queries.
        """
        first_start = self._settings.host.first_start
        return FIRST_START_SEED_ANSWER_S if first_start else SEED_ANSWER_S

    def _start_watches(self) -> None:
        for watch in self._watches:
            watch.start()
        self._tasks.append(
            self._supervisor.start_loop("host_exchange", self._registry.run)
        )

    def _send_statsd(self) -> None:
        # A new sender would send all increments once more.
        if self._statsd is None:
            self._statsd = StatsdSender(
                address=split_address(self._settings.metrics.statsd),
                host=self._this_host.name,
                metrics=self._metrics,
            )
        while True:
            gevent.sleep(STATSD_INTERVAL_S)
            self._metrics.set_gauges(self._state.collect_gauges())
            self._statsd.send()

    def _is_ready(self) -> bool:
        return (
            self._replica.configuration is not None
            and self._evacuation_watch.is_answered()
            and not self._leaving.is_set()
            and not self._probes.unreachable
            and self._supervisor.is_sound()
        )

    def _reload(self) -> None:
        # Signals that wait together are told by their numbers. A stop among them goes
        # by the settings in force so far.
        gevent.sleep(0)
        self._times.record_reload()
        settings = reload_settings(self._path, self._settings)
        if settings.bounds != self._settings.bounds:
            self._router.set_bounds(settings.bounds)
        self._settings = settings

    def _begin_leave(self, *, told_at: float | None = None) -> ShutdownPlan:
        """Fix the deadlines of the stop, by the settings in force at its signal.

        Parameters
        ----------
        told_at : float, optional
            When the signal came, by the host's clock; now if it isn't given.
        """
        if self._shutdown_plan is None:
            self._times.record_stop()
            shutdown_s = self._settings.bounds.get_shutdown_s()
            self._shutdown_plan = make_shutdown_plan(
                began_at=self._clock() if told_at is None else told_at,
                shutdown_s=shutdown_s,
            )
            self._leaving.set()
        return self._shutdown_plan

    def leave(self) -> None:
        """Finish the requests in progress, at most for the shutdown time, then stop."""
        plan = self._begin_leave()
        Shutdown(
            plan=plan,
            listener=self._caller_listener,
            refuse_due_after=self._relay.end_at,
            clock=self._clock,
        ).run()
        in_progress = self._caller_listener.count_busy()
        self._ledger.log_counts(in_progress)


def _read_max_descriptors() -> int:
    """Return how many descriptors the operating system allows this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def run_gateway(path: Path, *, told_to_stop_at: Sequence[float] = ()) -> int:
    """Run an entry host with the settings of a file; return the exit code.

    Parameters
    ----------
    told_to_stop_at : sequence of float, optional
        Times of SIGTERM while the modules loaded, by the monotonic clock; it grows
        until the host handles the signal.
    """
    settings = load_gateway_settings(path)
    handler = set_up_gateway_logs(host=settings.host.name, level=settings.log.level)
    supervisor = Supervisor(clock=time.monotonic)
    supervisor.start_loop("log_writes", handler.write_queued)
    supervisor.start_loop("log_drop_reports", handler.report_dropped)
    gateway = Gateway(
        settings=settings,
        path=path,
        count_dropped_entries=lambda: log_filter.dropped,
        supervisor=supervisor,
    )
    code = gateway.run(told_to_stop_at=told_to_stop_at)
    handler.flush_at_end()
    return code
