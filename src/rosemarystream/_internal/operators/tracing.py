"""Reconstructs what happened to a request from the logs of all hosts."""

from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from logbook import Logger

from rosemarystream._internal.exceptions import (
    ANSWERS,
    ErrorKind,
    Execution,
    RequestError,
)
from rosemarystream._internal.models.endings import EndingCause
from rosemarystream._internal.models.log_entries.base import LogEntry
from rosemarystream._internal.models.log_entries.catalogue import LOG_ENTRIES
from rosemarystream._internal.models.log_entries.endings import RequestUnanswered
from rosemarystream._internal.models.log_entries.process import (
    HostDelayed,
    LogEntriesDropped,
)
from rosemarystream._internal.models.log_entries.requests import (
    AttemptBroken,
    AttemptNotRun,
    RequestEnded,
)
from rosemarystream._internal.models.log_entries.servers import (
    ServersNotReturned,
    ServicesUnreachable,
)
from rosemarystream._internal.models.log_entries.store import StoreLost

log = Logger(__name__)

# Seconds before and after a request from which other records of its hosts are
# shown too.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0
# Messages of records that may explain a request without naming it.
CONTEXT_MESSAGES = frozenset(
    {
        "start",
        "leaving",
        "stop",
        "settings reloaded",
        "configuration in force",
        "store lost",
        "store regained",
        "services unreachable",
        "servers did not come back",
        "evacuation begun",
        "evacuation ended",
        "log entries dropped",
        "requests unbalanced",
        "this host was late",
    }
)

CAUSE_TEXT = {
    EndingCause.SERVER_BROKE_OFF: "its server broke the answer off",
    EndingCause.TIMED_OUT: "its time was over within the answer",
    EndingCause.CALLER_GONE: "its caller left, or took nothing in",
    EndingCause.HOST_STOPPED: "the host stopped",
    EndingCause.CONNECTION_CLOSED: (
        "it was sent together with an earlier request, whose answer was the last on "
        "the connection; it was not handled"
    ),
    EndingCause.ERROR: "an error in the host; look for 'unexpected error'",
}

EXECUTION_TEXT = {
    Execution.NOT_RUN: "it has not run and never will",
    Execution.RAN: "it has run",
    Execution.UNKNOWN: "it may have run",
}


class LoggedEntry(NamedTuple):
    """Record read from a log file.

    Attributes
    ----------
    time : str
        Date and time by the clock of its host, in ISO 8601.
    raw : dict
        The whole record as it was written.
    """

    time: str
    host: str
    message: str
    raw: dict[str, Any]

    @property
    def entry(self) -> LogEntry | None:
        """Fields of the record, or None if this version does not know its kind."""
        kind = LOG_ENTRIES.get(self.message)
        try:
            return None if kind is None else msgspec.convert(self.raw, kind)
        except msgspec.ValidationError as error:
            log.debug("a log record of another version is shown as it is: {}", error)
            return None

    @property
    def request(self) -> str | None:
        """Identifier of the request that the record names, if any."""
        return self.raw.get("request")


class Trace(NamedTuple):
    """Trace of a request through the logs.

    Attributes
    ----------
    summary : str
        What happened, in one sentence.
    entries : list of LoggedEntry
        Records of the request, ordered by time.
    context : list of LoggedEntry
        Records of the same hosts from shortly before and during the request that
        may explain it.
    """

    request: str
    summary: str
    entries: list[LoggedEntry]
    context: list[LoggedEntry]


def trace_request(request: str, paths: Sequence[Path]) -> Trace:
    """Trace a request through the logs of any number of hosts.

    Raises
    ------
    RequestError
        If a file can't be read.
    """
    entries = [entry for entry in read_entries(paths) if entry.request == request]
    entries.sort(key=lambda entry: entry.time)
    context = _find_context(entries, paths) if entries else []
    return Trace(request, summarize(request, entries, context), entries, context)


def read_entries(paths: Iterable[Path]) -> Iterator[LoggedEntry]:
    """Yield the records of log files; other lines are skipped.

    Text before the first brace of a line, which log collectors may add, is ignored.

    Raises
    ------
    RequestError
        If a file can't be read.
    """
    for path in paths:
        skipped = 0
        try:
            with path.open("rb") as file:
                for data in file:
                    entry = decode_entry(data)
                    if entry is None:
                        skipped += 1
                    else:
                        yield entry
        except OSError as error:
            raise RequestError(
                f"{path}: can't be read ({error.strerror}); name existing log files"
            ) from error
        if skipped:
            log.debug("{}: skipped {} lines that are not log records", path, skipped)


