"""The micro-kernel: a registry of services that delivers events between them."""

from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any, TypeVar

from rosemarystream._internal.kernel.service import Service

ServiceT = TypeVar("ServiceT", bound=Service)

MAX_EVENTS_PER_POST = 100_000


def _do_nothing() -> None:
    return


class Kernel:
    """Registry of services that delivers events by their type.

    The kernel has no clock and does no I/O: the caller passes the current time to
    `post` and `expire`.

    Parameters
    ----------
    on_change : callable
        Called after every delivery, because deadlines may have changed.
    """

    def __init__(self, *, on_change: Callable[[], None] = _do_nothing) -> None:
        self._on_change = on_change
        self._services: dict[str, Service] = {}
        self._handlers: dict[type, list[Service]] = defaultdict(list)
        self._queue: deque[Any] = deque()
        self._is_delivering = False

    def register(self, service: Service) -> None:
        """Add a service under its name, which has to be unique."""
        if service.name in self._services:
            raise ValueError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service
        for event_type in service.handles:
            self._handlers[event_type].append(service)

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the service of a name, after checking its type."""
        service = self._services[name]
        if not isinstance(service, kind):
            raise TypeError(f"service {name!r} is not a {kind.__name__}")
        return service

    def start(self) -> None:
        """Start all services in registration order."""
        for service in self._services.values():
            service.start()

    def stop(self) -> None:
        """Stop all services in reverse registration order."""
        for service in reversed(self._services.values()):
            service.stop()

    def post(self, event: Any, now: float) -> None:
        """Deliver an event and all events that its handlers return.

        An event posted from inside a handler is appended to the queue of the
        delivery in progress, so handlers never nest.
        """
        self._queue.append(event)
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            self._deliver_queued(now)
        finally:
            self._is_delivering = False
        self._on_change()

    def notify(self) -> None:
        """Signal that a service was called directly; deadlines may have changed."""
        self._on_change()

    def _deliver_queued(self, now: float) -> None:
        for _ in range(MAX_EVENTS_PER_POST):
            if not self._queue:
                return
            event = self._queue.popleft()
            for service in self._handlers[type(event)]:
                self._queue.extend(service.handle(event, now))
        self._queue.clear()
        raise RuntimeError(
            "event cycle between services: too many events followed from one post"
        )

    def expire(self, now: float) -> None:
        """Call `expire` of every service whose deadline has passed."""
        for service in self._services.values():
            deadline = service.next_deadline()
            if deadline is None or deadline > now:
                continue
            for event in service.expire(now):
                self.post(event, now)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of all services, or None."""
        deadlines = [
            deadline
            for service in self._services.values()
            if (deadline := service.next_deadline()) is not None
        ]
        return min(deadlines, default=None)

    def dump(self) -> dict[str, Any]:
        """Return the state dumps of all services by name."""
        return {name: service.dump() for name, service in self._services.items()}
