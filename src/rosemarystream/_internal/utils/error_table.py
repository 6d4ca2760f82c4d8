"""The table of error kinds for the documentation, generated from the code."""

from rosemarystream._internal.exceptions import ANSWERS


def format_error_table() -> str:
    """Return the table of error kinds as Markdown."""
    lines = [
        "| kind | status | ran | retry | what to do next |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| `{kind}` | {answer.status} | {answer.execution} | {answer.retry} "
        f"| {answer.next_step} |"
        for kind, answer in ANSWERS.items()
    ]
    return "\n".join(lines)
