"""Calls that may run at most once: claim first, then dispatch."""

from rosemarystream._internal.callers.exchange import EntryExchange
from rosemarystream._internal.exceptions import ErrorKind, RequestError
from rosemarystream._internal.models.request import CallResult, StreamFailure, Work


class ClaimedCalls:
    """Runs calls that may not be repeated.

    Parameters
    ----------
    exchange : EntryExchange
        Carries the call once it is claimed.
    """

    def __init__(self, *, exchange: EntryExchange) -> None:
        self._exchange = exchange

    def call(self, work: Work, key: str | None) -> CallResult | StreamFailure:
        """Claim the key and run the call, or say why not."""
        if key is None:
            raise RequestError(
                "a call that is not idempotent needs an Idempotency-Key header",
                kind=ErrorKind.BAD_REQUEST,
            )
        return self._exchange.call(work)
