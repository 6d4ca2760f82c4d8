"""Sheets as Python objects, for tests of the decisions."""

from bench.workloads import RANKS
from rosemarystream._internal.models.configuration import (
    Pool,
    PoolKind,
    Sheet,
    Workspace,
)


def make_sheet(*, load_multiple=1.5, slots=64, workspaces=("w1", "w2")):
    """Return a sheet with one model pool."""
    pool = Pool("lm", PoolKind.MODEL, "lm", "1", load_multiple, slots, True)
    spaces = tuple(Workspace(name, "0" * 64, "urgent", 1.0) for name in workspaces)
    return Sheet(ranks=RANKS, pools=(pool,), workspaces=spaces)
