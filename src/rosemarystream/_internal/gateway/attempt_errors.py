"""Errors of attempts, sorted by what is certain about the request."""

from rosemarystream._internal.exceptions import (
    BackendError,
    ConnectError,
    ErrorKind,
    RefusedError,
)
from rosemarystream._internal.utils.http_connection import (
    AnswerTimeoutError,
    ConnectionBrokenError,
    ServerClosedError,
    ServerUnreachableError,
)


class NotRunError(RefusedError):
    """The request certainly has not run at this server and won't.

    Attributes
    ----------
    sent : bool
        Whether the server received the request and refused it.
    withheld : bool
        Whether this host decided not to send it, through no fault of the server.
    is_refused : bool
        Whether the server's machine answered that nothing listens there.
    is_late : bool
        Whether it was not sent because its permission had lapsed.
    """

    default_kind = ErrorKind.NO_BACKEND

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        withheld: bool = False,
        is_refused: bool = False,
        is_late: bool = False,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.withheld = withheld
        self.is_refused = is_refused
        self.is_late = is_late


class OutcomeUnknownError(BackendError):
    """The request may have run, and there is no complete answer.

    Attributes
    ----------
    silent : bool
        Whether nothing came in time; the server may only be slow.
    unreachable : bool
        Whether the server's machine no longer acknowledges anything.
    closed : bool
        Whether the server closed or reset the connection, as one that crashes does.
    """

    def __init__(
        self,
        message: str,
        *,
        silent: bool = False,
        unreachable: bool = False,
        closed: bool = False,
    ) -> None:
        super().__init__(message)
        self.silent = silent
        self.unreachable = unreachable
        self.closed = closed


def is_refusal(error: ConnectError) -> bool:
    """Return whether a server's machine answered that nothing listens there."""
    return isinstance(error.__cause__, ConnectionRefusedError)


def convert_error(error: ConnectionBrokenError) -> OutcomeUnknownError:
    """Return the error of an attempt whose connection failed."""
    return OutcomeUnknownError(
        str(error),
        silent=isinstance(error, AnswerTimeoutError),
        unreachable=isinstance(error, ServerUnreachableError),
        closed=isinstance(error, ServerClosedError),
    )
