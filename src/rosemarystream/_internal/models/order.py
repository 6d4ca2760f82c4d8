"""Orders to engines to load or unload models and adapters."""

from enum import StrEnum
from typing import NamedTuple


class OrderAction(StrEnum):
    """Action that an engine has to perform."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderSubject(StrEnum):
    """Type of the order's target."""

    MODEL = "model"
    ADAPTER = "adapter"


class EngineOrder(NamedTuple):
    """An order to an engine.

    Attributes
    ----------
    order_id : str
        Unique identifier.
    fence : int
        Fencing number of the lease under which the order was issued.
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
