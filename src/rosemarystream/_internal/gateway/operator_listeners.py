"""Listeners for the operators of a host: its readiness, and its metrics and state."""

from collections.abc import Callable

from rosemarystream._internal.gateway.listener import Listener
from rosemarystream._internal.gateway.operator_answers import OperatorAnswers
from rosemarystream._internal.gateway.settings import HostSection
from rosemarystream._internal.models.route import CallerLimits


class OperatorListeners:
    """Both listeners, with the limits for operators.

    Parameters
    ----------
    host : HostSection
        Says where they listen.
    answers : OperatorAnswers
        Answers their requests.
    record_error : callable
        Called with an error that no code expects.
    """

    def __init__(
        self,
        *,
        host: HostSection,
        answers: OperatorAnswers,
        record_error: Callable[[Exception], None],
        clock: Callable[[], float],
    ) -> None:
        handlers = [
            (host.ready_address, answers.serve_readiness),
            (f"{host.ip}:{host.metrics_port}", answers.serve_metrics),
        ]
        self._listeners = [
            Listener(
                address=address,
                handler=handler,
                get_limits=CallerLimits,
                record_error=record_error,
                clock=clock,
            )
            for address, handler in handlers
        ]

    def start(self) -> None:
        """Start listening."""
        for listener in self._listeners:
            listener.start()

    def stop(self) -> None:
        """Stop listening and abort the requests in progress."""
        for listener in self._listeners:
            listener.stop()
