"""Client of the platform's object API.

``GET /v1/objects/KIND/NAME`` returns ``{"version", "value"}``; ``PUT`` with
``If-Match: VERSION`` (0 to create) writes conditionally; ``GET /v1/watch/KIND``
is a long poll for changes; ``GET /v1/hosts?after=VERSION`` returns the changes of
the host list since a version, or the whole list if that version is too old. The
host list is eventually consistent: it lags behind the actual servers.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypedDict

import msgspec
from logbook import Logger

from rosemarystream._internal.exceptions import (
    PlatformError,
    RosemarystreamError,
    VersionConflictError,
)
from rosemarystream._internal.models.server import BackendServer, HostChanges
from rosemarystream._internal.platform.era_tracker import (
    ERA,
    EraFault,
    EraTracker,
)
from rosemarystream._internal.utils.http_exchange import Exchange

log = Logger(__name__)

MAX_LOGGED_BYTES = 100
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
ABSENT_VERSION = 0


class StoredObject(NamedTuple):
    """A stored object and its version.

    Attributes
    ----------
    version : int
        Version to pass to a conditional write; 0 if the object does not exist.
    value : bytes
        JSON text; empty if the object does not exist.
    era : int
        Era of the store in which it was read; 0 of a store that states none.
    """

    version: int
    value: bytes
    era: int


class Written(NamedTuple):
    """A write that took effect, with the new version and the era of the store."""

    version: int
    era: int


class _Answer(NamedTuple):
    """Status, body and era of an answer."""

    status: int
    body: bytes
    era: int


class _ObjectBody(msgspec.Struct):
    version: int
    value: msgspec.Raw


class _VersionBody(TypedDict):
    version: int


class _WatchBody(TypedDict):
    revision: int
    names: list[str]


class _HostRow(TypedDict):
    name: str
    pool: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    leaving: bool


class _HostsBody(TypedDict):
    base: int
    version: int
    servers: list[_HostRow]
    removed: list[str]


class PlatformClient:
    """Calls the object API; each call has a deadline and is never retried.

    Parameters
    ----------
    address : str
        ``ip:port`` of the object API.
    timeout : float
        Timeout of a call in seconds.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    def __init__(
        self, *, address: str, timeout: float, clock: Callable[[], float]
    ) -> None:
        self._address = address
        self._timeout = timeout
        self._clock = clock
        self._eras = EraTracker(on_fault=_log_era_fault)
        self.calls = 0

    def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        version: int | None = None,
        extra_timeout: float = 0.0,
    ) -> _Answer:
        self.calls += 1
        deadline = self._clock() + self._timeout + extra_timeout
        headers = {} if version is None else {"If-Match": str(version)}
        try:
            with Exchange(address=self._address, clock=self._clock) as exchange:
                exchange.connect(deadline)
                status = exchange.send(
                    method, path, body=body, headers=headers, deadline=deadline
                )
                answer = exchange.read_all(deadline)
                stated = exchange.header(ERA.decode())
        except RosemarystreamError as error:
            raise PlatformError(f"{method} {path} failed: {error}") from error
        era = self._eras.read(None if stated is None else stated.encode("latin-1"))
        if era is None:
            raise PlatformError(f"{method} {path}: an answer of an era that is over")
        return _Answer(status, answer, era)

    def read(self, kind: str, name: str) -> StoredObject:
        """Read one object.

        Raises
        ------
        PlatformError
            If the platform does not answer.
        """
        answer = self._call("GET", f"/v1/objects/{kind}/{name}")
        if answer.status == HTTP_NOT_FOUND:
            return StoredObject(version=ABSENT_VERSION, value=b"", era=answer.era)
        stored = self._decode(answer, _ObjectBody)
        return StoredObject(
            version=stored.version, value=bytes(stored.value), era=answer.era
        )

    def write(self, kind: str, name: str, value: bytes, *, expected: int) -> Written:
        """Write one object if its current version is the expected one.

        Raises
        ------
        VersionConflictError
            If the object has another version; nothing was written.
        PlatformError
            If the outcome is unknown; the caller has to read the object back.
        """
        answer = self._call(
            "PUT", f"/v1/objects/{kind}/{name}", body=value, version=expected
        )
        if answer.status == HTTP_CONFLICT:
            raise VersionConflictError(
                f"{kind}/{name} is not at version {expected} any more; read it again"
            )
        return Written(self._decode(answer, _VersionBody)["version"], answer.era)

    def watch(self, kind: str, *, after: int, wait: float) -> tuple[int, list[str]]:
        """Wait for changes of the objects of a kind (long poll).

        Returns
        -------
        revision : int
            Revision to pass as `after` to the next call.
        names : list of str
            Names of the objects changed since `after`.
        """
        path = f"/v1/watch/{kind}?after={after}&wait_ms={int(wait * 1000)}"
        answer = self._call("GET", path, extra_timeout=wait)
        changes = self._decode(answer, _WatchBody)
        return changes["revision"], changes["names"]

    def list_hosts(self, *, after: int) -> HostChanges:
        """Read the changes of the host list since a version."""
        answer = self._call("GET", f"/v1/hosts?after={after}")
        hosts = self._decode(answer, _HostsBody)
        return HostChanges(
            base=hosts["base"],
            version=hosts["version"],
            servers=tuple(BackendServer(**row) for row in hosts["servers"]),
            removed=tuple(hosts["removed"]),
        )

    def _decode(self, answer: _Answer, shape: Any) -> Any:
        if answer.status != HTTP_OK:
            raise PlatformError(f"the platform answered with status {answer.status}")
        try:
            return msgspec.json.decode(answer.body, type=shape)
        except msgspec.DecodeError as error:
            raise PlatformError(f"unreadable answer of the platform: {error}") from None


def _log_era_fault(fault: EraFault, value: bytes) -> None:
    log.warning("the platform's era is {}: {!r}", fault, value[:MAX_LOGGED_BYTES])
