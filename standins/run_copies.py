"""Copies of runs at other engines, by the protocol of the engines.

A run whose request names a backup server sends its memory there with each event. Copies
travel within the process, as the hosts see nothing of them.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from weakref import WeakValueDictionary

import gevent
import h11
import msgspec

FREE_TARGET = b"/v1/kv-handle/"
RUN_TARGETS = (b"/v1/kv-move", FREE_TARGET)
STOP_CHECK_S = 0.005
_copies_by_address: WeakValueDictionary[str, "RunCopies"] = WeakValueDictionary()


class RunCopies:
    """Runs of one engine, and copies of runs of others.

    Attributes
    ----------
    held : set of str
        Ids of requests of whose runs there is a copy here.
    active : set of str
        Ids of the requests that run here.
    moves : list of dict
        Calls that asked for a move.
    has_room : bool
        Whether copies are accepted.
    move_answers : list of int or None
        Statuses of the next answers to moves, in place of what is due; None closes the
        connection instead.
    move_delay_s : float
        Time until the answer to a move, in seconds.
    on_run : callable
        Called when a run begins.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.held: set[str] = set()
        self.active: set[str] = set()
        self.moves: list[dict[str, Any]] = []
        self.has_room = True
        self.move_answers: list[int | None] = []
        self.move_delay_s = 0.0
        self.on_run: Callable[[], object] = str
        # Addresses of the servers that hold the moved runs, by handle.
        self._handles: dict[str, str] = {}
        _copies_by_address[address] = self

    @property
    def handles(self) -> list[str]:
        """Handles that are neither used nor freed."""
        return [*self._handles]

    def clear(self) -> None:
        """Lose everything, as in a crash."""
        self.held.clear()
        self._handles.clear()
        self.active.clear()

    @contextmanager
    def work_on(self, run) -> Iterator[None]:
        """Count a run as active."""
        self.active.add(run.request_id)
        self.on_run()
        try:
            yield
        finally:
            self.active.discard(run.request_id)

    def send_copy(self, run) -> None:
        """Send the memory of a run to its backup server, if it names one."""
        address = run.headers.get(b"x-rosemarystream-kv-backup", b"").decode()
        backup = _copies_by_address.get(address)
        if backup is not None and backup.has_room:
            backup.held.add(run.request_id)

    def take_source(self, headers: dict[bytes, bytes], request_id: str) -> bool:
        """Return whether the copy that a request names is here; it is used up."""
        value = headers.get(b"kv-from", b"").decode()
        if not value:
            return True
        address, _, name = value.partition("/")
        if address == self.address and name == request_id in self.held:
            self.held.discard(name)
            return True
        source = _copies_by_address.get(address)
        if source is None or source._handles.get(name) != self.address:
            return False
        del source._handles[name]
        return True

    def wait_until_stopped(self, run) -> None:
        """Go on with a run whose connection is gone, until a move stops it."""
        while run.request_id in self.active:
            gevent.sleep(STOP_CHECK_S)

    def serve(self, connection, protocol, request, body: bytes) -> bool:
        """Answer a call about a run, and close the connection."""
        if request.target.startswith(FREE_TARGET):
            handle = request.target.removeprefix(FREE_TARGET).decode()
            status = 404 if self._handles.pop(handle, None) is None else 200
            return self._answer(connection, protocol, status, {})
        return self._serve_move(connection, protocol, body)

    def _serve_move(self, connection, protocol, body: bytes) -> bool:
        call = msgspec.json.decode(body)
        self.moves.append(call)
        gevent.sleep(self.move_delay_s)
        status = self.move_answers.pop(0) if self.move_answers else 200
        if status is None:
            return False
        answer: dict[str, Any] = {}
        if status == 200 and call["id"] not in self.active:
            status = 404
        if status in (200, 503):
            answer = {"handle": f"h{len(self.moves)}", "create-rev": 3}
            holder = call["to"] if status == 200 else self.address
            self._handles[answer["handle"]] = holder
            if call["last"]:
                self.active.discard(call["id"])
        return self._answer(connection, protocol, status, answer)

    def _answer(self, connection, protocol, status: int, answer: dict) -> bool:
        data = msgspec.json.encode(answer)
        head = h11.Response(
            status_code=status, headers=[(b"content-length", b"%d" % len(data))]
        )
        connection.sendall(
            protocol.send(head)
            + protocol.send(h11.Data(data=data))
            + protocol.send(h11.EndOfMessage())
        )
        return False
