"""Decoders of the platform's configuration documents and server entries."""

import re
from typing import Any

import msgspec

from rosemarystream._internal.exceptions import PlatformError
from rosemarystream._internal.models.endpoint import Endpoint, ServerEntry, ServerState
from rosemarystream._internal.models.position import Position
from rosemarystream._internal.models.ranges import (
    MAX_MS,
    MAX_NAME_CHARS,
    Attempts,
    Count,
    DelayS,
    EpochMs,
    HeadSize,
    Name,
    ObjectiveMs,
    Rank,
    RatePerS,
    Size,
    Slots,
    Text,
    TimeoutMs,
)
from rosemarystream._internal.models.route import (
    CallerLimits,
    FleetConfiguration,
    Route,
    RouteKind,
    Service,
    Target,
    Workspace,
)
from rosemarystream._internal.utils.address import is_server_address

_MS_PER_S = 1000.0
_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}
# Names that a header can carry: visible characters of Latin-1.
_HEADER_NAME = re.compile(rf"[!-~\xa1-\xff]{{1,{MAX_NAME_CHARS}}}")
# No control characters, and no spaces at the ends.
_HEADER_VALUE = re.compile(r"[^\x00-\x20\x7f]+([ \t]+[^\x00-\x20\x7f]+)*")
_UNREADABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class DocumentError(PlatformError):
    """A document of the store is invalid; the message gives the reason."""


class _Cluster(msgspec.Struct):
    service: Name
    weight: Count


class _Route(msgspec.Struct, rename="kebab"):
    name: Text
    host: Text
    path_prefix: Text
    kind: str
    timeout_ms: TimeoutMs
    slo_ms: ObjectiveMs = 1000.0
    priority: Rank = 5
    service: Name | None = None
    weighted_clusters: list[_Cluster] = []
    max_attempts: Attempts = 1
    allow_anonymous: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: ObjectiveMs = 1000.0


class _Engine(msgspec.Struct, rename="kebab"):
    kv_capacity: Count = 0


class _Service(msgspec.Struct, rename="kebab"):
    name: Text
    max_connections: Slots = 64
    engine: _Engine | None = None
    warmup_s: DelayS = 0.0
    cold_per_s: RatePerS = 0.0


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: HeadSize = 16_384
    max_body_bytes: Size = 4_194_304
    header_timeout_ms: TimeoutMs = 3_000.0
    idle_timeout_ms: TimeoutMs = 15_000.0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: Text
    api_keys: list[Text] = []
    priority: Rank | None = None


class _Configuration(msgspec.Struct, rename="kebab"):
    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Absent where callers need no key.
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct, rename="kebab"):
    service: Name
    address: Name
    zone: Name
    state: str
    slots: Slots
    seq: Count
    version: str
    # Absent if the server has never restarted under this name.
    born: EpochMs = 0
    # Hosts of earlier builds ignore it; an invalid value counts as 0.
    warmup_left_ms: Any = 0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_server_decoder = msgspec.json.Decoder(_Server)


def decode_configuration(document: bytes) -> FleetConfiguration:
    """Decode a configuration document.

    Raises
    ------
    DocumentError
        If the document is not a valid configuration.
    """
    try:
        body = _configuration_decoder.decode(document)
    except _UNREADABLE as error:
        raise DocumentError(f"invalid configuration document: {error}") from error
    by_host: dict[str, list[Route]] = {}
    for row in body.routes:
        route = _convert_route(row)
        by_host.setdefault(route.host, []).append(route)
    return FleetConfiguration(
        version=body.version,
        routes={
            host: tuple(
                sorted(routes, key=lambda route: len(route.path_prefix), reverse=True)
            )
            for host, routes in by_host.items()
        },
        services={row.name: _convert_service(row) for row in body.services},
        limits=CallerLimits(
            head_bytes=body.limits.max_header_bytes,
            body_bytes=body.limits.max_body_bytes,
            head_timeout_s=body.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=body.limits.idle_timeout_ms / _MS_PER_S,
        ),
        workspaces={
            key: _convert_tenant(tenant)
            for tenant in body.tenants or ()
            for key in tenant.api_keys
        },
        requires_key=body.tenants is not None,
    )


def _convert_route(row: _Route) -> Route:
    kind = _KINDS.get(row.kind)
    if kind is None:
        raise DocumentError(f"route {row.name} has unknown kind {row.kind!r}")
    targets = tuple(
        Target(cluster.service, cluster.weight) for cluster in row.weighted_clusters
    )
    if not targets and row.service is not None:
        targets = (Target(row.service, 1),)
    if not targets:
        raise DocumentError(f"route {row.name!r} has no target")
    return Route(
        name=row.name,
        host=row.host.lower(),
        path_prefix=row.path_prefix,
        kind=kind,
        timeout_s=row.timeout_ms / _MS_PER_S,
        objective_s=row.slo_ms / _MS_PER_S,
        gap_objective_s=row.gap_aim_ms / _MS_PER_S,
        max_attempts=max(1, row.max_attempts),
        rank=row.priority,
        targets=targets,
        is_anonymous=row.allow_anonymous,
        keeps_context=row.sticky,
        resumable=row.resumable,
    )


def _convert_service(row: _Service) -> Service:
    return Service(
        name=row.name,
        max_connections=row.max_connections,
        cache_tokens=row.engine.kv_capacity if row.engine else 0,
        warmup_s=row.warmup_s,
        cold_per_s=row.cold_per_s,
    )


def _convert_tenant(row: _Tenant) -> Workspace:
    if not _HEADER_VALUE.fullmatch(row.name):
        raise DocumentError(f"tenant {row.name!r} has a name that no header can carry")
    return Workspace(row.name, row.priority)


def decode_endpoint(name: str, document: bytes, revision: int) -> Endpoint:
    """Decode only who the server is and where; see `decode_server_entry`."""
    return decode_server_entry(name, document, Position(0, revision)).endpoint


def decode_server_entry(name: str, document: bytes, position: Position) -> ServerEntry:
    """Decode the store entry of a registered backend server.

    Raises
    ------
    DocumentError
        If the entry is malformed or has an unknown state or an invalid address.
    """
    try:
        body = _server_decoder.decode(document)
    except _UNREADABLE as error:
        raise DocumentError(f"server entry {name!r} is malformed: {error}") from error
    state = _STATES.get(body.state)
    if state is None:
        raise DocumentError(f"server entry {name!r} has an unknown state")
    endpoint = Endpoint(
        name=name,
        service=body.service,
        address=body.address,
        data_centre=body.zone,
        slots=body.slots,
        state=state,
        incarnation=body.born,
        revision=position.revision,
        era=position.era,
        sequence=body.seq,
    )
    check_endpoint(endpoint)
    return ServerEntry(endpoint, _convert_left(body.warmup_left_ms))


def _convert_left(left_ms: Any) -> float:
    if not isinstance(left_ms, int | float) or not 0 < left_ms <= MAX_MS:
        return 0.0
    return left_ms / _MS_PER_S


def is_server_name(name: str) -> bool:
    """Return whether an entry of this name can be one of a server."""
    return bool(_HEADER_NAME.fullmatch(name))


def check_endpoint(endpoint: Endpoint) -> None:
    """Check what a server is called and where it is, from whichever source.

    Raises
    ------
    DocumentError
        If its name can't be sent to it in a header, or its address is unusable.
    """
    if not is_server_name(endpoint.name):
        raise DocumentError(f"server entry {endpoint.name!r} has an unusable name")
    if not is_server_address(endpoint.address):
        raise DocumentError(f"server entry {endpoint.name!r} has an unusable address")
