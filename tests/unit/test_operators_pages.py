"""Operators' pages generated from the code are up to date."""

import re
from pathlib import Path

from rosemarystream._internal.operators.pages import (
    describe_log_entries,
    describe_metrics,
)

ROOT = Path(__file__).parents[2]
PAGES = ROOT / "docs" / "operators"
GATEWAY = ROOT / "src" / "rosemarystream" / "_internal" / "gateway"
REMAKE = "run python -m rosemarystream._internal.operators.pages docs/operators"


def test_page_of_log_entries_is_current():
    assert (PAGES / "logs.md").read_text(encoding="utf-8") == describe_log_entries(), (
        REMAKE
    )


def test_the_page_of_metrics_is_current():
    page = (PAGES / "metrics.md").read_text(encoding="utf-8")
    assert page == describe_metrics(), REMAKE


def test_gateway_logs_only_typed_entries():
    untyped = re.compile(r"\blog\.(debug|info|notice|warning|error|exception)\(")
    for path in GATEWAY.glob("*.py"):
        assert not untyped.search(path.read_text(encoding="utf-8")), path.name
