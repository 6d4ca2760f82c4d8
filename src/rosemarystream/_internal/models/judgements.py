"""What a host concludes from a time that passed, unless it was late itself."""

from enum import StrEnum


class Judgement(StrEnum):
    """Kinds of conclusions on backend servers."""

    CONNECT = "connect"
    SILENCE = "silence"
    NO_BACKEND = "no_backend"
