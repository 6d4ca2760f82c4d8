"""The ledger of requests: each one that is read whole has exactly one ending.

Begun less ended is the number in progress, which the listener counts on its own; a
difference is logged as an error.
"""

from collections.abc import Callable
from typing import NamedTuple, TypedDict

from gevent import GreenletExit
from logbook import Logger

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.gateway.answer_writer import (
    AnswerWriter,
    CallerDisconnectedError,
)
from rosemarystream._internal.gateway.host_times import HostTimes
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.gateway.request_errors import HostStoppedError
from rosemarystream._internal.gateway.request_reader import Request
from rosemarystream._internal.gateway.request_record import measure_ms_since
from rosemarystream._internal.models.endings import (
    NO_NOTES,
    AnswerProgress,
    EndingCause,
)
from rosemarystream._internal.models.log_entries.endings import (
    RequestsCounted,
    RequestsUnbalanced,
    RequestUnanswered,
)
from rosemarystream._internal.platform.headers import decode_call

log = Logger(__name__)

_ANSWERED = frozenset(cause for cause in EndingCause if cause.has_answer)


class RequestBalance(TypedDict):
    """Requests since the start of the process.

    Attributes
    ----------
    begun : int
        Requests that were read whole.
    ended : dict of str to int
        Those of them that have ended, by cause.
    in_progress : int
        Those that the listener is serving.
    difference : int
        Begun less ended less in progress; 0 unless there is a fault in the host.
    """

    begun: int
    ended: dict[str, int]
    in_progress: int
    difference: int


class BegunRequest(NamedTuple):
    """A request that was read whole.

    Attributes
    ----------
    connected_at : float
        When its connection was accepted.
    connection_requests : int
        Number of requests read from the connection, with this one.
    version : int
        Version of the configuration at that moment.
    """

    request: Request
    connected_at: float
    connection_requests: int
    version: int


class RequestLedger:
    """Counts the requests of callers, and logs endings without a whole answer."""

    def __init__(
        self,
        *,
        metrics: GatewayMetrics,
        replica: Replica,
        times: HostTimes,
        clock: Callable[[], float],
    ) -> None:
        self._replica = replica
        self._times = times
        self._clock = clock
        self._begun = 0
        self._ended = dict.fromkeys(EndingCause, 0)
        self._logged_difference = 0
        self._metrics = metrics
        self._published_begun = 0
        self._published_ended = dict.fromkeys(EndingCause, 0)

    def begin(
        self, request: Request, *, connected_at: float, connection_requests: int
    ) -> BegunRequest:
        """Count a request that was read whole."""
        self._begun += 1
        return BegunRequest(
            request, connected_at, connection_requests, self._replica.version
        )

    def end(
        self,
        begun: BegunRequest,
        cause: EndingCause,
        *,
        answer: AnswerWriter | None = None,
    ) -> None:
        """Count the ending of a request.

        Parameters
        ----------
        answer : AnswerWriter or None
            Its answer; None if it was not handled.
        """
        self._ended[cause] += 1
        if cause not in _ANSWERED:
            write_log_entry(log, self._make_entry(begun, cause, answer))

    def publish(self) -> None:
        """Bring the metrics up to date, which is not done at each request."""
        metrics = self._metrics
        metrics.requests_begun.inc(self._begun - self._published_begun)
        self._published_begun = self._begun
        for cause, count in self._ended.items():
            added = count - self._published_ended[cause]
            self._published_ended[cause] = count
            metrics.requests_ended.labels(cause).inc(added)
            if cause not in _ANSWERED:
                metrics.requests_ended_without_answer.labels(cause).inc(added)

    def read_balance(self, in_progress: int) -> RequestBalance:
        """Return the counts beside the number of requests that are being served."""
        difference = self._begun - sum(self._ended.values()) - in_progress
        return RequestBalance(
            begun=self._begun,
            ended={cause.value: count for cause, count in self._ended.items()},
            in_progress=in_progress,
            difference=difference,
        )

    def check_balance(self, in_progress: int) -> None:
        """Log an error if an ending was not counted, or one was counted twice."""
        balance = self.read_balance(in_progress)
        if balance["difference"] == self._logged_difference:
            return
        self._logged_difference = balance["difference"]
        entry = RequestsUnbalanced(
            begun=balance["begun"],
            ended=sum(balance["ended"].values()),
            in_progress=in_progress,
            difference=balance["difference"],
        )
        write_log_entry(log, entry)

    def log_counts(self, in_progress: int) -> None:
        """Log the counts of a process that exits."""
        self.check_balance(in_progress)
        balance = self.read_balance(in_progress)
        entry = RequestsCounted(
            begun=balance["begun"],
            ended=balance["ended"],
            in_progress=in_progress,
        )
        write_log_entry(log, entry)

    def _make_entry(
        self, begun: BegunRequest, cause: EndingCause, answer: AnswerWriter | None
    ) -> RequestUnanswered:
        notes = NO_NOTES if answer is None else answer.notes
        self._times.record_version(self._replica.version)
        return RequestUnanswered(
            request=notes.request or _find_id(begun.request),
            cause=cause,
            progress=AnswerProgress.NOTHING if answer is None else answer.progress,
            status=0 if answer is None else answer.status,
            ms=measure_ms_since(begun.request.received_at, self._clock),
            connection_ms=measure_ms_since(begun.connected_at, self._clock),
            connection_requests=begun.connection_requests,
            version_at_start=begun.version,
            version=self._replica.version,
            configuration_ms=measure_ms_since(self._times.configured_at, self._clock),
            reload_ms=measure_ms_since(self._times.reloaded_at, self._clock),
            stop_ms=measure_ms_since(self._times.stopped_at, self._clock),
            server=notes.server,
            server_act=notes.act,
            quiet_ms=notes.quiet_ms,
            reason=notes.reason,
        )


def find_cause(answer: AnswerWriter, error: BaseException | None) -> EndingCause:
    """Return the cause of an ending.

    Parameters
    ----------
    error : BaseException or None
        What was raised out of the handling of the request.
    """
    if answer.is_finished:
        if answer.is_by_host:
            return EndingCause.HOST_ANSWERED
        return EndingCause.SERVER_ANSWERED
    if isinstance(error, CallerDisconnectedError):
        return EndingCause.CALLER_GONE
    # GreenletExit: the listener is stopped without a planned stop.
    if isinstance(error, HostStoppedError | GreenletExit):
        return EndingCause.HOST_STOPPED
    if error is not None or answer.notes.cause is None:
        return EndingCause.ERROR
    return answer.notes.cause


def _find_id(request: Request) -> str:
    """Return the identifier of a request that was not handled, or an empty string."""
    try:
        return decode_call(request.method, request.target, request.headers).request_id
    except Exception as error:
        # The ending is logged all the same, with the type of the error instead.
        return f"unreadable ({type(error).__name__})"
