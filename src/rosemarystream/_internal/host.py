"""Assembles the services of a host into one process and runs it."""

import signal
from typing import Any
from uuid import uuid4

import falcon
import gevent
import gevent.event
import msgspec
from gevent.pywsgi import WSGIServer
from logbook import Logger

from rosemarystream._internal.backends.engine import EngineTimeouts
from rosemarystream._internal.backends.orders import OrderSender
from rosemarystream._internal.backends.poller import ServerPoller
from rosemarystream._internal.backends.runner import WorkRunner
from rosemarystream._internal.callers.app import CallerApi, make_caller_app
from rosemarystream._internal.callers.claimed_calls import ClaimedCalls, ClaimTimes
from rosemarystream._internal.callers.exchange import EntryExchange
from rosemarystream._internal.callers.request_parser import CallerLimits, RequestParser
from rosemarystream._internal.decisions.assembly import (
    DecisionOptions,
    DecisionServices,
)
from rosemarystream._internal.decisions.membership import MembershipTimes
from rosemarystream._internal.decisions.workspace_retry_budget import (
    WorkspaceRetryBudget,
)
from rosemarystream._internal.http_server import make_http_server
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.metrics import Metrics
from rosemarystream._internal.models.server import EntryHost, PollTarget
from rosemarystream._internal.operators.administration import Administration
from rosemarystream._internal.operators.app import OperatorAccess, make_operator_app
from rosemarystream._internal.operators.publisher import Publisher
from rosemarystream._internal.peers.hop import make_hop_app
from rosemarystream._internal.peers.transport import PeerTransport
from rosemarystream._internal.platform.call_runner import PlatformCallRunner
from rosemarystream._internal.platform.client import PlatformClient
from rosemarystream._internal.platform.recall_keeper import RecallKeeper
from rosemarystream._internal.platform.watcher import PlatformWatcher
from rosemarystream._internal.settings import Settings
from rosemarystream._internal.utils.address import split_address
from rosemarystream._internal.utils.clock import Clock

log = Logger(__name__)

MAX_LOOP_PAUSE_SECONDS = 1.0
MIN_LOOP_PAUSE_SECONDS = 0.002
DRAIN_CHECK_SECONDS = 0.05
LEAVE_NOTICE_SECONDS = 1.0


