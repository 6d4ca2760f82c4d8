"""Errors with which a request ends before it has an answer of a server."""

from rosemarystream._internal.exceptions import (
    ErrorKind,
    RequestError,
    RosemarystreamError,
)


class RequestEndedError(RosemarystreamError):
    """A request ends with an error of the closed list of `ErrorKind`.

    Attributes
    ----------
    should_reconnect : bool
        Whether the caller's connection is closed, so that its next request may reach
        another host.
    """

    def __init__(
        self, kind: ErrorKind, message: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, kind=kind, retry_after=retry_after_s)
        self.should_reconnect = False


class RefusedRequestError(RequestError):
    """A request is refused before it was read completely, or before it begins."""

    def __init__(
        self, kind: ErrorKind, message: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, kind=kind, retry_after=retry_after_s)


class HostStoppedError(BaseException):
    """The host stops, and ends the request.

    Not an `Exception`, so that no handler of failed attempts catches it.
    """
