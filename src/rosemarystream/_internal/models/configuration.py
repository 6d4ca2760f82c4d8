"""The configuration that operators declare on the sheet, and its manifest."""

from enum import StrEnum
from typing import NamedTuple


class PoolKind(StrEnum):
    """Type of the backend servers of a pool."""

    MODEL = "model"
    SERVICE = "service"


class Rank(NamedTuple):
    """A priority class of requests.

    Attributes
    ----------
    name : str
        Name that callers send.
    order : int
        Priority; 1 is served first.
    minimum_share : float
        Fraction of dispatches guaranteed to the rank while higher ranks wait.
    target_ms : int
        Target for the waiting time, in milliseconds.
    worth : float
        Value of a request that is served in time, for reports.
    reserve : float
        Fraction of a server's slots that lower ranks must leave free.
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
        Name by which callers and workspaces refer to the pool.
    kind : PoolKind
        Model engines or a plain service.
    model, version : str
        Model and version that each engine has to run; empty for a service.
    load_multiple : float
        Upper bound of a server's load as a multiple of the pool's mean load.
    slots : int
        Maximum number of concurrent requests per server.
    checks_fence : bool
        Whether the servers reject orders with an outdated fencing number.
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
        SHA-256 of the API key of its callers, in hexadecimal.
    highest_rank : str
        Highest rank that its callers may request.
    weight : float
        Fair-share weight among the workspaces of the same rank.
    """

    name: str
    key_sha256: str
    highest_rank: str
    weight: float


class RecallKind(StrEnum):
    """Type of a recall's target."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVER = "server"


class Recall(NamedTuple):
    """An operator's order that withdraws a batch from service.

    Attributes
    ----------
    recall_id : str
        Unique identifier; never reused.
    kind : RecallKind
        Whether `target` names a model version, an adapter version or a server.
    target : str
        ``name@version`` for models and adapters, the server's name otherwise.
    operator : str
        Name of the operator who gave the order.
    """

    recall_id: str
    kind: RecallKind
    target: str
    operator: str


class Sheet(NamedTuple):
    """The parsed content of a sheet."""

    ranks: tuple[Rank, ...] = ()
    pools: tuple[Pool, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    recalls: tuple[Recall, ...] = ()


class Manifest(NamedTuple):
    """The object whose conditional write commits a configuration.

    Attributes
    ----------
    generation : int
        Number of configurations accepted so far; 0 before the first.
    change_id : str
        Unique identifier of the write, by which the writer recognises it if the
        answer was lost.
    operator : str
        Name of the operator who wrote it.
    documents : dict of str to str
        Content digests of the documents by name.
    history : tuple of str
        Change ids of the most recent accepted writes, newest first.
    """

    generation: int
    change_id: str
    operator: str
    documents: dict[str, str]
    history: tuple[str, ...] = ()


EMPTY_MANIFEST = Manifest(
    generation=0, change_id="", operator="", documents={}, history=()
)
