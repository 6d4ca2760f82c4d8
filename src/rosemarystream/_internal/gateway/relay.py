"""Serves callers' requests and logs the outcome of each."""

from collections.abc import Callable
from typing import Any

from logbook import Logger

from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.answer_writer import AnswerWriter
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.crash_reporter import CrashReporter
from rosemarystream._internal.gateway.exchange import Exchange
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.listener import Request
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.request_errors import RequestEndedError
from rosemarystream._internal.gateway.route_lookup import RouteLookup
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.unexpected_errors import (
    record_unexpected_error,
)
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.log_entries import RequestEnded
from rosemarystream._internal.platform.headers import decode_call

log = Logger(__name__)


class Relay:
    """Serves callers' requests.

    Parameters
    ----------
    router : Router
        Chooses the servers and records whether they answer.
    blocks : PromptBlocks
        Prompt parts whose requests are rejected.
    gate : LimitGate
        Permits requests to servers that limit them.
    """

    def __init__(
        self,
        *,
        router: Router,
        pool: ConnectionPool,
        gate: LimitGate,
        blocks: PromptBlocks,
        clock: Callable[[], float],
    ) -> None:
        self._router = router
        self._pool = pool
        self._gate = gate
        self._blocks = blocks
        self._crashes = CrashReporter(
            blocks=blocks, pool=pool, router=router, clock=clock
        )
        self._routes = RouteLookup(replica=router.replica, clock=clock)
        self._clock = clock
        self._ends_at: float | None = None

    def end_at(self, deadline: float) -> None:
        """Set when this host stops; requests that may last longer are refused."""
        self._ends_at = deadline

    def serve(self, request: Request, answer: AnswerWriter) -> None:
        """Serve one request and log its outcome."""
        call = decode_call(request.method, request.target, request.headers)
        exchange = Exchange(
            call=call,
            request=request,
            answer=answer,
            routes=self._routes,
            router=self._router,
            pool=self._pool,
            gate=self._gate,
            blocks=self._blocks,
            crashes=self._crashes,
            clock=self._clock,
            ends_at=self._ends_at,
        )
        outcome = "gone"
        try:
            outcome = exchange.run()
        except RequestEndedError as error:
            outcome = error.kind.value
            exchange.reason = str(error)
            if answer.has_begun:
                answer.is_closing = True
            else:
                answer.send_error(
                    error.kind, str(error), retry_after_s=error.retry_after
                )
        except Exception as error:
            outcome = ErrorKind.INTERNAL.value
            exchange.reason = f"unexpected {type(error).__name__}"
            record_unexpected_error(
                error,
                metrics=self._router.metrics,
                request=call.request_id,
                server=exchange.tried[-1] if exchange.tried else "",
            )
            raise
        finally:
            self._log_ended(call, exchange, answer, outcome)

    def _log_ended(
        self, call: Call, exchange: Exchange, answer: AnswerWriter, outcome: str
    ) -> None:
        duration_s = self._clock() - exchange.received_at
        first_s = exchange.first_event_s
        self._router.metrics.count_request(outcome, duration_s, first_s)
        entry = RequestEnded(
            request=call.request_id,
            route=exchange.route.name if exchange.route else None,
            service=exchange.service,
            workspace=exchange.workspace,
            outcome=outcome,
            status=answer.status,
            ms=_round_ms(duration_s),
            first_ms=None if first_s is None else _round_ms(first_s),
            wait_ms=None if call.wait_s is None else _round_ms(call.wait_s),
            rank=exchange.rank,
            priority=exchange.priority,
            tried=exchange.tried,
            sends=exchange.sends,
            limited=exchange.limited,
            version=self._router.replica.version,
            revision=self._router.replica.revision,
            prompt=call.format_prompt(),
            reason=exchange.reason,
            **_describe_placement(exchange.placement),
        )
        write_log_entry(log, entry)


def _round_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _describe_placement(placement: Placement | None) -> dict[str, Any]:
    if placement is None:
        return {}
    return {
        "server": placement.endpoint.name,
        "home": placement.home,
        "home_requests": placement.home_requests,
        "home_reading": placement.home_prefill,
        "requests": placement.requests,
        "bound": placement.bound,
        "reading": placement.prefill,
        "unread": placement.uncached_tokens,
        "source": placement.source.name if placement.source else None,
        "slowness": round(placement.slowness, 2),
        "counts_age_ms": _round_ms(placement.counts_age_s),
    }
