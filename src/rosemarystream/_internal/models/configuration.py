"""The accepted configuration: what operators state on the sheet."""

from enum import StrEnum
from typing import NamedTuple


class PoolKind(StrEnum):
    """What stands behind a pool."""

    MODEL = "model"
    SERVICE = "service"


class Rank(NamedTuple):
    """A class of urgency.

    Attributes
    ----------
    name : str
        Name that callers send.
    order : int
        Position; 1 is served first.
    minimum_share : float
        Fraction of dispatches the rank keeps while higher ranks are waiting.
    target_ms : int
        Wait that the operators aim for, in milliseconds.
    worth : float
        Value of one request served in time, for reports.
    reserve : float
        Fraction of a server's slots that less urgent ranks leave free.
    """

    name: str
    order: int
    minimum_share: float
    target_ms: int
    worth: float
    reserve: float = 0.0


class Pool(NamedTuple):
    """A set of interchangeable backend servers.

    Attributes
    ----------
    name : str
        Name that callers and workspaces use.
    kind : PoolKind
        Model engines or a plain service.
    model, version : str
        What each engine of the pool has to run; empty for a service.
    load_multiple : float
        No server carries more than this multiple of the pool's mean load.
    slots : int
        Requests that one server takes at the same time.
    checks_fence : bool
        Whether the servers refuse orders with an old fencing number.
    """

    name: str
    kind: PoolKind
    model: str
    version: str
    load_multiple: float
    slots: int
    checks_fence: bool


class Workspace(NamedTuple):
    """A tenant of the fleet.

    Attributes
    ----------
    name : str
        Name that callers send.
    key_sha256 : str
        Hex digest of the key its callers present.
    highest_rank : str
        Most urgent rank its callers may ask for.
    weight : float
        Share relative to other workspaces of the same rank.
    """

    name: str
    key_sha256: str
    highest_rank: str
    weight: float


class RecallKind(StrEnum):
    """What a recall names."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVER = "server"


class Recall(NamedTuple):
    """An order that withdraws a batch from service.

    Attributes
    ----------
    recall_id : str
        Unique identifier; never used twice.
    kind : RecallKind
        Whether `target` names a model version, an adapter version or a server.
    target : str
        ``name@version`` for models and adapters, the server's name otherwise.
    operator : str
        Who gave the order.
    """

    recall_id: str
    kind: RecallKind
    target: str
    operator: str


class Sheet(NamedTuple):
    """Everything that one sheet states."""

    ranks: tuple[Rank, ...] = ()
    pools: tuple[Pool, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    recalls: tuple[Recall, ...] = ()


class Manifest(NamedTuple):
    """The one object whose conditional write accepts a configuration.

    Attributes
    ----------
    generation : int
        Number of accepted configurations so far; 0 before the first.
    change_id : str
        Unique identifier of the write, to recognise it after a lost answer.
    operator : str
        Who wrote it.
    documents : dict of str to str
        Content digest of each document by its name.
    history : tuple of str
        Change ids of the last accepted writes, newest first.
    """

    generation: int
    change_id: str
    operator: str
    documents: dict[str, str]
    history: tuple[str, ...] = ()


EMPTY_MANIFEST = Manifest(
    generation=0, change_id="", operator="", documents={}, history=()
)
