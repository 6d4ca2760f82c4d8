from pathlib import Path

from rosemarystream._internal.exceptions import ANSWERS, ErrorKind, Execution
from rosemarystream._internal.utils.error_table import format_error_table

PAGE = Path(__file__).parents[2] / "docs" / "errors.md"


def test_every_kind_has_one_answer():
    assert set(ANSWERS) == set(ErrorKind)


def test_error_page_contains_the_error_table():
    assert format_error_table() in PAGE.read_text()


def test_refusals_before_dispatch_say_not_run():
    for kind in ("overloaded", "deadline", "no_backend", "not_owner", "leaving"):
        assert ANSWERS[ErrorKind(kind)].execution is Execution.NOT_RUN
    for kind in ("outcome_unknown", "already_claimed"):
        assert ANSWERS[ErrorKind(kind)].execution is Execution.UNKNOWN
