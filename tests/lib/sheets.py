"""Sheets as values, for tests of the decisions."""

from rosemarystream._internal.models.configuration import (
    Pool,
    PoolKind,
    Rank,
    Sheet,
    Workspace,
)

RANKS = (
    Rank("urgent", 1, 0.0, 330, 10.0, 0.1),
    Rank("standard", 2, 0.2, 1000, 3.0),
    Rank("routine", 3, 0.1, 5000, 1.0),
)


def make_sheet(*, load_multiple=1.5, slots=64, workspaces=("w1", "w2")):
    """Return a sheet with one model pool."""
    pool = Pool("lm", PoolKind.MODEL, "lm", "1", load_multiple, slots, True)
    spaces = tuple(Workspace(name, "0" * 64, "urgent", 1.0) for name in workspaces)
    return Sheet(ranks=RANKS, pools=(pool,), workspaces=spaces)
