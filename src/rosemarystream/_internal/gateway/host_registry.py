"""Exchange of the known hosts through the platform's store.

Collectors write a record of themselves, which brings hosts together whose seeds are
stale. The first collector of a data centre removes the records of departed hosts.
"""

from collections.abc import Callable, Sequence

import gevent
from logbook import Logger

from rosemarystream._internal.decisions.departed_hosts import DepartedHosts
from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.decisions.peer_table import PeerTable
from rosemarystream._internal.gateway.host_records import read_hosts
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.models.gossip import HostAddress
from rosemarystream._internal.models.log_entries.store import (
    HostExchangeFailed,
    HostRecordRemoved,
)
from rosemarystream._internal.platform.records import HostRecord
from rosemarystream._internal.platform.store import HOSTS, Store
from rosemarystream._internal.platform.store_answers import StoreError

log = Logger(__name__)

# Interval of the attempts to register a collector in the store.
REGISTER_RETRY_S = 1.0
# Interval at which the hosts known in the store are read.
HOSTS_INTERVAL_S = 20.0
# Records of departed hosts that are removed in one exchange.
MAX_REMOVALS = 10


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
    contact : callable
        Called with the IP addresses of hosts that the store has made known.
    """

    def __init__(
        self,
        *,
        this_host: HostAddress,
        store: Store,
        peer_table: PeerTable,
        ignored: IgnoredObjects,
        clock: Callable[[], float],
        contact: Callable[[Sequence[str]], None],
    ) -> None:
        self._this_host = this_host
        self._store = store
        self._peer_table = peer_table
        self._ignored = ignored
        self._clock = clock
        self._contact = contact
        self._departed = DepartedHosts()
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
            records = read_hosts(self._store, self._ignored)
            self._accept(records)
            self._remove_departed(records)
        except StoreError as error:
            write_log_entry(log, HostExchangeFailed(error=str(error)))

    def _register(self) -> None:
        if self._is_registered:
            return
        host = self._this_host
        spec = {"data_centre": host.data_centre, "ip": host.ip}
        self._store.put(HOSTS, host.name, spec)
        self._is_registered = True

    def _accept(self, records: Sequence[HostRecord]) -> None:
        """Make the recorded hosts known, and find out whether this one is recorded."""
        now, own = self._clock(), self._this_host
        # Another host may have taken this one for departed.
        self._is_registered = any(
            (record.name, record.ip) == (own.name, own.ip) for record in records
        )
        added = [
            record.ip
            for record in records
            if self._peer_table.add_recorded(*record, now)
        ]
        if added:
            self._contact(added)

    def _remove_departed(self, records: Sequence[HostRecord]) -> None:
        now, own = self._clock(), self._this_host
        live = {host.name for host in self._peer_table.list_live(now)} | {own.name}
        recorded = {record.name: record for record in records}
        self._departed.accept_list(recorded, live, now)
        if self._peer_table.list_collectors(own.data_centre, now)[0] != own.name:
            return
        removable = [
            name
            for name in self._departed.list_departed(now)
            if self._is_responsible(recorded[name].data_centre, now)
        ]
        for name in removable[:MAX_REMOVALS]:
            self._store.delete(HOSTS, name)
            write_log_entry(log, HostRecordRemoved(name=name))

    def _is_responsible(self, data_centre: str, now: float) -> bool:
        """Return whether this data centre removes the records of one.

        Each its own; those of one without live hosts the first in order.
        """
        own, others = self._this_host.data_centre, self._peer_table
        live = others.list_live_data_centres(now)
        return data_centre == own or (
            data_centre not in live and own == min([own, *live])
        )
