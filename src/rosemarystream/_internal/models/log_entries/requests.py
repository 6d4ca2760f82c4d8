"""Log entries of requests of callers and their attempts.

Fields that end in ``_ms`` are milliseconds of the host's monotonic clock.
"""

from logbook import DEBUG, ERROR, NOTICE, WARNING

from rosemarystream._internal.models.log_entries.base import (
    REQUEST_ENTRIES_PER_S,
    LogEntry,
)


class RequestEnded(LogEntry, frozen=True, kw_only=True):
    """A request ended.

    Attributes
    ----------
    request : str
        Identifier of the request.
    route, service, workspace : str or None
        Route, service and workspace by the configuration; None if the request was
        refused before they were determined.
    outcome : str
        ``answered``, ``failed`` (the failure answer of a server was forwarded),
        ``gone`` (the caller disconnected) or an error kind.
    status : int
        HTTP status sent to the caller; 0 if none.
    half_closed : bool
        Whether the caller closed its sending side before the end of the answer.
    ms, first_ms : float or None
        Time to the end of the request, and to the first event of a stream.
    wait_ms : float or None
        Time that the caller was prepared to wait.
    rank, priority : int
        Rank by the configuration, and priority sent to the engine; 0 is first.
    tried : list of str
        Servers in the order in which they were tried.
    sends : int
        Number of those servers that received the request.
    limited : list of str
        Servers to which it was not sent because they limit their requests.
    server : str or None
        The last server; the following fields are the inputs of its choice.
    requests, bound : int, float
        Known requests in progress at the server, and their upper bound; the bound
        is 0 if none was applied.
    reading, unread : int
        Pending prefill tokens of other requests at the server, and uncached prompt
        tokens of this request.
    slowness : float
        How much longer work probably took at the server at that moment; 1 is usual.
    counts_age_ms : float
        Age of the load reports of other hosts that these fields rest on.
    source : str or None
        Server from which it was to copy the KV cache of the prompt.
    home, home_requests, home_reading : str or None, int, int
        Home server of the prompt (first in the rendezvous order), and its load.
    version, revision : int
        Version of the configuration and revision of the servers in use.
    prompt : list of str
        Parts of the prompt with their numbers of tokens.
    reason : str
        Reason if the request was not simply answered.
    """

    message = "request"
    limit_per_s = REQUEST_ENTRIES_PER_S
    request: str
    route: str | None = None
    service: str | None = None
    workspace: str | None = None
    outcome: str
    status: int
    half_closed: bool = False
    ms: float
    first_ms: float | None = None
    wait_ms: float | None = None
    rank: int = 0
    priority: int = 0
    tried: list[str] = []
    sends: int = 0
    limited: list[str] = []
    server: str | None = None
    requests: int = 0
    bound: float = 0.0
    reading: int = 0
    unread: int = 0
    slowness: float = 1.0
    counts_age_ms: float = 0.0
    source: str | None = None
    home: str | None = None
    home_requests: int = 0
    home_reading: int = 0
    version: int = 0
    revision: int = 0
    prompt: list[str] = []
    reason: str = ""

    @property
    def kind(self) -> str:
        """Outcomes have separate limits, so a flood of one doesn't suppress others."""
        return f"{self.message} {self.outcome}"


class AttemptNotRun(LogEntry, frozen=True, kw_only=True):
    """A server certainly has not run a request and will not run it.

    Attributes
    ----------
    sent : bool
        Whether the server received the request and rejected it; otherwise it could
        not be reached.
    """

    message = "attempt not run"
    limit_per_s = REQUEST_ENTRIES_PER_S
    request: str
    server: str
    sent: bool
    reason: str


