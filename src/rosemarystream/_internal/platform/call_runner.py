"""Runs the object reads and writes that the decision services request."""

from collections.abc import Callable
from typing import Any

import gevent

from rosemarystream._internal.exceptions import PlatformError, VersionConflictError
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.models.events import (
    ObjectCallFailed,
    ObjectConflict,
    ObjectRead,
    ObjectWritten,
    ReadObject,
    WriteObject,
)
from rosemarystream._internal.platform.client import PlatformClient


class PlatformCallRunner(Service):
    """Runs each platform call in its own greenlet and posts exactly one result.

    Parameters
    ----------
    kernel : Kernel
        Receives the result events.
    client : PlatformClient
        Makes the calls.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "platform_caller"
    handles = (ReadObject, WriteObject)

    def __init__(
        self,
        *,
        kernel: Kernel,
        client: PlatformClient,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._client = client
        self._clock = clock
        self._running = 0

    def handle(self, event: ReadObject | WriteObject, now: float) -> tuple[()]:
        """Start a platform call in a new greenlet."""
        gevent.spawn(self._call, event)
        return ()

    def _call(self, event: ReadObject | WriteObject) -> None:
        self._running += 1
        try:
            result = self._exchange(event)
        finally:
            self._running -= 1
        self._kernel.post(result, self._clock())

    def _exchange(self, event: ReadObject | WriteObject) -> Any:
        try:
            if isinstance(event, ReadObject):
                stored = self._client.read(event.kind, event.name)
                return ObjectRead(event.tag, *stored)
            written = self._client.write(
                event.kind, event.name, event.value, expected=event.expected
            )
            return ObjectWritten(event.tag, *written)
        except VersionConflictError:
            return ObjectConflict(event.tag)
        except PlatformError:
            return ObjectCallFailed(event.tag)

    def dump(self) -> dict[str, Any]:
        """Return the number of calls in progress."""
        return {"running": self._running}
