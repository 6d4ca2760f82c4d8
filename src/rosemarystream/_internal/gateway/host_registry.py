"""Exchange of the known hosts through the platform's store."""

from collections.abc import Callable

import gevent
from logbook import Logger

from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.gateway.host_records import read_hosts
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.models.gossip import HostAddress
from rosemarystream._internal.models.log_entries.store import HostExchangeFailed
from rosemarystream._internal.platform.store import HOSTS, Store
from rosemarystream._internal.platform.store_answers import StoreError

log = Logger(__name__)

# Interval of the attempts to register a collector in the store.
REGISTER_RETRY_S = 1.0
# Interval at which the hosts known in the store are read.
HOSTS_INTERVAL_S = 20.0


class HostRegistry:
    """Registers this host in the store while it is a collector, and reads the others.

    Parameters
    ----------
    this_host : HostAddress
        This host.
    store : Store
        The platform's store; the connection is closed after each exchange.
    ignored : IgnoredObjects
        Records the invalid objects of hosts.
    """

    def __init__(
        self,
        *,
        this_host: HostAddress,
        store: Store,
        peer_table: PeerTable,
        ignored: IgnoredObjects,
        clock: Callable[[], float],
    ) -> None:
        self._this_host = this_host
        self._store = store
        self._peer_table = peer_table
        self._ignored = ignored
        self._clock = clock
        self._is_registered = False

    def run(self) -> None:
        """Exchange the hosts at intervals; runs until it is killed."""
        while True:
            try:
                self._exchange()
            finally:
                self._store.close()
            gevent.sleep(HOSTS_INTERVAL_S if self._is_registered else REGISTER_RETRY_S)

    def _exchange(self) -> None:
        if not self._peer_table.is_collector(self._clock()):
            return
        try:
            self._register()
            read_hosts(self._store, self._peer_table, self._ignored, self._clock())
        except StoreError as error:
            write_log_entry(log, HostExchangeFailed(error=str(error)))

    def _register(self) -> None:
        if self._is_registered:
            return
        host = self._this_host
        spec = {"data_centre": host.data_centre, "ip": host.ip}
        self._store.put(HOSTS, host.name, spec)
        self._is_registered = True
