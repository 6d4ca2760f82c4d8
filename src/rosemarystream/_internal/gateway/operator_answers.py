"""Answers to operators: readiness, the state dump and the metrics."""

from collections.abc import Callable

import msgspec

from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.gateway.request_reader import Request
from rosemarystream._internal.gateway.state import StateReport

METRICS_TYPE = b"text/plain; version=0.0.4"
JSON_TYPE = b"application/json"
STATE_TARGET = b"/v1/state"


class OperatorAnswers:
    """Answers the requests of balancers and operators.

    Parameters
    ----------
    is_ready, is_leaving : callable
        Return whether this host takes new callers, and whether it shuts down.
    """

    def __init__(
        self,
        *,
        state: StateReport,
        metrics: GatewayMetrics,
        is_ready: Callable[[], bool],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._is_ready = is_ready
        self._is_leaving = is_leaving

    def serve_readiness(self, request: Request, answer: AnswerWriter) -> None:
        """Answer with 200 if the host is ready, else with 503."""
        answer.send_whole(200 if self._is_ready() else 503, [], b"")

    def serve_metrics(self, request: Request, answer: AnswerWriter) -> None:
        """Answer with the state dump at its path, and with the metrics elsewhere."""
        if request.target == STATE_TARGET:
            dump = self._state.make_dump(
                ready=self._is_ready(), leaving=self._is_leaving()
            )
            body = msgspec.json.encode(dump)
            answer.send_whole(200, [(b"content-type", JSON_TYPE)], body)
            return
        self._metrics.set_gauges(self._state.collect_gauges())
        body = self._metrics.format_text()
        answer.send_whole(200, [(b"content-type", METRICS_TYPE)], body)
