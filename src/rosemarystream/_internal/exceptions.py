"""Error kinds, the table of their answers, and the exception hierarchy."""

from enum import StrEnum
from typing import NamedTuple


class Execution(StrEnum):
    """Whether a backend server executed a request that ended in an error."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RetryAdvice(StrEnum):
    """Whether a caller should retry a request that ended in an error."""

    NEVER = "never"
    LATER = "later"
    SAME_KEY = "same_key"


class ErrorKind(StrEnum):
    """All kinds of errors that callers and operators can receive."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    HEAD_TOO_LARGE = "head_too_large"
    SLOW_SENDER = "slow_sender"
    NOT_READY = "not_ready"
    TIMED_OUT = "timed_out"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_BACKEND = "no_backend"
    BLOCKED_PROMPT = "blocked_prompt"
    NOT_OWNER = "not_owner"
    LEAVING = "leaving"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    ALREADY_CLAIMED = "already_claimed"
    BACKEND_REFUSED = "backend_refused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_BROKEN = "stream_broken"
    CONFLICT = "conflict"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    INTERNAL = "internal"


class ErrorAnswer(NamedTuple):
    """Answer to an error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    execution : Execution
        Whether the request was executed.
    retry : RetryAdvice
        Whether, and under which key, the caller should retry.
    next_step : str
        Sentence that describes what the caller should do next.
    """

    status: int
    execution: Execution
    retry: RetryAdvice
    next_step: str


_NOT_RUN = Execution.NOT_RUN
_UNKNOWN = Execution.UNKNOWN
_NEVER = RetryAdvice.NEVER
_LATER = RetryAdvice.LATER
_SAME_KEY = RetryAdvice.SAME_KEY

ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        400, _NOT_RUN, _NEVER, "Correct the request as the message says."
    ),
    ErrorKind.TOO_LARGE: ErrorAnswer(
        413, _NOT_RUN, _NEVER, "Send a smaller body or ask for fewer tokens."
    ),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(
        401, _NOT_RUN, _NEVER, "Send the key of the workspace or operator."
    ),
    ErrorKind.FORBIDDEN: ErrorAnswer(
        403, _NOT_RUN, _NEVER, "Ask an operator for the right you need."
    ),
    ErrorKind.NOT_FOUND: ErrorAnswer(
        404, _NOT_RUN, _NEVER, "Check the names against the applied sheet."
    ),
    ErrorKind.HEAD_TOO_LARGE: ErrorAnswer(
        431, _NOT_RUN, _NEVER, "Send fewer or shorter headers."
    ),
    ErrorKind.SLOW_SENDER: ErrorAnswer(
        408, _NOT_RUN, _LATER, "Send the whole request without long pauses."
    ),
    ErrorKind.NOT_READY: ErrorAnswer(
        503, _NOT_RUN, _LATER, "Send again; another host will take the request."
    ),
    ErrorKind.TIMED_OUT: ErrorAnswer(
        504, _UNKNOWN, _SAME_KEY, "The request may have run; allow it more time."
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        429, _NOT_RUN, _LATER, "Wait for the time in Retry-After, then send again."
    ),
    ErrorKind.DEADLINE: ErrorAnswer(
        504, _NOT_RUN, _LATER, "Send again, with more time if you can."
    ),
    ErrorKind.NO_BACKEND: ErrorAnswer(
        503, _NOT_RUN, _LATER, "Wait for the time in Retry-After, then send again."
    ),
    ErrorKind.BLOCKED_PROMPT: ErrorAnswer(
        503, _NOT_RUN, _LATER, "Leave out the prompt part; servers crash on it."
    ),
    ErrorKind.NOT_OWNER: ErrorAnswer(
        421, _NOT_RUN, _LATER, "Send again; the owner of the group has changed."
    ),
    ErrorKind.LEAVING: ErrorAnswer(
        503, _NOT_RUN, _LATER, "Send again; another host will take the request."
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorAnswer(
        503, _NOT_RUN, _SAME_KEY, "Send again later with the same Idempotency-Key."
    ),
    ErrorKind.ALREADY_CLAIMED: ErrorAnswer(
        409,
        _UNKNOWN,
        _NEVER,
        "An earlier request holds this Idempotency-Key; look its outcome up "
        "in the back end before you send it under a new key.",
    ),
    ErrorKind.BACKEND_REFUSED: ErrorAnswer(
        502, _NOT_RUN, _LATER, "Send again; the back end refused the request."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        502,
        _UNKNOWN,
        _SAME_KEY,
        "The request may have run; ask again with the same Idempotency-Key.",
    ),
    ErrorKind.STREAM_BROKEN: ErrorAnswer(
        502, Execution.RAN, _LATER, "The answer is incomplete; send the turn again."
    ),
    ErrorKind.CONFLICT: ErrorAnswer(
        409, _NOT_RUN, _NEVER, "Make a new plan; the state has moved since yours."
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(
        503, _UNKNOWN, _LATER, "The platform does not answer; check, then try again."
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        500, _UNKNOWN, _NEVER, "Report the request id to the operators."
    ),
}


class RosemarystreamError(Exception):
    """Base class of all errors of this project.

    Parameters
    ----------
    message : str
        Description of the failure and of what to do next.
    kind : ErrorKind
        Error kind that selects the answer; `default_kind` if None.
    retry_after : float or None
        Seconds after which the caller may retry.
    """

    default_kind = ErrorKind.INTERNAL

    def __init__(
        self,
        message: str,
        *,
        kind: ErrorKind | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind or self.default_kind
        self.retry_after = retry_after

    @property
    def answer(self) -> ErrorAnswer:
        """Row of the answer table for this error."""
        return ANSWERS[self.kind]


class RequestError(RosemarystreamError):
    """A caller's request is invalid; nothing was executed."""

    default_kind = ErrorKind.BAD_REQUEST


class RefusedError(RosemarystreamError):
    """A request was refused before any byte was sent to a backend server."""

    default_kind = ErrorKind.OVERLOADED


class ConnectError(RefusedError):
    """A connection could not be established, so no byte was sent."""

    default_kind = ErrorKind.NO_BACKEND


class BackendError(RosemarystreamError):
    """An exchange with a backend server failed; the request may have run."""

    default_kind = ErrorKind.OUTCOME_UNKNOWN


class StreamInterruptedError(BackendError):
    """A token stream ended before its end marker."""

    default_kind = ErrorKind.STREAM_BROKEN


class PlatformError(RosemarystreamError):
    """The platform did not answer, so the outcome of a call is unknown."""

    default_kind = ErrorKind.PLATFORM_UNAVAILABLE


class VersionConflictError(RosemarystreamError):
    """A conditional write failed because its version is no longer current."""

    default_kind = ErrorKind.CONFLICT


class SettingsError(RosemarystreamError):
    """The settings file is invalid; the message lists every mistake."""

    default_kind = ErrorKind.BAD_REQUEST


class SheetError(RosemarystreamError):
    """The sheet is invalid; the message lists every mistake."""

    default_kind = ErrorKind.BAD_REQUEST
