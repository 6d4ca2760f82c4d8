"""Connections of a host to the platform's store, with one account of its eras."""

from collections.abc import Callable

from logbook import Logger

from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.models.log_entries.store import EraUnusable
from rosemarystream._internal.models.ranges import MAX_NAME_CHARS
from rosemarystream._internal.platform.era_tracker import EraFault, EraTracker
from rosemarystream._internal.platform.store import Store

log = Logger(__name__)


class StoreAccess:
    """Makes connections to the store; eras in its answers that can't be are counted.

    Parameters
    ----------
    address : str
        Address of the store.
    find_known_era : callable
        Returns the newest era that this host knows.
    """

    def __init__(
        self,
        *,
        address: str,
        clock: Callable[[], float],
        metrics: GatewayMetrics,
        find_known_era: Callable[[], int],
    ) -> None:
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._eras = EraTracker(on_fault=self._record_fault, find_known=find_known_era)

    def connect(self) -> Store:
        """Return a connection of its own for one user; it opens with its first call."""
        return Store(
            address=self._address,
            clock=self._clock,
            on_call=lambda result: self._metrics.store_calls.labels(result).inc(),
            eras=self._eras,
        )

    def _record_fault(self, fault: EraFault, value: bytes) -> None:
        self._metrics.store_eras_unusable.labels(fault).inc()
        text = value[:MAX_NAME_CHARS].decode("latin-1")
        write_log_entry(log, EraUnusable(fault=fault, value=text))
