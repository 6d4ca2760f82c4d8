"""Disable single mechanisms, to show that the tests fail without them.

``SWITCH_OFF=NAME`` in the environment takes effect in pytest and, through
``python -m tests.lib.switched_host``, in host processes.
"""

import os
import sys


def ignore_bound():
    from rosemarystream._internal.decisions.admission import GroupAdmission

    GroupAdmission._limit_server = lambda self, context: context.pool.slots


def ignore_disputes():
    from rosemarystream._internal.decisions.ownership import Ownership

    def share(self, group, now):
        me = self._membership.me
        return float(self.owner(group, me.data_centre) == me.name)

    Ownership.share = share


def resume_from_start():
    from rosemarystream._internal.callers import exchange

    def number(work, attempt, turn, generated):
        return work._replace(request_id=f"{work.request_id}.{attempt}")

    exchange._number_attempt = number


def accept_any_frame():
    from rosemarystream._internal.backends import engine

    def check(*args):
        return None

    engine.check_event_order = check


def report_every_failure_as_not_run():
    from rosemarystream._internal.exceptions import ErrorKind
    from rosemarystream._internal.utils.http_exchange import ExchangeError

    ExchangeError.default_kind = ErrorKind.BACKEND_REFUSED


def skip_claims():
    from rosemarystream._internal.callers.claimed_calls import ClaimedCalls

    ClaimedCalls.call = lambda self, work, key: self._exchange.call(work)


def trust_unanswered_writes():
    from rosemarystream._internal.decisions.claims import ClaimShard
    from rosemarystream._internal.models.events import ObjectWritten

    def trust(self, now):
        if not self._written:
            return []
        event = ObjectWritten(None, (self._version or 0) + 1)
        return self.handle_written(event, now)

    ClaimShard.handle_failure = trust


def forget_recalls():
    from rosemarystream._internal.decisions.recalls import Recalls

    Recalls.find_recall = lambda self, server: None


def keep_recalls_local():
    from rosemarystream._internal.decisions.recalls import Recalls

    Recalls.digest = property(lambda self: 0)


def stop_without_draining():
    from rosemarystream._internal.host import HostProcess

    HostProcess.leave = lambda self: self._stopped.set()


def accept_older_configuration():
    from rosemarystream._internal.decisions.configuration import Configuration

    def learn(self, manifest):
        if manifest.generation == self.manifest.generation:
            return []
        self._pending = manifest
        return self._activate_or_fetch()

    Configuration._accept_manifest = learn


def write_unconditionally():
    from rosemarystream._internal.platform.client import PlatformClient

    write = PlatformClient.write

    def overwrite(self, kind, name, value, *, expected):
        current = self.read(kind, name).version
        return write(self, kind, name, value, expected=current)

    PlatformClient.write = overwrite


def act_without_lease():
    from rosemarystream._internal.decisions.leases import Lease

    Lease.holds = lambda self, now: True
    Lease.fence = property(lambda self: 1)


def serve_in_arrival_order():
    from rosemarystream._internal.decisions.queueing import RankScheduler

    def order(self):
        queues = {name: q for name, q in self._queues.items() if len(q)}
        return sorted(queues, key=lambda name: queues[name].peek().request_id)

    RankScheduler.order_ranks = order


def ignore_costs():
    from rosemarystream._internal.decisions.queueing import FairQueue

    def push_first(self, work):
        self._append(work._replace(workspace="everybody"))
        if self._size <= self._limit:
            return None
        from rosemarystream._internal.decisions.queueing import Dropped

        return Dropped(work=self._drop_from_largest())

    FairQueue.push = push_first


def ignore_load_bound():
    from rosemarystream._internal.decisions import placement

    placement.compute_load_bound = lambda loads, multiple: float("inf")


def repeat_without_budget():
    from rosemarystream._internal.decisions.retry_budget import RetryBudget

    RetryBudget.take = lambda self, now, *, hosts: True


def count_heard_hosts_only():
    from rosemarystream._internal.decisions.peer_table import PeerTable

    PeerTable.record_fleet_count = lambda self, hosts, now: None


def wait_to_be_contacted():
    from rosemarystream._internal.gateway.peering import Peering

    Peering._contact_lost_hosts = lambda self: None


