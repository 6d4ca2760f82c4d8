"""Prints result tables as Markdown and writes them as JSON."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec


def format_value(value: Any) -> str:
    """Return the text of a table cell; floats get three decimal places."""
    if isinstance(value, float):
        return f"{value:.3f}"
    return str(value)


def print_table(title: str, rows: Sequence[dict[str, Any]]) -> None:
    """Print rows, which all have the same keys, as a Markdown table."""
    print(f"\n### {title}\n")
    if not rows:
        return
    columns = list(rows[0])
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    for row in rows:
        print("| " + " | ".join(format_value(row[column]) for column in columns) + " |")


def write_json(path: Path, tables: dict[str, Any]) -> None:
    """Write all tables of a run to a JSON file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(tables), indent=2))


def find_percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies; 0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
