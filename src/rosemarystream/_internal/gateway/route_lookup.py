"""Finds the route and the workspace of a request in the configuration in force."""

from collections.abc import Callable

import gevent

from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.request_errors import RequestEndedError
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.route import FleetConfiguration, Route, Workspace

# Delay advised to callers of a host that has no configuration yet.
NOT_READY_RETRY_S = 0.05
# How long a request waits for the configuration on a host that has just started, and
# the part of the caller's own time that it may take.
START_WAIT_S = 0.5
START_WAIT_SHARE = 0.25
START_POLL_S = 0.02


class RouteLookup:
    """Looks routes and workspaces up, waiting for the first configuration.

    Parameters
    ----------
    may_serve : callable
        Returns whether this host knows what else it needs to serve requests.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        clock: Callable[[], float],
        may_serve: Callable[[], bool] = lambda: True,
    ) -> None:
        self._may_serve = may_serve
        self._replica = replica
        self._clock = clock

    def resolve(self, call: Call, received_at: float) -> tuple[Route, Workspace | None]:
        """Return the route of a request, and its workspace if the route needs one.

        Raises
        ------
        RequestEndedError
            If the configuration doesn't allow the request, or there is none yet.
        """
        configuration = self._await_configuration(call, received_at)
        if configuration is None or not self._may_serve():
            lacking = "evacuations" if configuration else "configuration"
            raise RequestEndedError(
                ErrorKind.NOT_READY,
                f"this host knows no {lacking} yet",
                retry_after_s=NOT_READY_RETRY_S,
            )
        if not call.request_id:
            raise RequestEndedError(ErrorKind.BAD_REQUEST, "the request has no id")
        route = configuration.find_route(call.host, call.path)
        if route is None:
            raise RequestEndedError(ErrorKind.NOT_FOUND, "no route for host and path")
        if route.is_anonymous or not configuration.requires_key:
            return route, None
        workspace = configuration.workspaces.get(call.key) if call.key else None
        if workspace is None:
            raise RequestEndedError(ErrorKind.UNAUTHORIZED, "no workspace has this key")
        return route, workspace

    def _await_configuration(
        self, call: Call, received_at: float
    ) -> FleetConfiguration | None:
        """Return the configuration, waiting briefly on a host that just started."""
        deadline = received_at + START_WAIT_S
        if call.wait_s is not None:
            deadline = min(deadline, received_at + START_WAIT_SHARE * call.wait_s)
        while not self._is_complete() and self._clock() < deadline:
            gevent.sleep(START_POLL_S)
        return self._replica.configuration

    def _is_complete(self) -> bool:
        return self._replica.is_complete and self._may_serve()