def decode_entry(data: bytes) -> LoggedEntry | None:
    """Decode a line of a log file; return None if it is not a log record."""
    start = data.find(b"{")
    if start < 0:
        return None
    try:
        raw = msgspec.json.decode(data[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(raw, dict) or not {"time", "host", "message"} <= raw.keys():
        return None
    return LoggedEntry(raw["time"], raw["host"], raw["message"], raw)


def _find_context(
    entries: Sequence[LoggedEntry], paths: Sequence[Path]
) -> list[LoggedEntry]:
    hosts = {entry.host for entry in entries}
    servers = {entry.raw.get("server") for entry in entries}
    servers.update(*(entry.raw.get("tried", ()) for entry in entries))
    begin, end = _find_time_range(entries)
    found = [
        entry
        for entry in read_entries(paths)
        if entry.host in hosts
        and begin <= entry.time <= end
        and entry.request is None
        and (entry.message in CONTEXT_MESSAGES or entry.raw.get("server") in servers)
    ]
    return sorted(found, key=lambda entry: entry.time)


def _find_time_range(entries: Sequence[LoggedEntry]) -> tuple[str, str]:
    took_ms = max(entry.raw.get("ms", 0.0) for entry in entries)
    begin = datetime.fromisoformat(entries[0].time) - timedelta(milliseconds=took_ms)
    end = datetime.fromisoformat(entries[-1].time) + timedelta(seconds=CONTEXT_AFTER_S)
    begin -= timedelta(seconds=CONTEXT_BEFORE_S)
    return tuple(x.isoformat(timespec="milliseconds") for x in (begin, end))


def summarize(
    request: str, entries: Sequence[LoggedEntry], context: Sequence[LoggedEntry]
) -> str:
    """Return a sentence that says what happened to a request."""
    ended = _find(entries, RequestEnded)
    unanswered = _find(entries, RequestUnanswered)
    if ended is None and unanswered is None:
        return _summarize_unended(request, entries)
    if ended is None:
        return f"{_describe_unanswered(unanswered.host, unanswered.entry)}."
    entry = ended.entry
    parts = [_describe_end(ended.host, entry), *_describe_attempts(entries)]
    if unanswered is not None:
        parts.append(_describe_unanswered(unanswered.host, unanswered.entry))
    if entry.reason and not any(entry.reason in part for part in parts):
        parts.append(f"the reason given: {entry.reason}")
    if entry.outcome != "answered":
        parts += _describe_context(context)
    return "; ".join(parts) + "."


def _find(entries: Sequence[LoggedEntry], kind: type[LogEntry]) -> LoggedEntry | None:
    return next((x for x in entries if isinstance(x.entry, kind)), None)


def _describe_unanswered(host: str, entry: RequestUnanswered) -> str:
    """Return why a request had no whole answer, and what changed beside it."""
    text = (
        f"{host} ended it without a whole answer ({entry.progress} was sent): "
        f"{CAUSE_TEXT[entry.cause]}"
    )
    if entry.server:
        text += f"; the last act of {entry.server}: {entry.server_act}"
    if entry.version != entry.version_at_start:
        text += (
            f"; the configuration changed meanwhile from {entry.version_at_start} to "
            f"{entry.version}"
        )
    changes = {
        "the configuration": entry.configuration_ms,
        "SIGHUP": entry.reload_ms,
        "SIGTERM": entry.stop_ms,
    }
    for what, age_ms in changes.items():
        if age_ms is not None and age_ms <= entry.ms + CONTEXT_BEFORE_S * 1000:
            text += f"; {what} came {age_ms} ms before the end"
    return (
        f"{text}; it was request {entry.connection_requests} of a connection that was "
        f"{entry.connection_ms} ms old"
    )


def _summarize_unended(request: str, entries: Sequence[LoggedEntry]) -> str:
    if entries:
        return (
            f"Request {request} had attempts and no end in these logs: its host "
            "stopped meanwhile, or its entries were dropped; look for 'stop' and "
            "'log entries dropped' there."
        )
    return (
        f"No line of request {request}: name the logs of all hosts; if they are "
        "complete, look for 'request refused unread' and 'log entries dropped'."
    )


def _describe_end(host: str, entry: RequestEnded) -> str:
    target = f"{entry.route or 'no route'}, {entry.service or 'no service'}"
    received = f"{host} got request {entry.request} ({target})"
    after = f"after {entry.ms} ms"
    if entry.outcome == "answered":
        return (
            f"{received} and passed on the answer {entry.status} of {entry.server} "
            f"{after}"
        )
    if entry.outcome == "failed":
        return (
            f"{received} and passed on the failure {entry.status} of a server {after}"
        )
    if entry.outcome == "gone":
        return f"{received}; its caller left {after}"
    ended = f"ended it as {entry.outcome}, status {entry.status}, {after}"
    return f"{received} and {ended}: {_describe_execution(entry)}"


def _describe_execution(entry: RequestEnded) -> str:
    try:
        execution = ANSWERS[ErrorKind(entry.outcome)].execution
    except ValueError:
        return "an outcome this version does not know"
    text = EXECUTION_TEXT[execution]
    if execution is Execution.UNKNOWN and entry.server:
        text += f"; the records of {entry.server} show whether it did"
    return text


def _describe_attempts(entries: Sequence[LoggedEntry]) -> list[str]:
    findings = []
    for logged in entries:
        entry = logged.entry
        if isinstance(entry, AttemptNotRun):
            how = "turned it away" if entry.sent else "could not be reached"
            how = "was not sent the request" if entry.withheld else how
            findings.append(f"{entry.server} {how} ({entry.reason})")
        elif isinstance(entry, AttemptBroken):
            findings.append(f"the answer of {entry.server} broke off ({entry.reason})")
    return findings


def _describe_context(context: Sequence[LoggedEntry]) -> list[str]:
    findings = []
    for logged in context:
        entry = logged.entry
        if isinstance(entry, StoreLost):
            findings.append(f"{logged.host} had lost the store at {logged.time}")
        elif isinstance(entry, HostDelayed):
            findings.append(
                f"{logged.host} was late by {entry.late_ms} ms at {logged.time}"
            )
        elif isinstance(entry, ServicesUnreachable) and entry.services:
            names = ", ".join(entry.services)
            findings.append(f"{logged.host} could reach no server of {names}")
        elif isinstance(entry, ServersNotReturned):
            names = ", ".join(entry.servers)
            findings.append(f"{names} had not come back after an outage of the store")
        elif isinstance(entry, LogEntriesDropped):
            findings.append(f"{logged.host} dropped log entries ({entry.why})")
        elif logged.message == "leaving":
            findings.append(f"{logged.host} was asked to stop at {logged.time}")
    return list(dict.fromkeys(findings))
