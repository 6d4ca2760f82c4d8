"""Generates the operators' pages on log records and metrics from the code.

``python -m rosemarystream._internal.operators.pages docs/operators`` writes them.
"""

import inspect
import re
import sys
from pathlib import Path

import msgspec
from logbook import get_level_name

from rosemarystream._internal.gateway.metrics import GatewayMetrics
from rosemarystream._internal.models.log_entries.base import LogEntry
from rosemarystream._internal.models.log_entries.catalogue import LOG_ENTRIES

LOGS_HEADER = """# Log records of an entry host

Generated from `models/log_entries/`. JSON on standard output, one object per
line. Each record has `time` (date and time), `level`, `host`, `logger` and
`message`, and the fields listed below for its message. Records of a kind above its
limit per second are dropped and counted; the counts are logged in a record of
their own. If standard output is read too slowly, records are dropped; requests
never wait for it.
"""

METRICS_HEADER = """# Metrics of an entry host

Generated from `gateway/metrics.py`. `GET /metrics` on `host.metrics_port`, in the
Prometheus text format; with `metrics.statsd` set also sent there every ten
seconds as `rosemarystream.HOST.NAME.LABEL`. What to watch is described
in [OPERATIONS](../OPERATIONS.md). `GET /v1/state` on the same port is the state dump.

| metric | kind | labels | meaning |
|---|---|---|---|
"""


def describe_log_entries() -> str:
    """Return the page that describes all log records."""
    return "\n".join([LOGS_HEADER, *map(_describe_entry, LOG_ENTRIES.values())])


def _describe_entry(kind: type[LogEntry]) -> str:
    text = inspect.cleandoc(kind.__doc__ or "")
    summary, _, fields = text.partition("Attributes\n----------\n")
    level = get_level_name(kind.level).lower()
    return "\n".join(
        [
            f"## {kind.message}",
            "",
            summary.strip(),
            "",
            f"Level {level}, at most {kind.limit_per_s} a second. "
            f"Fields: {_list_fields(kind)}.",
            "",
            *_describe_fields(fields),
        ]
    )


def _list_fields(kind: type[LogEntry]) -> str:
    names = [f"`{field.name}`" for field in msgspec.structs.fields(kind)]
    return ", ".join(names) or "none"


def _describe_fields(text: str) -> list[str]:
    """Convert the fields of a numpydoc section to lines of a Markdown list."""
    items: list[str] = []
    for line in text.splitlines():
        heading = re.match(r"(\S.*?) : (.*)", line)
        if heading:
            names = ", ".join(f"`{name}`" for name in heading.group(1).split(", "))
            items.append(f"- {names} ({heading.group(2)}):")
        elif line.strip():
            items[-1] += f" {line.strip()}"
    return [*items, ""] if items else []


def describe_metrics() -> str:
    """Return the page that describes all metrics."""
    metrics = GatewayMetrics()
    rows = []
    for family in sorted(metrics.registry.collect(), key=lambda f: f.name):
        name = f"{family.name}_total" if family.type == "counter" else family.name
        labels = ", ".join(f"`{label}`" for label in metrics.list_labels(family.name))
        rows.append(f"| `{name}` | {family.type} | {labels} | {family.documentation} |")
    return METRICS_HEADER + "\n".join(rows) + "\n"


def write_pages(folder: Path) -> None:
    """Write the generated pages into a folder."""
    (folder / "logs.md").write_text(describe_log_entries(), encoding="utf-8")
    (folder / "metrics.md").write_text(describe_metrics(), encoding="utf-8")


if __name__ == "__main__":
    write_pages(Path(sys.argv[1]))
