"""Errors that no code expects: logged with their trace, and counted by type."""

import traceback
from pathlib import Path

from logbook import Logger

from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.models.log_entries.requests import UnexpectedError

log = Logger(__name__)

# Innermost calls of a trace that are logged.
MAX_TRACE_CALLS = 12


def record_unexpected_error(
    error: Exception, *, metrics: GatewayMetrics, request: str = "", server: str = ""
) -> None:
    """Log and count an error that was raised while a request was served.

    The text of the error is left out: it may quote what the caller sent.

    Parameters
    ----------
    request, server : str
        Identifier of the request, and the server at which it was tried last.
    """
    kind = type(error).__name__
    metrics.unexpected_errors.labels(kind).inc()
    entry = UnexpectedError(
        request=request, server=server, error=kind, trace=format_trace(error)
    )
    write_log_entry(log, entry)


def format_trace(error: BaseException) -> list[str]:
    """Return the calls that led to an error, the innermost last, without values."""
    calls = traceback.extract_tb(error.__traceback__)[-MAX_TRACE_CALLS:]
    return [f"{Path(x.filename).name}:{x.lineno} {x.name}" for x in calls]
