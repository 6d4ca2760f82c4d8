"""Writes recalls to the platform that were given while it was unavailable."""

from collections.abc import Callable
from typing import Any

import gevent
from logbook import Logger

from rosemarystream._internal.decisions.membership import Membership
from rosemarystream._internal.decisions.recalls import Recalls
from rosemarystream._internal.exceptions import PlatformError
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import RecallSetsLearned
from rosemarystream._internal.operators.publisher import Publisher

log = Logger(__name__)

CHECK_SECONDS = 1.0
WRITER_COUNT = 1


class RecallKeeper(Service):
    """Retries writing the recalls until the platform is known to store them.

    One delegate host per data centre does this; hosts whose peer lists differ may
    choose more than one, which is harmless because sets are merged.

    Parameters
    ----------
    kernel, membership, recalls : Kernel and Service
        Recalls in force, and the choice of the host that writes them.
    publisher : Publisher
        Merges recall sets into the platform's object.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "recall_keeper"

    def __init__(
        self,
        *,
        kernel: Kernel,
        membership: Membership,
        recalls: Recalls,
        publisher: Publisher,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._membership = membership
        self._recalls = recalls
        self._publisher = publisher
        self._clock = clock
        self._stored_digest = recalls.digest
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the loop that stores the recalls."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the loop."""
        if self._loop is not None:
            self._loop.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_SECONDS)
            is_stored = self._recalls.digest == self._stored_digest
            if not is_stored and self._membership.is_delegate("recalls", WRITER_COUNT):
                self._store_recalls()

    def _store_recalls(self) -> None:
        digest = self._recalls.digest
        try:
            stored = self._publisher.merge_recalls(self._recalls.sets)
        except PlatformError as error:
            log.notice("storing the recalls failed, will retry: {}", error)
            return
        self._stored_digest = digest
        self._kernel.post(RecallSetsLearned(sets=stored), self._clock())

    def dump(self) -> dict[str, Any]:
        """Return whether the platform stores all recalls."""
        return {"stored": self._recalls.digest == self._stored_digest}
