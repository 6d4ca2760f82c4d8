"""Backend servers and entry hosts as the platform's list gives them."""

from typing import NamedTuple


class BackendServer(NamedTuple):
    """A model engine or a plain service behind the fleet.

    Attributes
    ----------
    name : str
        Unique name in the platform's list.
    pool : str
        Pool that the server belongs to.
    data_centre, region : str
        Where it stands.
    address : str
        ``ip:port`` of its HTTP interface.
    incarnation : int
        Changes when the server restarts and loses its cache.
    leaving : bool
        Whether the platform has announced that it leaves.
    """

    name: str
    pool: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    leaving: bool


class EntryHost(NamedTuple):
    """One host of this fleet.

    Attributes
    ----------
    name : str
        Unique name from the host's settings.
    incarnation : int
        Start time in milliseconds; a restarted host has a higher one.
    data_centre, region : str
        Where it stands.
    peer_address : str
        ``ip:port`` that takes control messages.
    hop_address : str
        ``ip:port`` that takes forwarded requests.
    """

    name: str
    incarnation: int
    data_centre: str
    region: str
    peer_address: str
    hop_address: str


class HostChanges(NamedTuple):
    """Changes of the platform's list of servers, which lags behind the truth.

    Attributes
    ----------
    base : int
        Version that the changes start from; 0 when they are the whole list.
    version : int
        Version that they lead to.
    servers : tuple of BackendServer
        Servers that are new or have changed since `base`.
    removed : tuple of str
        Names of servers that are gone since `base`.
    """

    base: int
    version: int
    servers: tuple[BackendServer, ...]
    removed: tuple[str, ...]


class ServerReport(NamedTuple):
    """What a server says of itself when polled.

    Attributes
    ----------
    incarnation : int
        Incarnation of the running process.
    running : int
        Requests in progress, as of some moments ago.
    models : tuple of str
        Loaded model versions, ``name@version``.
    adapters : tuple of str
        Loaded adapter versions, ``name@version``.
    leaving : bool
        Whether the server says that it leaves.
    loading : tuple of str
        Model versions that it is loading, ``name@version``.
    """

    incarnation: int
    running: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    leaving: bool
    loading: tuple[str, ...] = ()


class PollTarget(NamedTuple):
    """A server whose state a host has to know.

    Attributes
    ----------
    server : BackendServer
        The server.
    is_urgent : bool
        Whether decisions wait for it; otherwise it is polled at leisure.
    """

    server: BackendServer
    is_urgent: bool