def contact_whole_data_centres_only():
    from rosemarystream._internal.decisions.peer_table import PeerTable

    PeerTable.is_collector = lambda self, now: False


def take_no_keys_for_no_rule():
    from rosemarystream._internal.models.route import FleetConfiguration

    FleetConfiguration.requires_key = property(lambda self: bool(self.workspaces))


def watch_without_reserve():
    from rosemarystream._internal.decisions.store_freshness import WatchReserve

    WatchReserve.is_due = lambda self, kind, now: False


def drop_errors_of_writes():
    from rosemarystream._internal.utils.http_connection import ClientConnection

    ClientConnection._check_request_sent = lambda self, wait_s: None


def take_bytes_for_progress():
    from rosemarystream._internal.gateway.failover import Failover

    Failover.has_other = property(lambda self: False)


def retry_non_idempotent():
    from rosemarystream._internal.models.route import Route

    Route.is_repeatable = property(lambda self: True)


def refuse_unknown_outcomes():
    from rosemarystream._internal.exceptions import ErrorKind
    from rosemarystream._internal.gateway.attempt_sequence import AttemptSequence
    from rosemarystream._internal.gateway.request_errors import RequestEndedError

    def make_final_error(self, reason):
        return RequestEndedError(ErrorKind.NO_BACKEND, reason, retry_after_s=0.1)

    AttemptSequence.make_final_error = make_final_error


def take_statuses_for_statements():
    from rosemarystream._internal.platform.headers import AnswerHead

    AnswerHead.promises_not_run = False


def order_by_revision_alone():
    from rosemarystream._internal.platform.era_tracker import EraTracker

    EraTracker.read = lambda self, value: 0


def believe_copies():
    from rosemarystream._internal.decisions.store_era import StoreEra

    StoreEra.is_doubtful = lambda self, position: False
    StoreEra.may_be_missing = lambda self, position, now: False


def keep_leases_of_copies():
    from rosemarystream._internal.decisions.leases import Lease

    Lease._begin_era = lambda self, era, now: None


def accept_any_answer():
    from rosemarystream._internal.gateway import attempt

    decode = attempt.decode_answer

    def decode_without_checks(*head):
        return decode(*head)._replace(is_sealed=True, request_id="", is_encoded=False)

    attempt.decode_answer = decode_without_checks


def ignore_event_ids():
    from rosemarystream._internal.gateway import event_stream

    event_stream.find_event_id = lambda event: b""


def ignore_disconnects():
    from rosemarystream._internal.gateway.disconnect_watch import DisconnectWatch

    DisconnectWatch._on_readable = DisconnectWatch.stop


def keep_removed_servers():
    from rosemarystream._internal.decisions.replica import Replica

    Replica.accept_removal = lambda self, name, position: False
    accept = Replica.accept_endpoint

    def accept_ready(self, endpoint):
        from rosemarystream._internal.models.endpoint import ServerState

        return accept(self, endpoint._replace(state=ServerState.READY))

    Replica.accept_endpoint = accept_ready


def accept_any_version():
    from rosemarystream._internal.decisions.replica import Replica

    def accept(self, configuration, document):
        self.configuration, self.document = configuration, document
        return True

    Replica.accept_configuration = accept


def stop_gateway_without_draining():
    from rosemarystream._internal.gateway.process import Gateway

    Gateway.leave = Gateway.stop


def log_without_limit():
    from rosemarystream._internal.decisions.log_limits import LogRateLimiter

    LogRateLimiter.allow = lambda self, kind, limit, now: True


def send_every_prompt():
    from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks

    PromptBlocks.find_blocked = lambda self, parts, now: None


def send_without_permission():
    from rosemarystream._internal.gateway.limit_gate import LimitGate

    LimitGate.admit = lambda self, endpoint: True


def take_cold_servers_for_warm():
    from rosemarystream._internal.decisions.cold_servers import ColdServers

    ColdServers.is_cold = lambda self, server, now: False


def permit_when_alone():
    from rosemarystream._internal.decisions.peer_table import PeerTable

    PeerTable.measure_presence = lambda self, now: 1.0


def wait_for_overdue_answers():
    from rosemarystream._internal.gateway import store_watches

    store_watches.OVERDUE_AFTER_S = 60.0


