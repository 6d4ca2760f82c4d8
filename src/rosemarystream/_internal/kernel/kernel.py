"""The micro-kernel: finds services by name and routes events between them."""

from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any, TypeVar

from rosemarystream._internal.kernel.service import Service

ServiceT = TypeVar("ServiceT", bound=Service)

MAX_EVENTS_PER_POST = 100_000


def _do_nothing() -> None:
    return


class Kernel:
    """Registry of services and router of typed events.

    The kernel has no clock and no I/O of its own: the caller of `post` and
    `expire` says what time it is.

    Parameters
    ----------
    on_change : callable
        Called after every delivery; deadlines may have moved.
    """

    def __init__(self, *, on_change: Callable[[], None] = _do_nothing) -> None:
        self._on_change = on_change
        self._services: dict[str, Service] = {}
        self._handlers: dict[type, list[Service]] = defaultdict(list)
        self._queue: deque[Any] = deque()
        self._is_delivering = False

    def register(self, service: Service) -> None:
        """Add a service under its name; names are unique."""
        if service.name in self._services:
            raise ValueError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service
        for event_type in service.handles:
            self._handlers[event_type].append(service)

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the service of that name, checked against its type."""
        service = self._services[name]
        if not isinstance(service, kind):
            raise TypeError(f"service {name!r} is no {kind.__name__}")
        return service

    def start(self) -> None:
        """Start all services in the order of their registration."""
        for service in self._services.values():
            service.start()

    def stop(self) -> None:
        """Stop all services in reverse order."""
        for service in reversed(self._services.values()):
            service.stop()

    def post(self, event: Any, now: float) -> None:
        """Deliver an event and everything that follows from it.

        A post from inside a handler is appended to the running delivery, so
        handlers never nest.
        """
        self._queue.append(event)
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            self._drain(now)
        finally:
            self._is_delivering = False
        self._on_change()

    def notify(self) -> None:
        """Say that a service was called directly; deadlines may have moved."""
        self._on_change()

    def _drain(self, now: float) -> None:
        for _ in range(MAX_EVENTS_PER_POST):
            if not self._queue:
                return
            event = self._queue.popleft()
            for service in self._handlers[type(event)]:
                self._queue.extend(service.handle(event, now))
        self._queue.clear()
        raise RuntimeError("an event loop between services did not settle")

    def expire(self, now: float) -> None:
        """Let every service whose deadline has passed do what is due."""
        for service in self._services.values():
            deadline = service.next_deadline()
            if deadline is None or deadline > now:
                continue
            for event in service.expire(now):
                self.post(event, now)

    def next_deadline(self) -> float | None:
        """Earliest deadline of all services, or None."""
        deadlines = [
            deadline
            for service in self._services.values()
            if (deadline := service.next_deadline()) is not None
        ]
        return min(deadlines, default=None)

    def dump(self) -> dict[str, Any]:
        """Return the state of every service by name."""
        return {name: service.dump() for name, service in self._services.items()}
