"""The events of a streamed answer, put together from the attempts of a request."""

from collections.abc import Iterator

from rosemarystream._internal.gateway.attempt_errors import OutcomeUnknownError
from rosemarystream._internal.utils.server_sent_events import (
    EventSplitter,
    find_event_id,
    has_data,
)

# Identifiers with more digits aren't compared: int() fails on some thousands.
MAX_NUMBER_DIGITS = 18


class EventStream:
    """Splits the answers of servers into events, and checks their order.

    Parameters
    ----------
    last_event : bytes
        Identifier of the last event that the caller has, or empty.

    Attributes
    ----------
    last_event : bytes
        The same, with the events accepted since.
    has_begun : bool
        Whether any attempt was answered with a stream.
    can_continue : bool
        Whether another server can go on where this one ends: no event that the caller
        has came without an identifier after `last_event`.
    """

    def __init__(self, *, last_event: bytes) -> None:
        self.last_event = last_event
        self._last_number = _read_number(last_event)
        self.has_begun = False
        self.can_continue = True
        self._splitter = EventSplitter()
        self._has_events = False
        self._is_continuation = False
        self._is_repeating = False

    @property
    def ends_numbered(self) -> bool:
        """Whether the last event that the caller has bears a number."""
        return self.can_continue and self._last_number is not None

    def begin_attempt(self, *, is_continuation: bool = False) -> None:
        """Forget what is left of the answer of the attempt before.

        Parameters
        ----------
        is_continuation : bool
            Whether a run is continued that may be run only once, so that an event
            that can't be told from one that the caller has is an error.
        """
        self._is_continuation = is_continuation
        self._is_repeating = False
        self.has_begun = True
        self._splitter = EventSplitter()
        self._has_events = False

    def split(self, piece: bytes) -> Iterator[bytes]:
        """Return the events that a piece of the answer completes.

        All have to be taken before the next piece is split.

        Raises
        ------
        EventTooLongError
            If an event exceeds its bound.
        """
        return self._splitter.split(piece)

    def accept(self, event: bytes) -> bool:
        """Return whether an event is new to the caller, who then gets it.

        Raises
        ------
        OutcomeUnknownError
            If events before it are missing.
        """
        self._has_events = True
        identifier = find_event_id(event)
        if self._is_continuation:
            self._check_continuation(event, identifier)
        if not identifier:
            self.can_continue &= not has_data(event)
            return True
        number = _read_number(identifier)
        if number is not None and self._last_number is not None:
            ahead = number - self._last_number
            if ahead <= 0:
                self._is_repeating = True
                return False
            if ahead > 1:
                raise OutcomeUnknownError(
                    f"event {identifier!r} came after {self.last_event!r}"
                )
        self.last_event = identifier
        self.can_continue = True
        self._last_number = number
        self._is_repeating = False
        return True

    def _check_continuation(self, event: bytes, identifier: bytes) -> None:
        if identifier:
            if _read_number(identifier) is None:
                raise OutcomeUnknownError(f"event {identifier!r} bears no number")
        elif self._is_repeating and has_data(event):
            # It may belong to the repeated events, or follow them.
            raise OutcomeUnknownError("an event without a number came among old ones")

    def check_end(self, *, is_delimited: bool) -> None:
        """Check that an answer that has ended is complete.

        Parameters
        ----------
        is_delimited : bool
            Whether its end could be told from the end of the connection.

        Raises
        ------
        OutcomeUnknownError
            If it isn't.
        """
        if self._splitter.remainder:
            raise OutcomeUnknownError(
                "the stream ended within an event", closed=not is_delimited
            )
        if not (is_delimited or self._has_events):
            # A server that crashes after the head ends its answer in the same way.
            raise OutcomeUnknownError("the stream ended before an event", closed=True)


def _read_number(identifier: bytes) -> int | None:
    if len(identifier) > MAX_NUMBER_DIGITS or not identifier.isdigit():
        return None
    return int(identifier)
