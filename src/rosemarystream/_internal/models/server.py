"""Backend servers and entry hosts, their changes and polled state."""

from typing import NamedTuple


class BackendServer(NamedTuple):
    """A model engine or a plain service behind the fleet.

    Attributes
    ----------
    name : str
        Unique name in the platform's host list.
    pool : str
        Pool that the server belongs to.
    data_centre, region : str
        Location of the server.
    address : str
        ``ip:port`` of its HTTP interface.
    incarnation : int
        Changes when the server restarts, which empties its cache.
    leaving : bool
        Whether the platform has announced that the server leaves.
    """

    name: str
    pool: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    leaving: bool


class EntryHost(NamedTuple):
    """An entry host of the fleet.

    Attributes
    ----------
    name : str
        Unique name from the host's settings.
    incarnation : int
        Start time in milliseconds; it increases with each restart.
    data_centre, region : str
        Location of the host.
    peer_address : str
        ``ip:port`` that receives control messages.
    hop_address : str
        ``ip:port`` that receives forwarded requests.
    """

    name: str
    incarnation: int
    data_centre: str
    region: str
    peer_address: str
    hop_address: str


class HostChanges(NamedTuple):
    """Changes of the platform's host list, which lags behind the actual servers.

    Attributes
    ----------
    base : int
        Version that the changes start from; 0 if they are the whole list.
    version : int
        Version of the list after the changes.
    servers : tuple of BackendServer
        Servers added or changed since `base`.
    removed : tuple of str
        Names of servers removed since `base`.
    """

    base: int
    version: int
    servers: tuple[BackendServer, ...]
    removed: tuple[str, ...]


class ServerReport(NamedTuple):
    """State that a server reports when polled.

    Attributes
    ----------
    incarnation : int
        Incarnation of the running process.
    running : int
        Requests in progress; the figure lags slightly behind.
    models : tuple of str
        Loaded model versions, ``name@version``.
    adapters : tuple of str
        Loaded adapter versions, ``name@version``.
    leaving : bool
        Whether the server reports that it is leaving.
    loading : tuple of str
        Model versions being loaded, ``name@version``.
    """

    incarnation: int
    running: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    leaving: bool
    loading: tuple[str, ...] = ()


class PollTarget(NamedTuple):
    """A server to poll.

    Attributes
    ----------
    server : BackendServer
        The server.
    is_urgent : bool
        Whether decisions wait for its state; otherwise it is polled less often.
    """

    server: BackendServer
    is_urgent: bool
