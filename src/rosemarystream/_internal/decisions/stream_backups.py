"""Backup servers of streams that may run only once, and what follows a break.

Handles engines that crash, reset their connections or lose their network in the middle
of such streams: a second server holds a copy of the run and continues it, but only
once the first one is known to work on it no more.
"""

import re
from collections import Counter
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from rosemarystream._internal.decisions.hashing import order_candidates
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.route import Route, RouteKind, Service

# Cost of the break of a whole stream of the highest priority. Lower priorities count
# less, in proportion to 1 / (1 + level).
BREAK_COST_MS = 4_000.0
# Cost of a copy that takes all of the other server's cache; smaller ones cost less in
# proportion.
MEMORY_COST_MS = 8_000.0
_BITS_PER_BYTE = 8
# Bits that a link of 1 Mbit/s transfers in a millisecond.
_BITS_PER_MS = 1_000.0

# Visible characters of ASCII but the slash, which ends the address before an id.
_USABLE_ID = re.compile(r"[!-.0-~]{1,256}")

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_WRONG_SERVER = 421
_UNAVAILABLE = 503


def may_have_backup(route: Route, service: Service) -> bool:
    """Return whether the streams of a route may have backup servers."""
    may_run_once = route.kind is RouteKind.STREAM and not route.resumable
    return may_run_once and service.backups


def can_be_named(request_id: str) -> bool:
    """Return whether servers read an id alike in a header, in JSON and in a path.

    A server that doesn't recognize the id of a run denies that it works on it.
    """
    return bool(_USABLE_ID.fullmatch(request_id))


def estimate_break_cost_ms(level: int, *, share_left: float = 1.0) -> float:
    """Return what a break costs the caller of a stream, in milliseconds.

    Parameters
    ----------
    level : int
        Priority of the request; 0 is the highest.
    share_left : float
        Part of the stream that is still to come, 0 to 1.
    """
    return BREAK_COST_MS * share_left / (1 + max(0, level))


def estimate_copy_cost_ms(service: Service, tokens: int) -> float:
    """Return what the copy of a run costs the servers, in milliseconds.

    That is the time that it takes on the link, and the memory that it takes at the
    other server. What the configuration doesn't state costs nothing.

    Parameters
    ----------
    tokens : int
        Tokens of the prompt.
    """
    cost_ms = 0.0
    if service.link_mbps:
        bits = tokens * service.kv_token_bytes * _BITS_PER_BYTE
        cost_ms += bits / (service.link_mbps * _BITS_PER_MS)
    if service.cache_tokens:
        cost_ms += MEMORY_COST_MS * tokens / service.cache_tokens
    return cost_ms


def choose_backup(
    key: str,
    first: Endpoint,
    candidates: Sequence[Endpoint],
    *,
    requests: Mapping[str, int],
    copies: Mapping[str, int],
) -> Endpoint | None:
    """Return the server that takes the copy of a run; None if none has room.

    Parameters
    ----------
    key : str
        Id of the request; spreads the streams of one server over several others.
    first : Endpoint
        The server that runs the request.
    candidates : sequence of Endpoint
        Servers of the service that may get requests now.
    requests, copies : mapping of str to int
        Requests in progress at each server, and copies that this host has placed there.
    """
    with_room = {
        e.name: e
        for e in candidates
        if e.name != first.name
        and e.address != first.address
        and requests.get(e.name, 0) + copies.get(e.name, 0) < e.slots
    }
    nearby = [n for n, e in with_room.items() if e.data_centre == first.data_centre]
    names = order_candidates(key, nearby or with_room)
    return with_room[names[0]] if names else None


class FirstServer(StrEnum):
    """What is known of the first server's work on a run whose stream broke."""

    GONE = "gone"
    MOVED = "moved"
    STOPPED = "stopped"
    ABSENT = "absent"
    BUSY = "busy"
    UNKNOWN = "unknown"


def judge_move(status: int, handle: str) -> FirstServer:
    """Return what a server's answer to a final move of a run says about its work.

    Parameters
    ----------
    handle : str
        Handle that the answer has; empty if it has none.
    """
    if status == _WRONG_SERVER:
        return FirstServer.GONE
    if status == _NOT_FOUND:
        return FirstServer.ABSENT
    if status == _CONFLICT:
        return FirstServer.BUSY
    if handle and status == _OK:
        return FirstServer.MOVED
    if handle and status == _UNAVAILABLE:
        return FirstServer.STOPPED
    return FirstServer.UNKNOWN


class Step(NamedTuple):
    """A server to continue a stream at, and where it finds the run.

    Attributes
    ----------
    holder : str
        Address of the server that the run is asked of.
    name : str
        Id of the request, or a handle.
    """

    endpoint: Endpoint
    holder: str
    name: str


def plan_steps(
    state: FirstServer,
    *,
    first: Endpoint,
    backup: Endpoint,
    request_id: str,
    handle: str = "",
) -> list[Step]:
    """Return where a stream may be continued, the best first.

    The next is for the case that the one before refuses. Empty while the first server
    may be at work on the run.
    """
    from_copy = Step(backup, backup.address, request_id)
    if state in (FirstServer.GONE, FirstServer.ABSENT):
        return [from_copy]
    if state is FirstServer.MOVED:
        return [Step(backup, first.address, handle)]
    if state is FirstServer.STOPPED:
        return [Step(first, first.address, handle), from_copy]
    return []


class BackupTable:
    """The copies that this host has placed, and the ids of its requests in progress.

    Servers tell runs apart by the id of the request. So if two requests in progress
    have the same id, neither is continued.

    Attributes
    ----------
    copies : Counter of str
        Copies by server name, until their requests end.
    """

    def __init__(self) -> None:
        self.copies: Counter[str] = Counter()
        self._requests: Counter[str] = Counter()
        self._shared: set[str] = set()

    def begin_request(self, request_id: str) -> None:
        """Record a request that is sent to a server."""
        self._requests[request_id] += 1
        if self._requests[request_id] > 1:
            self._shared.add(request_id)

    def end_request(self, request_id: str) -> None:
        """Forget a request that has ended."""
        self._requests[request_id] -= 1
        if not self._requests[request_id]:
            del self._requests[request_id]
            self._shared.discard(request_id)

    def is_unique(self, request_id: str) -> bool:
        """Return whether no other request in progress has or had the same id."""
        return request_id not in self._shared

    def add_copy(self, server: str) -> None:
        """Count a copy at a server."""
        self.copies[server] += 1

    def remove_copy(self, server: str) -> None:
        """Stop counting a copy at a server."""
        self.copies[server] -= 1
        if not self.copies[server]:
            del self.copies[server]
