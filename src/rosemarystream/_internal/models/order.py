"""Orders to engines."""

from enum import StrEnum
from typing import NamedTuple


class OrderAction(StrEnum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderSubject(StrEnum):
    """What the order is about."""

    MODEL = "model"
    ADAPTER = "adapter"


class EngineOrder(NamedTuple):
    """One order.

    Attributes
    ----------
    order_id : str
        Unique identifier.
    fence : int
        Fencing number of the lease under which it was given.
    action : OrderAction
        Load or unload.
    subject : OrderSubject
        Model or adapter.
    target : str
        ``name@version``.
    """

    order_id: str
    fence: int
    action: OrderAction
    subject: OrderSubject
    target: str