class AttemptBroken(LogEntry, frozen=True, kw_only=True):
    """A server may have run a request, but its answer is missing or incomplete.

    Attributes
    ----------
    reused : bool
        Whether the connection had been used for earlier requests.
    silent, unreachable : bool
        Whether nothing arrived in time, and whether the server's machine stopped
        acknowledging TCP segments.
    closed : bool
        Whether the server closed or reset the connection, as one that crashes does.
    left_early : bool
        Whether this host gave the server up before the time of the request was over.
    quiet_ms : float or None
        Time since the server last sent anything for the request, or since the request
        was sent; None if it was not sent.
    answering_ms : float or None
        Time from the head of the answer to its break; None if no head had arrived.
    prompt : list of str
        Parts of the prompt with their numbers of tokens.
    """

    message = "attempt broke"
    limit_per_s = REQUEST_ENTRIES_PER_S
    request: str
    server: str
    reused: bool
    silent: bool
    unreachable: bool
    closed: bool = False
    left_early: bool = False
    quiet_ms: float | None = None
    answering_ms: float | None = None
    prompt: list[str] = []
    reason: str


class StreamContinued(LogEntry, frozen=True, kw_only=True):
    """A stream that may run only once broke, and goes on at another server.

    Attributes
    ----------
    first, server : str
        The server whose stream broke, and the one that continues it.
    first_state : str
        Why the first one is no longer at work: ``gone`` (it refuses connections, or
        another one has its address), ``moved`` or ``stopped`` (at this host's request,
        and with or without a move to the backup server) or ``absent`` (it knows no such
        run).
    after : str
        Identifier of the last event that the caller had.
    pause_ms : float
        Time from the break to the head of the continuation.
    """

    message = "stream continued"
    limit_per_s = REQUEST_ENTRIES_PER_S
    request: str
    first: str
    server: str
    first_state: str
    after: str
    pause_ms: float


class StreamNotContinued(LogEntry, frozen=True, kw_only=True):
    """A stream with a backup server broke, and was not continued to its end.

    Attributes
    ----------
    first, backup : str
        The server whose stream broke, and its backup server.
    first_state : str
        What is known of the first one's work, see ``stream continued``; ``busy`` if
        another call about the run was in progress, ``unknown`` if it may be at work or
        was not asked.
    """

    message = "stream not continued"
    limit_per_s = REQUEST_ENTRIES_PER_S
    request: str
    first: str
    backup: str
    first_state: str
    reason: str


class UnexpectedError(LogEntry, frozen=True, kw_only=True):
    """An error that no code expects was raised while a request was served.

    Attributes
    ----------
    request, server : str
        Identifier of the request, and the server at which it was tried last.
    error : str
        Type of the error.
    trace : list of str
        Calls that led to it, as file, line and function; the innermost is the last.
    """

    message = "unexpected error"
    level = ERROR
    request: str
    server: str
    error: str
    trace: list[str]


class ServerCrashed(LogEntry, frozen=True, kw_only=True):
    """A server ended while it worked on a request: it refuses connections.

    Attributes
    ----------
    prompt : list of str
        Parts of the request's prompt with their numbers of tokens.
    """

    message = "server crashed"
    limit_per_s = REQUEST_ENTRIES_PER_S
    server: str
    request: str
    prompt: list[str]


class PromptPartBlocked(LogEntry, frozen=True, kw_only=True):
    """Requests with a prompt part are rejected from now on: servers crash on it.

    Attributes
    ----------
    part : str
        Number of the part, as in the store.
    """

    message = "prompt part blocked"
    level = WARNING
    part: str
    for_ms: float


class PromptPartReleased(LogEntry, frozen=True, kw_only=True):
    """The block of a prompt part ended, or an answer or an operator lifted it."""

    message = "prompt part no longer blocked"
    level = NOTICE
    part: str


class RequestRefusedEarly(LogEntry, frozen=True, kw_only=True):
    """A request was refused before all of it was read, so its id is unknown."""

    message = "request refused unread"
    kind_of_error: str
    reason: str


class CallerConnectionBroken(LogEntry, frozen=True, kw_only=True):
    """A caller's connection failed outside a request."""

    message = "caller's connection broke"
    level = DEBUG
    error: str


class LimitedSends(LogEntry, frozen=True, kw_only=True):
    """Requests were sent to servers that limit them, in the last second or longer.

    Attributes
    ----------
    sends : dict of str to int
        Number of requests that this host sent, by server.
    """

    message = "sent under limits"
    sends: dict[str, int]
