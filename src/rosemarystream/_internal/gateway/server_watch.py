"""Watch of the registered servers in the platform's store."""

from collections.abc import Callable
from typing import Any

from logbook import Logger

from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.store_watches import StoreWatch
from rosemarystream._internal.models.endpoint import Endpoint, ServerEntry
from rosemarystream._internal.models.log_entries.servers import (
    ServerChanged,
    ServerEntryInvalid,
    ServerRemoved,
    ServersListed,
)
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.platform.documents import (
    DocumentError,
    decode_server_entry,
    is_server_name,
)
from rosemarystream._internal.platform.store import SERVERS
from rosemarystream._internal.platform.store_answers import StoredObject

log = Logger(__name__)


class ServerWatch(StoreWatch):
    """Watches the registered servers.

    Parameters
    ----------
    on_entry : callable
        Called with each valid entry before its server is used.
    """

    kind = SERVERS
    loop = "server_watch"

    def __init__(
        self,
        *,
        on_entry: Callable[[ServerEntry], None] = lambda entry: None,
        **arguments: Any,
    ) -> None:
        super().__init__(**arguments)
        self._on_entry = on_entry

    def _accept_listing(self, objects: list[StoredObject], position: Position) -> None:
        if self.lost_at is not None:
            self._replica.begin_store_recovery(self._clock())
        decoded = [
            self._supervisor.run_step(self.loop, self._decode, item) for item in objects
        ]
        endpoints = [endpoint for endpoint in decoded if endpoint is not None]
        changed = self._replica.accept_listing(endpoints, position, self._clock())
        if changed:
            entry = ServersListed(updates=changed, revision=position.revision)
            write_log_entry(log, entry)
            self._on_change()

    def _accept(self, item: StoredObject, deleted: bool, position: Position) -> bool:
        if deleted:
            self._ignored.remove(self.kind, item.name)
            # The removal of an unknown entry is passed on, so its name has to be sound.
            changed = is_server_name(item.name) and self._replica.accept_removal(
                item.name, position
            )
            if changed:
                entry = ServerRemoved(server=item.name, revision=position.revision)
                write_log_entry(log, entry)
        else:
            endpoint = self._decode(item)
            changed = endpoint is not None and self._replica.accept_change(endpoint)
            if changed:
                entry = ServerChanged(
                    server=item.name, state=endpoint.state, revision=item.revision
                )
                write_log_entry(log, entry)
        return bool(changed)

    def _accept_end(self, position: Position) -> None:
        self._replica.advance(position)

    def _decode(self, item: StoredObject) -> Endpoint | None:
        try:
            entry = decode_server_entry(item.name, item.read_spec(), item.position)
        except DocumentError as error:
            if self._ignored.add(self.kind, item.name, item.position, str(error)):
                write_log_entry(log, ServerEntryInvalid(error=str(error)))
            return None
        self._ignored.remove(self.kind, item.name)
        self._on_entry(entry)
        return entry.endpoint
