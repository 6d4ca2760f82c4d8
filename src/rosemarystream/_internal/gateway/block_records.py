"""Blocked prompt parts in the store, which outlast the hosts that know them."""

import time
from collections.abc import Callable
from typing import Any

import gevent
from logbook import Logger

from rosemarystream._internal.decisions.prompt_blocks import Block, PromptBlocks
from rosemarystream._internal.decisions.prompt_parts import format_part, parse_part
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.store_watches import StoreWatch
from rosemarystream._internal.models.log_entries.store import (
    BlockNotStored,
    BlockRecordInvalid,
)
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.platform.documents import DocumentError
from rosemarystream._internal.platform.records import BlockRecord, decode_block_record
from rosemarystream._internal.platform.store import BLOCKED_PARTS, Store
from rosemarystream._internal.platform.store_answers import StoredObject, StoreError

log = Logger(__name__)

# Interval at which blocks are written that the store doesn't have yet.
WRITE_INTERVAL_S = 0.25
WRITE_RETRY_S = 1.0
# Most blocks that are written each time, as after the store has lost all of them.
WRITES_PER_INTERVAL = 5
# Time around the end of a block in which its record is not changed. The clocks of hosts
# differ, and a record that is removed too early lifts the block.
REMOVAL_MARGIN_S = 30.0
_MS_PER_S = 1000


class BlockWatch(StoreWatch):
    """Watches the blocked prompt parts, and writes those that hosts have found."""

    kind = BLOCKED_PARTS
    loop = "block_watch"

    def __init__(
        self,
        *,
        blocks: PromptBlocks,
        writer: Store,
        read_epoch_s: Callable[[], float] = time.time,
        **arguments: Any,
    ) -> None:
        super().__init__(**arguments)
        self._blocks = blocks
        self._writer = writer
        self._read_epoch_s = read_epoch_s
        self._stored_until: dict[int, float] = {}
        self._write_task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to watch, and to write."""
        super().start()
        self._write_task = self._supervisor.start_loop(
            "block_writes", self._write_blocks
        )

    def stop(self) -> None:
        """Stop watching and writing."""
        super().stop()
        if self._write_task is not None:
            self._write_task.kill()
        self._writer.close()

    def _accept_listing(self, objects: list[StoredObject], position: Position) -> None:
        # What the store has lost is written again.
        self._stored_until.clear()
        for item in objects:
            self._accept_safely(item, False, position)

    def _accept(self, item: StoredObject, deleted: bool, position: Position) -> bool:
        try:
            part = parse_part(item.name)
            if deleted:
                self._stored_until.pop(part, None)
                self._blocks.lift_block(part, self._clock())
            else:
                self._accept_record(part, decode_block_record(item))
            self._ignored.remove(self.kind, item.name)
        except (DocumentError, ValueError) as error:
            self._ignore(item, error)
        return False

    def _ignore(self, item: StoredObject, error: Exception) -> None:
        if self._ignored.add(self.kind, item.name, item.position, str(error)):
            entry = BlockRecordInvalid(name=item.name, error=str(error))
            write_log_entry(log, entry)

    def _accept_record(self, part: int, record: BlockRecord) -> None:
        now = self._clock()
        offset_s = self._read_epoch_s() - now
        began_at = int(record.began_ms) / _MS_PER_S - offset_s
        until = int(record.until_ms) / _MS_PER_S - offset_s
        self._stored_until[part] = until
        self._blocks.accept_block(Block(part, began_at, until), now, is_forwarded=True)

    def _write_blocks(self) -> None:
        self._writer.close()
        while True:
            gevent.sleep(WRITE_INTERVAL_S)
            if not self._has_blocks() or not self._is_watcher():
                continue
            try:
                self._write_missing()
                self._remove_ended()
            except StoreError as error:
                write_log_entry(log, BlockNotStored(error=str(error)))
                gevent.sleep(WRITE_RETRY_S)

    def _has_blocks(self) -> bool:
        return bool(self._blocks.list_blocks() or self._stored_until)

    def _write_missing(self) -> None:
        now = self._clock()
        missing = [
            block
            for block in self._blocks.list_blocks()
            if self._stored_until.get(block.part, now) <= now
        ]
        for block in missing[:WRITES_PER_INTERVAL]:
            if block.part in self._stored_until:
                self._writer.put(*self._encode(block))
            else:
                # The first watcher that writes it wins; the others read it.
                self._writer.create(*self._encode(block))
            self._stored_until[block.part] = block.until

    def _encode(self, block: Block) -> tuple[str, str, dict[str, str]]:
        """Return kind, name and content of the record of a block."""
        offset_s = self._read_epoch_s() - self._clock()
        spec = {
            "began_ms": str(int((block.began_at + offset_s) * _MS_PER_S)),
            "until_ms": str(int((block.until + offset_s) * _MS_PER_S)),
        }
        return BLOCKED_PARTS, format_part(block.part), spec

    def _remove_ended(self) -> None:
        """Remove the records of blocks that have expired or been lifted."""
        now = self._clock()
        blocked = {block.part for block in self._blocks.list_blocks()}
        for part, until in [*self._stored_until.items()]:
            is_lifted = part not in blocked and now < until - REMOVAL_MARGIN_S
            if is_lifted or now >= until + REMOVAL_MARGIN_S:
                self._writer.delete(BLOCKED_PARTS, format_part(part))
                self._stored_until.pop(part, None)
