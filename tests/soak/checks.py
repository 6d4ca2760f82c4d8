"""Guarantees to callers and backend servers that hold under any fault."""

from typing import NamedTuple

from standins.backend_server import EVENTS, BackendServer
from tests.lib.entry_world import Reply
from tests.lib.ledger_checks import HostLog, list_log_problems

NOT_RUN_STATUSES = (408, 421, 429, 503)
AT_MOST_ONCE_KINDS = ("book", "brief")
STREAM_KINDS = ("chat", "brief")
# Idle time for which hosts keep a connection, less a tolerance.
CERTAINLY_OPEN_S = 1.3


class Exchange(NamedTuple):
    """A request and the reply that its caller got.

    Attributes
    ----------
    host : str
        Host that it was sent to.
    connected_at, ended_at : float
        When its connection was opened, and its reply ended, by the monotonic clock.
    idle_s : float
        Time for which its caller had left the connection idle.
    """

    request_id: str
    kind: str
    reply: Reply
    host: str
    connected_at: float
    idle_s: float
    ended_at: float


class Ending(NamedTuple):
    """A host that was killed or told to stop, between two times."""

    host: str
    begun_at: float
    gone_at: float

    def explains(self, exchange: Exchange) -> bool:
        """Return whether the exchange may have met it."""
        begun_before = self.begun_at <= exchange.ended_at
        return self.host == exchange.host and (
            begun_before and self.gone_at >= exchange.connected_at
        )


def count_runs(servers: list[BackendServer]) -> dict[str, list[str]]:
    """Return the names of the servers that ran each request, by request id."""
    runs: dict[str, list[str]] = {}
    for server in servers:
        for run in server.runs:
            runs.setdefault(run.request_id, []).append(server.name)
    return runs


def list_violations(
    exchanges: list[Exchange], sent: set[str], servers: list[BackendServer]
) -> list[str]:
    """Return a description of every violated guarantee."""
    runs = count_runs(servers)
    violations = [
        f"{name} ran, but no caller sent it" for name in runs if name not in sent
    ]
    for server in servers:
        for run in server.runs:
            if run.headers.get(b"x-rosemarystream-tenant") != b"w1":
                violations.append(f"{run.request_id} ran for another workspace")
            if b"api-key" in run.headers:
                violations.append(f"{run.request_id} reached a server with its API key")
    for exchange in exchanges:
        violations += _check(exchange, runs.get(exchange.request_id, []))
    return violations


def _check(exchange: Exchange, runs: list[str]) -> list[str]:
    name, kind, reply = exchange[:3]
    violations = []
    if kind in AT_MOST_ONCE_KINDS and len(runs) > 1:
        violations.append(f"{name} ({kind}) ran {len(runs)} times, at {runs}")
    if kind in AT_MOST_ONCE_KINDS and reply.status in NOT_RUN_STATUSES and runs:
        violations.append(f"{name} ({kind}) was refused with {reply.status} and ran")
    if reply.status in (401, 404):
        violations.append(f"{name} ({kind}) was denied with {reply.status}")
    if reply.status == 200 and kind in STREAM_KINDS:
        violations += _check_stream(name, reply)
    elif reply.status == 200 and reply.complete:
        servers = {f"done by {server}".encode() for server in runs}
        if reply.body not in servers:
            violations.append(
                f"{name} got {reply.body!r}, which no server that ran it sent"
            )
    return violations


def _check_stream(name: str, reply: Reply) -> list[str]:
    numbers = [
        int(line[4:])
        for line in reply.body.decode().splitlines()
        if line.startswith("id: ")
    ]
    if numbers != [*range(1, len(numbers) + 1)]:
        return [f"{name} got events {numbers}"]
    if reply.complete and len(numbers) != EVENTS:
        return [f"{name} ended as complete after {len(numbers)} events"]
    return []


def list_ledger_violations(
    exchanges: list[Exchange], endings: list[Ending], logs: dict[str, HostLog]
) -> list[str]:
    """Return where the ledgers of hosts and the lists of their callers differ."""
    replies = {exchange.request_id: exchange.reply for exchange in exchanges}
    violations = []
    for name, log in logs.items():
        causes = {"server_broke_off", "timed_out", "caller_gone"}
        if any(ending.host == name for ending in endings):
            causes.add("host_stopped")
        violations += [f"{name}: {x}" for x in list_log_problems(log, replies, causes)]
    for exchange in exchanges:
        log = logs[exchange.host]
        if exchange.reply.complete or exchange.request_id in log.unanswered:
            continue
        # The host may have closed a connection that its caller left idle for so long.
        if exchange.idle_s > CERTAINLY_OPEN_S:
            continue
        if log.left_out or any(ending.explains(exchange) for ending in endings):
            continue
        violations.append(
            f"{exchange.request_id} ({exchange.kind}) got no whole answer of "
            f"{exchange.host}, which has no entry of that"
        )
    return violations
