"""Names of the users' platform occur in the adapter only."""

import re
from pathlib import Path

import rosemarystream

INTERNAL = Path(rosemarystream.__file__).parent / "_internal"
NAMES = re.compile(
    r"x-rosemarystream-|api-key|kv-from|kv-fetch|weighted-clusters|slo-ms|"
    r"max-attempts|non_idempotent|path-prefix|v1/objects",
    re.IGNORECASE,
)
# Packages of the entry host, without the adapter.
FOLDERS = ("gateway", "decisions", "models", "utils", "kernel")


def test_platform_names_occur_in_the_adapter_only():
    found = [
        f"{path.relative_to(INTERNAL)}: {match.group()}"
        for folder in FOLDERS
        for path in (INTERNAL / folder).rglob("*.py")
        for match in NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_the_search_finds_such_names():
    assert NAMES.search((INTERNAL / "platform" / "headers.py").read_text())
