"""How requests of callers end, in closed lists."""

from enum import StrEnum
from typing import NamedTuple


class EndingCause(StrEnum):
    """Cause for which a request that was read whole is over."""

    # With a whole answer.
    SERVER_ANSWERED = "server_answered"
    HOST_ANSWERED = "host_answered"
    # Without one.
    SERVER_BROKE_OFF = "server_broke_off"
    TIMED_OUT = "timed_out"
    CALLER_GONE = "caller_gone"
    HOST_STOPPED = "host_stopped"
    # An answer to an earlier request on the connection was the last one there.
    CONNECTION_CLOSED = "connection_closed"
    ERROR = "error"

    @property
    def has_answer(self) -> bool:
        """Whether the caller was sent a whole answer."""
        return self in (EndingCause.SERVER_ANSWERED, EndingCause.HOST_ANSWERED)


class AnswerProgress(StrEnum):
    """How much of an answer was sent to the caller."""

    NOTHING = "nothing"
    HEAD = "head"
    PART = "part"
    ALL_BUT_END = "all_but_end"
    WHOLE = "whole"


class ServerAct(StrEnum):
    """What a server did last for a request."""

    NOT_ASKED = "not_asked"
    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"
    ANSWERING = "answering"
    ANSWERED = "answered"
    CLOSED = "closed"
    UNRESPONSIVE = "unresponsive"
    UNREACHABLE = "unreachable"
    FAULTY = "faulty"


class EndingNotes(NamedTuple):
    """What the handler of a request knows of its ending without a whole answer.

    Attributes
    ----------
    request : str
        Identifier of the request; empty if it was not determined.
    cause : EndingCause or None
        The cause, unless an exception says it.
    server : str
        The server that was tried last; empty if none was.
    act : ServerAct
        What it did last.
    quiet_ms : float or None
        Time since it last sent anything, or since it was sent the request.
    reason : str
        Description for operators; contains nothing of the request's body.
    """

    request: str = ""
    cause: EndingCause | None = None
    server: str = ""
    act: ServerAct = ServerAct.NOT_ASKED
    quiet_ms: float | None = None
    reason: str = ""


NO_NOTES = EndingNotes()