def wait_long_for_servers():
    from rosemarystream._internal.gateway.server_watch import ServerWatch
    from rosemarystream._internal.gateway.store_watches import WATCH_TIMEOUT_S

    ServerWatch._choose_wait = lambda self: WATCH_TIMEOUT_S


def keep_pending_removals():
    from rosemarystream._internal.decisions.replica import Replica

    Replica._accept_lapse = lambda self, name, lapse: None


def pass_changes_on_without_lists():
    from rosemarystream._internal.decisions.replica import Replica

    select = Replica.select_delta

    def select_changes(self, position):
        return select(self, position)._replace(is_whole=False)

    Replica.select_delta = select_changes


def wait_for_silent_hosts():
    from rosemarystream._internal.decisions.pull_plan import _KindPulls

    may_begin = _KindPulls.may_begin

    def may_begin_alone(self, ip, now):
        return not self.active and may_begin(self, ip, now)

    _KindPulls.may_begin = may_begin_alone


def use_any_connection():
    from rosemarystream._internal.gateway.connection_pool import ConnectionPool

    take = ConnectionPool.take
    ConnectionPool.take = lambda self, endpoint, **uses: take(self, endpoint)


def hold_no_requests():
    from rosemarystream._internal.decisions.crash_holds import CrashHolds

    CrashHolds.find_held = lambda self, parts, now: None


def ignore_evacuations():
    from rosemarystream._internal.decisions.evacuations import Evacuations

    Evacuations.is_evacuated = lambda self, data_centre: False


def keep_evacuations_local():
    from rosemarystream._internal.decisions.evacuations import Evacuations

    Evacuations.accept_rows = lambda self, rows, *, source, now: False


def serve_without_evacuations():
    from rosemarystream._internal.gateway.evacuation_watch import EvacuationWatch

    EvacuationWatch.is_answered = lambda self: True


def send_once_connected():
    from rosemarystream._internal.gateway.attempt_sequence import AttemptSequence

    AttemptSequence.find_objection = lambda self, endpoint: ""


def send_after_pauses():
    from rosemarystream._internal.decisions.process_pauses import ProcessPauses

    ProcessPauses.measure_hold = lambda self, now: 0.0


def close_no_caller():
    from rosemarystream._internal.decisions.caller_budget import CallerBudget

    CallerBudget.choose_closed = lambda self, now: []


SWITCHES = {
    function.__name__: function
    for function in (
        ignore_bound,
        ignore_disputes,
        resume_from_start,
        accept_any_frame,
        report_every_failure_as_not_run,
        skip_claims,
        trust_unanswered_writes,
        forget_recalls,
        keep_recalls_local,
        stop_without_draining,
        accept_older_configuration,
        write_unconditionally,
        act_without_lease,
        serve_in_arrival_order,
        ignore_costs,
        ignore_load_bound,
        repeat_without_budget,
        count_heard_hosts_only,
        wait_to_be_contacted,
        take_bytes_for_progress,
        drop_errors_of_writes,
        watch_without_reserve,
        take_no_keys_for_no_rule,
        contact_whole_data_centres_only,
        retry_non_idempotent,
        refuse_unknown_outcomes,
        take_statuses_for_statements,
        order_by_revision_alone,
        believe_copies,
        keep_leases_of_copies,
        accept_any_answer,
        ignore_event_ids,
        ignore_disconnects,
        keep_removed_servers,
        accept_any_version,
        stop_gateway_without_draining,
        log_without_limit,
        send_every_prompt,
        wait_for_overdue_answers,
        wait_long_for_servers,
        send_without_permission,
        take_cold_servers_for_warm,
        permit_when_alone,
        keep_pending_removals,
        pass_changes_on_without_lists,
        wait_for_silent_hosts,
        use_any_connection,
        hold_no_requests,
        ignore_evacuations,
        keep_evacuations_local,
        serve_without_evacuations,
        send_once_connected,
        send_after_pauses,
        close_no_caller,
    )
}


def apply_switch():
    """Disable the mechanism that ``SWITCH_OFF`` names, if it is set."""
    name = os.environ.get("SWITCH_OFF")
    if name:
        SWITCHES[name]()
        print(f"switched off: {name}", file=sys.stderr)
