"""Parses, validates and compares planners' sheets.

A sheet is CSV with one section per kind of row; see docs/operators/sheet.md.
"""

import csv
import io
import re
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from rosemarystream._internal.exceptions import SheetError
from rosemarystream._internal.models.configuration import (
    Pool,
    PoolKind,
    Rank,
    Recall,
    RecallKind,
    Sheet,
    Workspace,
)

MAX_ROWS = 100_000
MAX_MISTAKES = 100
_SECTION = re.compile(r"^\[(\w+)\]$")
_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_TARGET = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}(@[A-Za-z0-9._-]{1,62})?$")
_SHA256 = re.compile(r"^[0-9a-f]{64}$")
_VERSIONED_KINDS = (RecallKind.MODEL, RecallKind.ADAPTER)


class Mistake(NamedTuple):
    """Mistake in a sheet; line and column are counted from 1."""

    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.message}"


class Row(NamedTuple):
    """Row of a sheet with the number of its line."""

    line: int
    cells: list[str]


class SectionFormat(NamedTuple):
    """Format of a section.

    Attributes
    ----------
    columns : dict
        Parser of the cells of each column, by the column's name.
    row_type : callable
        Named tuple that a row is turned into.
    """

    columns: dict[str, Callable[[str], Any]]
    row_type: Callable[..., Any]


def _read_name(text: str) -> str:
    if not _NAME.match(text):
        raise ValueError("must be a name of letters, digits, '.', '_' and '-'")
    return text


def _read_optional_name(text: str) -> str:
    return _read_name(text) if text else ""


def _read_target(text: str) -> str:
    if not _TARGET.match(text):
        raise ValueError("must be a server's name or NAME@VERSION")
    return text


def _read_sha256(text: str) -> str:
    if not _SHA256.match(text):
        raise ValueError("must be the SHA-256 of the key, 64 hex digits")
    return text


