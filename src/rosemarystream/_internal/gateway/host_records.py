"""Hosts that have registered themselves in the store."""

from logbook import Logger

from rosemarystream._internal.decisions.ignored_objects import IgnoredObjects
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.models.log_entries.store import HostRecordInvalid
from rosemarystream._internal.platform.documents import DocumentError
from rosemarystream._internal.platform.records import HostRecord, decode_host_record
from rosemarystream._internal.platform.store import HOSTS, Store

log = Logger(__name__)


def read_hosts(store: Store, ignored: IgnoredObjects) -> list[HostRecord]:
    """Return the valid records of hosts in the store; an invalid one is logged.

    Raises
    ------
    StoreError
        If the store gives no usable answer.
    """
    objects = store.list(HOSTS).objects
    ignored.keep_listed(HOSTS, [(item.name, item.position) for item in objects])
    records = []
    for item in objects:
        try:
            records.append(decode_host_record(item))
        except DocumentError as error:
            if ignored.add(HOSTS, item.name, item.position, str(error)):
                entry = HostRecordInvalid(name=item.name, error=str(error))
                write_log_entry(log, entry)
    return records
