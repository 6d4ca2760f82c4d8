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
BEFORE_S = 5.0
AFTER_S = 1.0
# Kinds of lines that explain a request though they don't name it.
CONTEXT_KINDS = frozenset(
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


class LoggedLine(NamedTuple):
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
    def line(self) -> LogEntry | None:
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
    lines : list of LoggedLine
        Lines of the request, in the order of time.
    context : list of LoggedLine
        What its hosts noted shortly before and meanwhile, that may explain it.
    """

    request: str
    summary: str
    lines: list[LoggedLine]
    context: list[LoggedLine]


def trace_request(request: str, paths: Sequence[Path]) -> Trace:
    """Find a request in the logs of any number of hosts.

    Raises
    ------
    RequestError
        If a file can't be read.
    """
    lines = [line for line in read_lines(paths) if line.request == request]
    lines.sort(key=lambda line: line.time)
    context = _find_context(lines, paths) if lines else []
    return Trace(request, summarize(request, lines, context), lines, context)


def read_lines(paths: Iterable[Path]) -> Iterator[LoggedLine]:
    """Return the lines of log files; what isn't a log line is passed over.

    Text before the first brace, as collectors of logs put there, is ignored.
    """
    for path in paths:
        passed_over = 0
        try:
            with path.open("rb") as file:
                for data in file:
                    line = decode_line(data)
                    if line is None:
                        passed_over += 1
                    else:
                        yield line
        except OSError as error:
            raise RequestError(
                f"{path}: can't be read ({error.strerror}); name existing log files"
            ) from error
        if passed_over:
            log.debug("{}: {} lines are no log lines", path, passed_over)


def decode_line(data: bytes) -> LoggedLine | None:
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
    return LoggedLine(raw["time"], raw["host"], raw["message"], raw)


def _find_context(
    lines: Sequence[LoggedLine], paths: Sequence[Path]
) -> list[LoggedLine]:
    hosts = {line.host for line in lines}
    servers = {line.raw.get("server") for line in lines}
    servers.update(*(line.raw.get("tried", ()) for line in lines))
    begin, end = _find_span(lines)
    found = [
        line
        for line in read_lines(paths)
        if line.host in hosts
        and begin <= line.time <= end
        and line.request is None
        and (line.message in CONTEXT_KINDS or line.raw.get("server") in servers)
    ]
    return sorted(found, key=lambda line: line.time)


def _find_span(lines: Sequence[LoggedLine]) -> tuple[str, str]:
    took_ms = max(line.raw.get("ms", 0.0) for line in lines)
    begin = datetime.fromisoformat(lines[0].time) - timedelta(milliseconds=took_ms)
    end = datetime.fromisoformat(lines[-1].time) + timedelta(seconds=AFTER_S)
    begin -= timedelta(seconds=BEFORE_S)
    return tuple(x.isoformat(timespec="milliseconds") for x in (begin, end))


def summarize(
    request: str, lines: Sequence[LoggedLine], context: Sequence[LoggedLine]
) -> str:
    """Return a sentence on what happened to a request."""
    ended = next((x for x in lines if isinstance(x.line, RequestEnded)), None)
    if ended is None:
        return _summarize_unended(request, lines)
    line = ended.line
    parts = [_tell_end(ended.host, line), *_tell_attempts(lines)]
    if line.reason and not any(line.reason in part for part in parts):
        parts.append(f"the reason given: {line.reason}")
    if line.outcome != "answered":
        parts += _tell_context(context)
    return "; ".join(parts) + "."


def _summarize_unended(request: str, lines: Sequence[LoggedLine]) -> str:
    if lines:
        return (
            f"Request {request} had attempts and no end in these logs: its host "
            "stopped meanwhile, or its lines were left out; look for 'stop' and "
            "'lines left out' there."
        )
    return (
        f"No line of request {request}: name the logs of all hosts; if they are "
        "complete, look for 'request refused unread' and 'lines left out'."
    )


def _tell_end(host: str, line: RequestEnded) -> str:
    target = f"{line.route or 'no route'}, {line.service or 'no service'}"
    begun = f"{host} got request {line.request} ({target})"
    after = f"after {line.ms} ms"
    if line.outcome == "answered":
        return (
            f"{begun} and passed on the answer {line.status} of {line.server} {after}"
        )
    if line.outcome == "failed":
        return f"{begun} and passed on the failure {line.status} of a server {after}"
    if line.outcome == "gone":
        return f"{begun}; its caller left {after}"
    ended = f"ended it as {line.outcome}, status {line.status}, {after}"
    return f"{begun} and {ended}: {_tell_execution(line)}"


def _tell_execution(line: RequestEnded) -> str:
    try:
        execution = ANSWERS[ErrorKind(line.outcome)].execution
    except ValueError:
        return "an outcome this version does not know"
    text = EXECUTION_TEXT[execution]
    if execution is Execution.UNKNOWN and line.server:
        text += f"; the records of {line.server} tell"
    return text


def _tell_attempts(lines: Sequence[LoggedLine]) -> list[str]:
    told = []
    for logged in lines:
        line = logged.line
        if isinstance(line, AttemptNotRun):
            how = "turned it away" if line.sent else "could not be reached"
            told.append(f"{line.server} {how} ({line.reason})")
        elif isinstance(line, AttemptBroken):
            told.append(f"the answer of {line.server} broke off ({line.reason})")
    return told


def _tell_context(context: Sequence[LoggedLine]) -> list[str]:
    told = []
    for logged in context:
        line = logged.line
        if isinstance(line, StoreLost):
            told.append(f"{logged.host} had lost the store at {logged.time}")
        elif isinstance(line, ServicesUnreachable) and line.services:
            names = ", ".join(line.services)
            told.append(f"{logged.host} could reach no server of {names}")
        elif isinstance(line, ServersNotReturned):
            names = ", ".join(line.servers)
            told.append(f"{names} had not come back after an outage of the store")
        elif isinstance(line, LogEntriesDropped):
            told.append(f"{logged.host} left out log lines ({line.why})")
        elif logged.message == "leaving":
            told.append(f"{logged.host} was told to stop at {logged.time}")
    return list(dict.fromkeys(told))
