"""Retry budgets that limit retries to a fraction of a workspace's requests."""

from collections import OrderedDict

MAX_WORKSPACES = 50_000
INITIAL_CREDIT = 5.0
MAX_CREDIT = 20.0


class WorkspaceRetryBudget:
    """Token buckets of retries by workspace, filled by first attempts.

    Only the entry host retries, so retries of different layers never multiply.

    Parameters
    ----------
    ratio : float
        Retries allowed per first attempt.
    """

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._credits: OrderedDict[str, float] = OrderedDict()

    def earn(self, workspace: str) -> None:
        """Add the credit of one first attempt."""
        credit = self._credits.pop(workspace, INITIAL_CREDIT) + self._ratio
        self._credits[workspace] = min(MAX_CREDIT, credit)
        if len(self._credits) > MAX_WORKSPACES:
            self._credits.popitem(last=False)

    def try_spend(self, workspace: str) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        credit = self._credits.get(workspace, INITIAL_CREDIT)
        if credit < 1:
            return False
        self._credits[workspace] = credit - 1
        return True

    def __len__(self) -> int:
        return len(self._credits)
