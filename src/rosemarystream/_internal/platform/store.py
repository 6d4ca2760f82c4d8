"""Client of the platform's object store; requests are never retried."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec

from rosemarystream._internal.exceptions import ConnectError
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.platform.era_tracker import ERA, EraTracker
from rosemarystream._internal.platform.store_answers import (
    Changes,
    StoredObject,
    StoreError,
    decode_changes,
    decode_page,
)
from rosemarystream._internal.utils.http_connection import (
    ClientConnection,
    ConnectionBrokenError,
)

SERVERS = "servers"
CONFIGURATION = "config"
CONFIGURATION_NAME = "main"
HOSTS = "rosemarystream-hosts"
BLOCKED_PARTS = "rosemarystream-blocked-parts"
EVACUATIONS = "evacuations"

CONNECT_TIMEOUT_S = 1.0
# Time allowed for the answer, on top of the wait of a long poll.
ANSWER_TIMEOUT_S = 2.0
# Largest answer: a page of objects has about 1 MB, and so has one object.
MAX_ANSWER_BYTES = 8_000_000

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410


class HistoryGoneError(StoreError):
    """The store has compacted the history of a revision; list the objects again."""


class EraChangedError(StoreError):
    """The answer is of another era than what it continues; list the objects again."""


class Listing(NamedTuple):
    """All objects of a kind, and the position from which to watch them."""

    objects: list[StoredObject]
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the store that the list has."""
        return Position(self.era, self.revision)


class _Answer(NamedTuple):
    """The body of an answer of success, and its era."""

    body: bytes
    era: int


class Store:
    """Calls the store over one dedicated keep-alive connection.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    clock : callable
        Returns the current time in seconds.
    on_call : callable
        Called after each call with its HTTP status, or ``unanswered``.
    eras : EraTracker
        The era of the store, shared by the connections of a host.
    """

    def __init__(
        self,
        *,
        address: str,
        clock: Callable[[], float],
        on_call: Callable[[str], None] = lambda result: None,
        eras: EraTracker | None = None,
    ) -> None:
        self._address = address
        self._clock = clock
        self._on_call = on_call
        self._eras = eras or EraTracker()
        self._connection: ClientConnection | None = None

    def list(self, kind: str) -> Listing:
        """Return all objects of a kind, following the pages of the answer.

        Raises
        ------
        EraChangedError
            If its pages are of different eras.
        StoreError
            If there is no usable answer.
        """
        objects: list[StoredObject] = []
        first: Position | None = None
        after = ""
        while True:
            query = f"?after={quote(after, safe='')}" if after else ""
            path = f"/v1/objects/{kind}{query}"
            answer = self._request(b"GET", path, b"", ANSWER_TIMEOUT_S)
            page = decode_page(answer.body, answer.era)
            objects.extend(page.objects)
            # Later pages may contain later changes. A watch from the revision of
            # the first page reports them again, which is harmless.
            first = first or Position(answer.era, page.revision)
            _check_era(answer, first)
            last = _find_last_name(page.objects)
            if not page.more or last <= after:
                return Listing(objects, first.revision, first.era)
            after = last

    def watch(self, kind: str, position: Position, wait_s: float) -> Changes:
        """Wait for changes of a kind after a position (long poll) and return them.

        Raises
        ------
        EraChangedError
            If the answer is of another era than the position.
        HistoryGoneError
            If the store no longer has the changes since that revision.
        StoreError
            If there is no usable answer.
        """
        query = f"watch={position.revision}&wait-ms={int(wait_s * 1000)}"
        path = f"/v1/objects/{kind}?{query}"
        answer = self._request(b"GET", path, b"", wait_s + ANSWER_TIMEOUT_S)
        _check_era(answer, position)
        return decode_changes(answer.body, answer.era)

    def create(self, kind: str, name: str, spec: Any) -> bool:
        """Create an object; return False if one of that name exists already.

        Raises
        ------
        StoreError
            If there is no usable answer; the write may have taken effect.
        """
        document = _encode_object(name, spec)
        try:
            self._request(b"POST", f"/v1/objects/{kind}", document, ANSWER_TIMEOUT_S)
        except _ObjectExistsError:
            return False
        return True

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create an object, or replace it unconditionally if it exists.

        Raises
        ------
        StoreError
            If there is no usable answer; the write may have taken effect.
        """
        if not self.create(kind, name, spec):
            path = f"/v1/objects/{kind}/{name}"
            self._request(b"PUT", path, _encode_object(name, spec), ANSWER_TIMEOUT_S)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that doesn't exist is no error.

        Raises
        ------
        StoreError
            If there is no usable answer; the removal may have taken effect.
        """
        path = f"/v1/objects/{kind}/{name}"
        # The object is gone already if its name is not found.
        with suppress(_ObjectMissingError):
            self._request(b"DELETE", path, b"", ANSWER_TIMEOUT_S)

    def _request(self, method: bytes, path: str, body: bytes, wait_s: float) -> _Answer:
        deadline = self._clock() + wait_s
        try:
            connection = self._open()
            headers = [(b"host", self._address.encode())]
            if body:
                headers.append((b"content-type", b"application/json"))
            connection.send(method, path.encode(), headers, body)
            head = connection.read_head(deadline)
            answer = connection.read_body(deadline, max_bytes=MAX_ANSWER_BYTES)
        except (ConnectError, ConnectionBrokenError) as error:
            self.close()
            self._on_call("unanswered")
            raise StoreError(str(error)) from error
        self._on_call(str(head.status))
        if not connection.finish():
            self.close()
        era = self._eras.read(dict(head.headers).get(ERA))
        if era is None:
            self.close()
            raise EraChangedError(f"{path}: a late answer of an earlier era")
        if head.status == _GONE:
            raise HistoryGoneError(
                f"{path}: the history of this revision is gone (410)"
            )
        if head.status == _CONFLICT:
            raise _ObjectExistsError(f"{path}: the object exists already (409)")
        if head.status == _NOT_FOUND:
            raise _ObjectMissingError(f"{path}: there is no such object (404)")
        if head.status // 100 * 100 != _OK:
            raise StoreError(f"{path}: unexpected status {head.status}")
        return _Answer(answer, era)

    def _open(self) -> ClientConnection:
        if self._connection is not None and not self._connection.is_reusable():
            self.close()
        if self._connection is None:
            connection = ClientConnection(address=self._address, clock=self._clock)
            connection.connect(self._clock() + CONNECT_TIMEOUT_S)
            self._connection = connection
        return self._connection

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class _ObjectExistsError(StoreError):
    """The object to be created exists already."""


class _ObjectMissingError(StoreError):
    """The object to be removed doesn't exist."""


def _check_era(answer: _Answer, expected: Position) -> None:
    """Check that an answer is of the era of a position.

    Raises
    ------
    EraChangedError
        If it isn't.
    """
    if answer.era != expected.era:
        eras = f"era {expected.era}, now {answer.era}"
        raise EraChangedError(f"the store has come back from a copy ({eras})")


def _find_last_name(objects: list[StoredObject]) -> str:
    """Return the last name that can be read; empty if none can be."""
    return next((item.name for item in reversed(objects) if item.name), "")


def _encode_object(name: str, spec: Any) -> bytes:
    return msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