class HostProcess:
    """Process of one entry host: builds its services and runs them.

    Parameters
    ----------
    settings : Settings
        Validated settings of the host.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._clock = Clock()
        now = self._clock.now
        host = settings.host
        self.me = EntryHost(
            name=host["name"],
            incarnation=int(now() * 1000),
            data_centre=host["data_centre"],
            region=host["region"],
            peer_address=host.get("advertised_peer_address", host["peer_address"]),
            hop_address=host.get("advertised_hop_address", host["hop_address"]),
        )
        self._wake = gevent.event.Event()
        self.kernel = Kernel(on_change=self._wake.set)
        statsd = settings.observation.get("statsd_address")
        self.metrics = Metrics(
            address=split_address(statsd) if statsd else None, host=self.me.name
        )
        self.decisions = DecisionServices(
            kernel=self.kernel, me=self.me, options=self._make_options()
        )
        self._build_io_services()
        self._servers: list[WSGIServer] = []
        self._loop: gevent.Greenlet | None = None
        self._stopped = gevent.event.Event()

    def _make_options(self) -> DecisionOptions:
        settings = self._settings
        peers = settings.peers
        return DecisionOptions(
            seeds=tuple(peers["seeds"]),
            times=MembershipTimes(
                heartbeat=peers["heartbeat_ms"] / 1000,
                suspect=peers["suspect_ms"] / 1000,
                takeover=peers["takeover_ms"] / 1000,
                remove=peers["remove_ms"] / 1000,
            ),
            remote_bytes=peers["remote_bytes_per_second"],
            queue_limit=settings.limits["queue_requests"],
            claim_shards=settings.claims["shards"],
            claim_batch_seconds=settings.claims["group_ms"] / 1000,
            lease_span=settings.control["lease_ms"] / 1000,
            order_flight=settings.control["order_flight_ms"] / 1000,
        )

    def _build_io_services(self) -> None:
        now = self._clock.now
        settings = self._settings
        limits = settings.limits
        timeouts = EngineTimeouts(
            first_token=limits["first_token_ms"] / 1000,
            between_tokens=limits["between_tokens_ms"] / 1000,
        )
        self.client = PlatformClient(
            address=settings.platform["address"],
            timeout=settings.platform["timeout_ms"] / 1000,
            clock=now,
        )
        self.watcher = PlatformWatcher(
            kernel=self.kernel,
            client=self.client,
            membership=self.decisions.membership,
            configuration=self.decisions.configuration,
            watchers=settings.platform["watchers"],
            wait=settings.platform["watch_ms"] / 1000,
            hosts_interval=settings.platform["hosts_interval_ms"] / 1000,
            clock=now,
        )
        self.transport = PeerTransport(
            kernel=self.kernel,
            membership=self.decisions.membership,
            bind_address=settings.host["peer_address"],
            metrics=self.metrics,
            clock=now,
        )
        self.runner = WorkRunner(
            kernel=self.kernel,
            dispatching=self.decisions.dispatching,
            routing=self.decisions.routing,
            configuration=self.decisions.configuration,
            timeouts=timeouts,
            clock=now,
        )
        self.orders = OrderSender(
            kernel=self.kernel,
            reconciliation=self.decisions.reconciliation,
            routing=self.decisions.routing,
            flight=settings.control["order_flight_ms"] / 1000,
            clock=now,
        )
        self.poller = ServerPoller(
            kernel=self.kernel,
            list_servers=self._list_servers_to_poll,
            interval=limits["poll_ms"] / 1000,
            budget=limits["poll_bytes_per_second"],
            clock=now,
        )
        self.exchange = EntryExchange(
            membership=self.decisions.membership,
            routing=self.decisions.routing,
            loads=self.decisions.loads,
            runner=self.runner,
            budget=WorkspaceRetryBudget(ratio=limits["retry_ratio"]),
            timeouts=timeouts,
            metrics=self.metrics,
            clock=now,
        )
        self.claimed_calls = ClaimedCalls(
            kernel=self.kernel,
            claims=self.decisions.claims,
            exchange=self.exchange,
            times=ClaimTimes(
                wait=settings.claims["wait_ms"] / 1000,
                retain=settings.claims["retain_ms"] / 1000,
            ),
            answer_bytes=settings.claims["answer_bytes"],
            clock=now,
        )
        self.platform_caller = PlatformCallRunner(
            kernel=self.kernel, client=self.client, clock=now
        )
        self.publisher = Publisher(client=self.client, make_id=_make_id)
        self.recall_keeper = RecallKeeper(
            kernel=self.kernel,
            membership=self.decisions.membership,
            recalls=self.decisions.recalls,
            publisher=self.publisher,
            clock=now,
        )
        self._register_services()
        self._build_caller_api()

    def _list_servers_to_poll(self, now: float) -> list[PollTarget]:
        controlled = self.decisions.reconciliation.servers_to_poll(now)
        return controlled + self.decisions.dispatching.servers_to_poll(now)

    def _register_services(self) -> None:
        for service in (
            self.runner,
            self.exchange,
            self.claimed_calls,
            self.platform_caller,
            self.orders,
            self.transport,
            self.poller,
            self.watcher,
            self.recall_keeper,
        ):
            self.kernel.register(service)

    def _build_caller_api(self) -> None:
        limits = self._settings.limits
        caller_limits = CallerLimits(
            body_bytes=limits["body_bytes"],
            max_tokens=limits["max_tokens"],
            max_deadline=limits["max_deadline_ms"] / 1000,
            default_deadline=limits["default_deadline_ms"] / 1000,
            body_timeout=limits["slow_sender_ms"] / 1000,
            open_requests=limits["open_requests"],
        )
        parser = RequestParser(
            configuration=self.decisions.configuration,
            limits=caller_limits,
            clock=self._clock.now,
        )
        self.administration = Administration(
            kernel=self.kernel,
            configuration=self.decisions.configuration,
            recalls=self.decisions.recalls,
            publisher=self.publisher,
            make_id=_make_id,
            clock=self._clock.now,
        )
        self.caller_api = CallerApi(
            parser=parser,
            exchange=self.exchange,
            claimed_calls=self.claimed_calls,
            limits=caller_limits,
            metrics=self.metrics,
            clock=self._clock.now,
        )

    def is_ready(self) -> bool:
        """Return whether the host can serve callers.

        It needs a configuration, a host list, and agreement with its peers on
        which host owns which server group.
        """
        return (
            self.decisions.configuration.generation > 0
            and self.decisions.configuration.hosts_version > 0
            and self.decisions.ownership.has_converged(self._clock.now())
        )

    def run(self) -> int:
        """Serve until the host has left; return the exit code.

        Returns
        -------
        int
            0, or 1 if requests were cut off at the end of the drain time.
        """
        self._start()
        self._stopped.wait()
        return self._shut_down()

    def _start(self) -> None:
        host = self._settings.host
        now = self._clock.now
        # The caller address opens last, so that a host that callers can reach
        # also answers on all its other addresses.
        self._servers = [
            make_http_server(host["operator_address"], self._make_operator_app()),
            make_http_server(host["hop_address"], make_hop_app(self.runner, now)),
            make_http_server(
                host["caller_address"], make_caller_app(self.caller_api, self.is_ready)
            ),
        ]
        self.kernel.start()
        for server in self._servers:
            server.start()
        self._loop = gevent.spawn(self._run_timers)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self.leave)
        gevent.signal_handler(signal.SIGUSR1, self._log_dump)
        log.info("started", extra={"incarnation": self.me.incarnation})

    def _make_operator_app(self) -> falcon.App:
        return make_operator_app(
            operators=OperatorAccess(sections=self._settings.operators),
            administration=self.administration,
            dump=self.dump,
            leave=self.leave,
        )

    def _run_timers(self) -> None:
        while True:
            now = self._clock.now()
            self.kernel.expire(now)
            self._wake.clear()
            deadline = self.kernel.next_deadline()
            wait = MAX_LOOP_PAUSE_SECONDS if deadline is None else deadline - now
            self._wake.wait(min(MAX_LOOP_PAUSE_SECONDS, wait))
            # Events come in bursts; after this pause one pass serves a whole burst.
            gevent.sleep(MIN_LOOP_PAUSE_SECONDS)

    def leave(self) -> None:
        """Refuse new requests, finish those in progress, then end the process.

        Waits for them until `limits.drain_ms` has passed. Further calls have no
        effect.
        """
        if self.caller_api.leaving:
            return
        log.info("leaving")
        self.caller_api.leaving = True
        self.kernel.post(self.decisions.membership.set_leaving(), self._clock.now())
        gevent.spawn(self._wait_until_drained)

    def _wait_until_drained(self) -> None:
        now = self._clock.now
        deadline = now() + self._settings.limits["drain_ms"] / 1000
        gevent.sleep(LEAVE_NOTICE_SECONDS)
        while now() < deadline and self._has_work():
            gevent.sleep(DRAIN_CHECK_SECONDS)
        self._stopped.set()

    def _has_work(self) -> bool:
        return self.exchange.open_requests > 0 or self.runner.has_work()

    def _shut_down(self) -> int:
        cut_off = self._has_work()
        if cut_off:
            log.error("requests were cut off at the end of the drain time")
        for server in self._servers:
            server.stop(timeout=LEAVE_NOTICE_SECONDS)
        if self._loop is not None:
            self._loop.kill()
        self.kernel.stop()
        log.info("stopped")
        return 1 if cut_off else 0

    def dump(self) -> dict[str, Any]:
        """Return the state of the host and of all its services."""
        return {
            "host": self.me._asdict(),
            "ready": self.is_ready(),
            "leaving": self.caller_api.leaving,
            "metrics": self.metrics.dump(),
            **self.kernel.dump(),
        }

    def _log_dump(self) -> None:
        log.info("state dump", extra={"state": msgspec.json.encode(self.dump())})


def _make_id() -> str:
    return uuid4().hex