def _read_count(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= 10**9:
        raise ValueError("must be a whole number from 1")
    return int(text)


def _make_number_reader(low: float, high: float) -> Callable[[str], float]:
    def read(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not low <= value <= high:
            raise ValueError(f"must be a number from {low:g} to {high:g}")
        return value

    return read


def _make_choice_reader(choices: Any) -> Callable[[str], Any]:
    def read(text: str) -> Any:
        try:
            return choices(text)
        except ValueError:
            names = ", ".join(choice.value for choice in choices)
            raise ValueError(f"must be one of {names}") from None

    return read


def _read_bool(text: str) -> bool:
    if text not in ("yes", "no"):
        raise ValueError("must be yes or no")
    return text == "yes"


SECTIONS: dict[str, SectionFormat] = {
    "ranks": SectionFormat(
        {
            "name": _read_name,
            "order": _read_count,
            "minimum_share": _make_number_reader(0, 1),
            "target_ms": _read_count,
            "worth": _make_number_reader(0, 1e9),
            "reserve": _make_number_reader(0, 0.5),
        },
        Rank,
    ),
    "pools": SectionFormat(
        {
            "name": _read_name,
            "kind": _make_choice_reader(PoolKind),
            "model": _read_optional_name,
            "version": _read_optional_name,
            "load_multiple": _make_number_reader(1, 100),
            "slots": _read_count,
            "checks_fence": _read_bool,
        },
        Pool,
    ),
    "workspaces": SectionFormat(
        {
            "name": _read_name,
            "key_sha256": _read_sha256,
            "highest_rank": _read_name,
            "weight": _make_number_reader(0.001, 1e6),
        },
        Workspace,
    ),
    "recalls": SectionFormat(
        {
            "recall_id": _read_name,
            "kind": _make_choice_reader(RecallKind),
            "target": _read_target,
        },
        Recall,
    ),
}


def parse_sheet(text: str, *, operator: str) -> Sheet:
    """Parse and validate a sheet; one mistake rejects all of it.

    Parameters
    ----------
    text : str
        Sheet as exported, in CSV.
    operator : str
        Name of the operator recorded with the recalls of the sheet.

    Raises
    ------
    SheetError
        If there are mistakes; the message lists them with line and column, at
        most `MAX_MISTAKES`.
    """
    reader = _SheetReader(operator=operator)
    sheet = reader.read(text)
    if reader.mistakes:
        shown = sorted(reader.mistakes)[:MAX_MISTAKES]
        raise SheetError("\n".join(str(mistake) for mistake in shown))
    return sheet


class _SheetReader:
    """Reads one sheet and collects its rows and its mistakes."""

    def __init__(self, *, operator: str) -> None:
        self.mistakes: list[Mistake] = []
        self._operator = operator
        self._rows: dict[str, list[tuple[Row, Any]]] = {name: [] for name in SECTIONS}

    def read(self, text: str) -> Sheet:
        """Return the parsed sheet, which is valid only if `mistakes` is empty."""
        section: str | None = None
        columns: list[str] | None = None
        for row in self._iterate_rows(text):
            header = _SECTION.match(row.cells[0].strip())
            if header:
                section, columns = self._start_section(row, header.group(1)), None
            elif section is None:
                self._add_mistake(row.line, 1, "is in no known section")
            elif columns is None:
                columns = self._check_header(row, section)
            else:
                self._read_row(row, section, columns)
        self._check_duplicates()
        self._check_references()
        return self._make_sheet()

    def _iterate_rows(self, text: str) -> Iterator[Row]:
        reader = csv.reader(io.StringIO(text), strict=True)
        try:
            for number, cells in enumerate(reader):
                if number >= MAX_ROWS:
                    self._add_mistake(reader.line_num, 1, f"more than {MAX_ROWS} rows")
                    return
                if any(cell.strip() for cell in cells):
                    yield Row(reader.line_num, cells)
        except csv.Error as error:
            self._add_mistake(reader.line_num, 1, f"is not valid CSV: {error}")

    def _add_mistake(self, line: int, column: int, message: str) -> None:
        self.mistakes.append(Mistake(line, column, message))

    def _start_section(self, row: Row, name: str) -> str | None:
        if name not in SECTIONS:
            known = ", ".join(SECTIONS)
            self._add_mistake(
                row.line, 1, f"unknown section {name!r}; known are {known}"
            )
            return None
        return name

    def _check_header(self, row: Row, section: str) -> list[str]:
        wanted = list(SECTIONS[section].columns)
        given = [cell.strip() for cell in row.cells]
        for column_number, name in enumerate(given, start=1):
            if name not in wanted:
                self._add_mistake(row.line, column_number, f"unknown column {name!r}")
        for name in wanted:
            if name not in given:
                self._add_mistake(row.line, 1, f"column {name!r} is missing")
        return given

    def _read_row(self, row: Row, section: str, columns: list[str]) -> None:
        section_format = SECTIONS[section]
        if len(row.cells) != len(columns):
            message = f"has {len(row.cells)} cells, the header has {len(columns)}"
            self._add_mistake(row.line, len(row.cells), message)
            return
        values: dict[str, Any] = {}
        for column_number, (name, cell) in enumerate(
            zip(columns, row.cells, strict=True), start=1
        ):
            if name not in section_format.columns:
                continue
            try:
                values[name] = section_format.columns[name](cell.strip())
            except ValueError as error:
                self._add_mistake(
                    row.line, column_number, f"{name} {error}, not {cell.strip()!r}"
                )
        if section == "recalls":
            values["operator"] = self._operator
        if len(values) == len(section_format.row_type._fields):
            self._rows[section].append((row, section_format.row_type(**values)))

    def _check_duplicates(self) -> None:
        for rows in self._rows.values():
            seen: dict[str, int] = {}
            for row, value in rows:
                line = seen.setdefault(value[0], row.line)
                if line != row.line:
                    message = f"{value[0]!r} is already on line {line}"
                    self._add_mistake(row.line, 1, message)

    def _check_references(self) -> None:
        ranks = {rank.name for _, rank in self._rows["ranks"]}
        for row, workspace in self._rows["workspaces"]:
            if workspace.highest_rank not in ranks:
                message = f"rank {workspace.highest_rank!r} is not on the sheet"
                self._add_mistake(row.line, 3, message)
        shares = sum(rank.minimum_share for _, rank in self._rows["ranks"])
        if shares > 1:
            line = self._rows["ranks"][0][0].line
            self._add_mistake(line, 3, "the minimum shares add up to more than 1")
        for row, pool in self._rows["pools"]:
            if pool.kind is PoolKind.MODEL and not (pool.model and pool.version):
                self._add_mistake(
                    row.line, 3, "a model pool needs a model and a version"
                )
        for row, recall in self._rows["recalls"]:
            if recall.kind in _VERSIONED_KINDS and "@" not in recall.target:
                self._add_mistake(row.line, 3, "must name a version: NAME@VERSION")

    def _make_sheet(self) -> Sheet:
        values = {
            name: tuple(value for _, value in rows) for name, rows in self._rows.items()
        }
        return Sheet(**values)


class SheetChange(NamedTuple):
    """Difference between the sheet in force and a new one.

    Attributes
    ----------
    section : str
        Section that the row belongs to.
    name : str
        Name of the row.
    change : str
        ``add``, ``change`` or ``remove``.
    """

    section: str
    name: str
    change: str


def compare_sheets(current: Sheet, wanted: Sheet) -> list[SheetChange]:
    """Return the changes that applying a sheet would make.

    Recalls are only added: a sheet that lacks a recall does not lift it.
    """
    changes = []
    for section in Sheet._fields:
        before = {row[0]: row for row in getattr(current, section)}
        after = {row[0]: row for row in getattr(wanted, section)}
        for name in sorted(before.keys() | after.keys()):
            change = _classify_change(section, before.get(name), after.get(name))
            if change is not None:
                changes.append(SheetChange(section, name, change))
    return changes


def _classify_change(section: str, before: Any, after: Any) -> str | None:
    if before is None:
        return "add"
    if section == "recalls":
        return None
    if after is None:
        return "remove"
    return None if before == after else "change"
