"""An attempt that counts as load of its server while it lasts."""

from contextlib import ExitStack

from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.gateway.attempt import Attempt
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.platform.headers import AnswerHead


class CountedAttempt:
    """Counts an attempt from its start until it is closed.

    Attributes
    ----------
    attempt, placement : Attempt, Placement
        The attempt, and the decision on its server.
    head : AnswerHead or None
        Head of the answer; None until it has been read.
    """

    def __init__(
        self, *, attempt: Attempt, placement: Placement, router: Router
    ) -> None:
        self.attempt = attempt
        self.placement = placement
        self.head: AnswerHead | None = None
        self._router = router
        self._ends = ExitStack()
        self._is_prefilling = False

    @property
    def endpoint(self) -> Endpoint:
        """The server."""
        return self.placement.endpoint

    def begin(self) -> None:
        """Count the attempt."""
        self._ends.callback(self.attempt.close)
        self._router.begin(self.endpoint)
        self._ends.callback(self._router.end, self.endpoint)
        self._router.begin_prefill(self.placement, self.attempt.call)
        self._is_prefilling = True
        self._ends.callback(self.end_prefill)

    def end_prefill(self) -> None:
        """Stop counting the prompt tokens that the server has to prefill."""
        if self._is_prefilling:
            self._is_prefilling = False
            self._router.end_prefill(self.placement)

    def close(self) -> None:
        """Close the connection if it is still open, and stop counting."""
        self._ends.close()
