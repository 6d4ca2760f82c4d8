"""Finds out whether a server that broke off an answer has crashed."""

from collections.abc import Callable

import gevent
from logbook import Logger

from rosemarystream._internal.decisions.bounded_dict import BoundedDict
from rosemarystream._internal.decisions.hashing import hash_name_32
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.exceptions import ConnectError
from rosemarystream._internal.gateway.attempt_errors import is_refusal
from rosemarystream._internal.gateway.connection_pool import ConnectionPool
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.gateway.supervisor import Supervisor
from rosemarystream._internal.models.call import Call
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.log_entries.requests import ServerCrashed

log = Logger(__name__)

# Time after a close until the server is contacted: a process that ends closes its
# connections and its listening socket one after the other.
CONFIRM_DELAY_S = 0.05
# Largest number of crashed incarnations that are remembered.
MAX_CRASHED = 256


class CrashReporter:
    """Records the prompt parts of requests whose server has crashed.

    A server that closes a connection may also have cut only this answer, or something
    between has reset the connection. One that has crashed refuses new connections.
    """

    def __init__(
        self,
        *,
        blocks: PromptBlocks,
        pool: ConnectionPool,
        router: Router,
        clock: Callable[[], float],
        supervisor: Supervisor,
    ) -> None:
        self._blocks = blocks
        self._pool = pool
        self._router = router
        self._clock = clock
        self._supervisor = supervisor
        self._checks: dict[int, gevent.Greenlet] = {}
        self._crashed = BoundedDict[int, None](most=MAX_CRASHED)

    def report_closed(
        self, endpoint: Endpoint, call: Call, parts: tuple[int, ...]
    ) -> None:
        """Check, in the background, a server that closed a connection too early.

        Parameters
        ----------
        parts : tuple of int
            Numbers of the shared parts of the call's prompt, also below.
        """
        if parts:
            self._start_check(endpoint, call, parts, False)

    def report_ended(
        self, endpoint: Endpoint, call: Call, parts: tuple[int, ...]
    ) -> None:
        """Check a server whose answer, of unknown length, ended with its connection.

        The answer counts as complete for its caller. If the server is gone, it ended
        because of that, and if it isn't, it has answered.
        """
        if parts and not self._blocks.are_answered(parts, self._clock()):
            self._start_check(endpoint, call, parts, True)

    def record_answer(self, call: Call, parts: tuple[int, ...]) -> None:
        """Record that an engine has answered a request and goes on running."""
        if call.parts:
            self._blocks.record_answer(parts, self._clock())

    def _start_check(
        self, endpoint: Endpoint, call: Call, parts: tuple[int, ...], is_answered: bool
    ) -> None:
        self._supervisor.start_task(
            "crash_check", self._check, endpoint, call, parts, is_answered
        )

    def _check(
        self, endpoint: Endpoint, call: Call, parts: tuple[int, ...], is_answered: bool
    ) -> None:
        server = hash_name_32(f"{endpoint.name}/{endpoint.incarnation}")
        if not self._has_crashed(server, endpoint):
            if is_answered:
                self.record_answer(call, parts)
            return
        entry = ServerCrashed(
            server=endpoint.name,
            request=call.request_id,
            prompt=call.format_prompt(),
        )
        write_log_entry(log, entry)
        self._blocks.record_crash(server, parts, self._clock())

    def _has_crashed(self, server: int, endpoint: Endpoint) -> bool:
        """Return whether a server is gone; requests that ask together share a check."""
        if server in self._crashed:
            return True
        check = self._checks.get(server)
        if check is None:
            check = self._supervisor.start_task("probe", self._is_gone, endpoint)
            self._checks[server] = check
            check.link(lambda _: self._checks.pop(server, None))
        if not check.get():
            return False
        self._crashed.put(server, None)
        return True

    def _is_gone(self, endpoint: Endpoint) -> bool:
        gevent.sleep(CONFIRM_DELAY_S)
        try:
            self._pool.probe(endpoint)
        except ConnectError as error:
            self._router.record_gone(endpoint, is_refused=is_refusal(error))
            return True
        return False
