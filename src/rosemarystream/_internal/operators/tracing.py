"""What the logs of all hosts tell of one request."""

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
from rosemarystream._internal.models.log_entries import (
    LOG_ENTRIES,
    AttemptBroken,
    AttemptNotRun,
    LogEntriesDropped,
    LogEntry,
    RequestEnded,
    ServersNotReturned,
    ServicesUnreachable,
    StoreLost,
)

log = Logger(__name__)

# Time before and after a request from which lines of its host are shown too.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0
# Kinds of lines that explain a request though they don't name it.
CONTEXT_MESSAGES = frozenset(
    {
        "start",
        "leaving",
        "stop",
        "settings reloaded",
        "configuration in force",
        "store lost",
        "store regained",
        "services out of reach",
        "servers did not come back",
        "lines left out",
    }
)

EXECUTION_TEXT = {
    Execution.NOT_RUN: "it has not run and never will",
    Execution.RAN: "it has run",
    Execution.UNKNOWN: "it may have run",
}


class LoggedEntry(NamedTuple):
    """A line of a log, decoded.

    Attributes
    ----------
    time : str
        Time of day by the clock of its host.
    raw : dict
        All of it, as it was written.
    """

    time: str
    host: str
    message: str
    raw: dict[str, Any]

    @property
    def entry(self) -> LogEntry | None:
        """Its fields, if its kind is known to this version of the program."""
        kind = LOG_ENTRIES.get(self.message)
        try:
            return None if kind is None else msgspec.convert(self.raw, kind)
        except msgspec.ValidationError as error:
            log.debug("a line of another version is shown as it is: {}", error)
            return None

    @property
    def request(self) -> str | None:
        """Identifier of the request the line is about, if it is about one."""
        return self.raw.get("request")


class Trace(NamedTuple):
    """A request as told by the logs.

    Attributes
    ----------
    summary : str
        One sentence on what happened.
    entries : list of LoggedEntry
        Lines of the request, in the order of time.
    context : list of LoggedEntry
        What its hosts noted shortly before and meanwhile, that may explain it.
    """

    request: str
    summary: str
    entries: list[LoggedEntry]
    context: list[LoggedEntry]


def trace_request(request: str, paths: Sequence[Path]) -> Trace:
    """Find a request in the logs of any number of hosts.

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
    """Return the lines of log files; what isn't a log line is passed over.

    Text before the first brace, as collectors of logs put there, is ignored.
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
            log.debug("{}: {} lines are no log lines", path, skipped)


def decode_entry(data: bytes) -> LoggedEntry | None:
    """Return a line of a log, or None if it is none."""
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
    """Return a sentence on what happened to a request."""
    ended = next((x for x in entries if isinstance(x.entry, RequestEnded)), None)
    if ended is None:
        return _summarize_unended(request, entries)
    entry = ended.entry
    parts = [_describe_end(ended.host, entry), *_describe_attempts(entries)]
    if entry.reason and not any(entry.reason in part for part in parts):
        parts.append(f"the reason given: {entry.reason}")
    if entry.outcome != "answered":
        parts += _describe_context(context)
    return "; ".join(parts) + "."


def _summarize_unended(request: str, entries: Sequence[LoggedEntry]) -> str:
    if entries:
        return (
            f"Request {request} had attempts and no end in these logs: its host "
            "stopped meanwhile, or its lines were left out; look for 'stop' and "
            "'lines left out' there."
        )
    return (
        f"No line of request {request}: name the logs of all hosts; if they are "
        "complete, look for 'request refused unread' and 'lines left out'."
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
        text += f"; the records of {entry.server} tell"
    return text


def _describe_attempts(entries: Sequence[LoggedEntry]) -> list[str]:
    findings = []
    for logged in entries:
        entry = logged.entry
        if isinstance(entry, AttemptNotRun):
            how = "turned it away" if entry.sent else "could not be reached"
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
        elif isinstance(entry, ServicesUnreachable) and entry.services:
            names = ", ".join(entry.services)
            findings.append(f"{logged.host} could reach no server of {names}")
        elif isinstance(entry, ServersNotReturned):
            names = ", ".join(entry.servers)
            findings.append(f"{names} had not come back after an outage of the store")
        elif isinstance(entry, LogEntriesDropped):
            findings.append(f"{logged.host} left out log lines ({entry.why})")
        elif logged.message == "leaving":
            findings.append(f"{logged.host} was told to stop at {logged.time}")
    return list(dict.fromkeys(findings))
