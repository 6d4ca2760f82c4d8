"""``rosemarystream trace``: what happened to a request, from the logs."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from rosemarystream._internal.cli.base_command import (
    EXIT_FAILED,
    EXIT_OK,
    BaseCommand,
    print_json,
)
from rosemarystream._internal.operators.tracing import (
    LoggedEntry,
    Trace,
    trace_request,
)

HEADER_KEYS = ("time", "level", "host", "logger", "message", "request")


@cappa.command(
    name="trace",
    help="Show from the logs of all hosts what happened to a request.",
    description="Example: rosemarystream trace 7f3a19 --logs host-1.log host-2.log",
)
@dataclass(kw_only=True)
class TraceCommand(BaseCommand):
    """Orders the log records of a request and sums them up."""

    request: Annotated[str, cappa.Arg(help="Identifier of the request.")]
    logs: Annotated[
        list[Path], cappa.Arg(long="--logs", num_args=-1, help="Log files of hosts.")
    ]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def run(self) -> int:
        """Print the trace; exit code 1 if the logs hold no record of the request."""
        trace = trace_request(self.request, self.logs)
        if self.json:
            print_json(
                {
                    "request": trace.request,
                    "summary": trace.summary,
                    "lines": [entry.raw for entry in trace.entries],
                    "context": [entry.raw for entry in trace.context],
                }
            )
        else:
            print("\n".join(format_trace(trace)))
        return EXIT_OK if trace.entries else EXIT_FAILED


def format_trace(trace: Trace) -> list[str]:
    """Return a trace as lines of text, the summary first."""
    text = [trace.summary]
    if trace.entries:
        text += ["", "Lines of the request:", *map(_format_entry, trace.entries)]
    if trace.context:
        text += ["", "Around it on the same hosts:", *map(_format_entry, trace.context)]
    return text


def _format_entry(entry: LoggedEntry) -> str:
    fields = {
        key: value
        for key, value in entry.raw.items()
        if key not in HEADER_KEYS and value not in (None, "", [])
    }
    shown = " ".join(
        f"{key}={msgspec.json.encode(value).decode()}" for key, value in fields.items()
    )
    return f"  {entry.time} {entry.host} {entry.message}: {shown}"
