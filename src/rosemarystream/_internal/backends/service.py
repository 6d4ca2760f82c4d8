"""Client of the HTTP interface of a plain service.

``POST /v1/calls`` with the header ``X-Request-Id`` runs the call once. The answer
may have any status; the header ``X-Not-Run: 1`` (sent with a 503) states that the
call was not run.
"""

from collections.abc import Callable

from rosemarystream._internal.exceptions import BackendError, ErrorKind, RefusedError
from rosemarystream._internal.models.request import CallResult, Work
from rosemarystream._internal.models.server import BackendServer
from rosemarystream._internal.utils.http_exchange import Exchange

NOT_RUN_HEADER = "X-Not-Run"
REQUEST_ID_HEADER = "X-Request-Id"


def call_service(
    work: Work, *, server: BackendServer, clock: Callable[[], float]
) -> CallResult:
    """Send a call to a plain service and return its whole answer.

    Raises
    ------
    RefusedError
        If nothing was sent (no connection, or the deadline has passed), or the
        service states that it did not run the call.
    BackendError
        If the exchange failed or the answer is of another request, so that the
        outcome is unknown.
    """
    with Exchange(address=server.address, clock=clock) as exchange:
        exchange.connect(work.deadline)
        if clock() >= work.deadline:
            raise RefusedError("deadline has passed", kind=ErrorKind.DEADLINE)
        status = exchange.send(
            "POST",
            "/v1/calls",
            body=work.body,
            headers={
                "Content-Type": "application/json",
                REQUEST_ID_HEADER: work.request_id,
            },
            deadline=work.deadline,
        )
        body = exchange.read_all(work.deadline)
        if exchange.header(NOT_RUN_HEADER) == "1":
            raise RefusedError(
                f"service {server.name} did not run the call",
                kind=ErrorKind.BACKEND_REFUSED,
            )
        if exchange.header(REQUEST_ID_HEADER) != work.request_id:
            raise BackendError(
                f"service {server.name} answered another request",
                kind=ErrorKind.OUTCOME_UNKNOWN,
            )
        return CallResult(request_id=work.request_id, status=status, body=body)
