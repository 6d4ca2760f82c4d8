"""Reads and validates the settings file (TOML) of a host.

All mistakes of a file are reported at once.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from rosemarystream._internal.exceptions import SettingsError
from rosemarystream._internal.utils.toml_keys import find_key_line

_STRICT = ConfigDict(extra="forbid")

_ADDRESS = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$"
_NAME = r"^[a-z0-9][a-z0-9._-]{0,62}$"
_SHA256 = r"^[0-9a-f]{64}$"
_PATTERN_MESSAGES = {
    _ADDRESS: "must be an IP number and a port, such as 10.0.0.1:7000",
    _NAME: "must be lower-case letters, digits, '.', '_' and '-', at most 63",
    _SHA256: "must be a SHA-256 as 64 hex digits",
}

Address = Annotated[str, Field(pattern=_ADDRESS)]
Name = Annotated[str, Field(pattern=_NAME)]
Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
Sha256 = Annotated[str, Field(pattern=_SHA256)]


@with_config(_STRICT)
class HostSection(TypedDict):
    """Identity and addresses of this host."""

    name: Name
    data_centre: Name
    region: Name
    caller_address: Address
    operator_address: Address
    peer_address: Address
    hop_address: Address
    advertised_peer_address: NotRequired[Address]
    advertised_hop_address: NotRequired[Address]


@with_config(_STRICT)
class PlatformSection(TypedDict):
    """Address of the platform's object API, and how it is watched."""

    address: Address
    timeout_ms: NotRequired[Milliseconds]
    watch_ms: NotRequired[Milliseconds]
    hosts_interval_ms: NotRequired[Milliseconds]
    watchers: NotRequired[Annotated[int, Field(ge=1, le=16)]]


@with_config(_STRICT)
class PeersSection(TypedDict):
    """Discovery of other entry hosts and timing of the failure detector."""

    seeds: list[Address]
    heartbeat_ms: NotRequired[Milliseconds]
    suspect_ms: NotRequired[Milliseconds]
    takeover_ms: NotRequired[Milliseconds]
    remove_ms: NotRequired[Milliseconds]
    remote_bytes_per_second: NotRequired[Annotated[int, Field(ge=64)]]


@with_config(_STRICT)
class LimitsSection(TypedDict):
    """Limits on requests, and timeouts of callers, engines and polls."""

    body_bytes: NotRequired[Annotated[int, Field(ge=1024, le=64_000_000)]]
    max_tokens: NotRequired[Annotated[int, Field(ge=1)]]
    max_deadline_ms: NotRequired[Milliseconds]
    default_deadline_ms: NotRequired[Milliseconds]
    queue_requests: NotRequired[Annotated[int, Field(ge=1)]]
    open_requests: NotRequired[Annotated[int, Field(ge=1)]]
    slow_sender_ms: NotRequired[Milliseconds]
    first_token_ms: NotRequired[Milliseconds]
    between_tokens_ms: NotRequired[Milliseconds]
    poll_ms: NotRequired[Milliseconds]
    poll_bytes_per_second: NotRequired[Annotated[int, Field(ge=64)]]
    retry_ratio: NotRequired[Annotated[float, Field(ge=0, le=1)]]
    drain_ms: NotRequired[Milliseconds]


@with_config(_STRICT)
class ClaimsSection(TypedDict):
    """Claims on idempotency keys: shards, durations and recorded answers."""

    shards: NotRequired[Annotated[int, Field(ge=1, le=4096)]]
    retain_ms: NotRequired[Milliseconds]
    group_ms: NotRequired[Milliseconds]
    wait_ms: NotRequired[Milliseconds]
    answer_bytes: NotRequired[Annotated[int, Field(ge=0, le=65_536)]]


@with_config(_STRICT)
class ControlSection(TypedDict):
    """Timing of the leases for control duties and of orders to engines."""

    lease_ms: NotRequired[Milliseconds]
    order_flight_ms: NotRequired[Milliseconds]


@with_config(_STRICT)
class ObservationSection(TypedDict):
    """Log level and the address that metrics are sent to."""

    log_level: NotRequired[Literal["debug", "info", "notice", "warning", "error"]]
    statsd_address: NotRequired[Address]


@with_config(_STRICT)
class OperatorSection(TypedDict):
    """Operator who may use the administration API."""

    name: Name
    role: Literal["viewer", "operator", "admin"]
    key_sha256: Sha256


@with_config(_STRICT)
class SettingsDocument(TypedDict):
    """Sections of the settings file."""

    host: HostSection
    platform: PlatformSection
    peers: PeersSection
    limits: NotRequired[LimitsSection]
    claims: NotRequired[ClaimsSection]
    control: NotRequired[ControlSection]
    observation: NotRequired[ObservationSection]
    operators: NotRequired[list[OperatorSection]]


DEFAULTS: dict[str, dict[str, Any]] = {
    "platform": {
        "timeout_ms": 2_000,
        "watch_ms": 10_000,
        "hosts_interval_ms": 1_000,
        "watchers": 2,
    },
    "peers": {
        "heartbeat_ms": 1_000,
        "suspect_ms": 2_500,
        "takeover_ms": 500,
        "remove_ms": 3_000,
        "remote_bytes_per_second": 1_500,
    },
    "limits": {
        "body_bytes": 1_000_000,
        "max_tokens": 16_384,
        "max_deadline_ms": 300_000,
        "default_deadline_ms": 60_000,
        "queue_requests": 1_000,
        "open_requests": 4_000,
        "slow_sender_ms": 5_000,
        "first_token_ms": 10_000,
        "between_tokens_ms": 5_000,
        "poll_ms": 500,
        "poll_bytes_per_second": 1_300,
        "retry_ratio": 0.2,
        "drain_ms": 600_000,
    },
    "claims": {
        "shards": 16,
        "retain_ms": 3_600_000,
        "group_ms": 10,
        "wait_ms": 5_000,
        "answer_bytes": 2_048,
    },
    "control": {"lease_ms": 6_000, "order_flight_ms": 2_000},
    "observation": {"log_level": "info"},
}

_ADAPTER = TypeAdapter(SettingsDocument)


class Settings(NamedTuple):
    """Validated settings with defaults filled in, one mapping per section."""

    host: HostSection
    platform: PlatformSection
    peers: PeersSection
    limits: LimitsSection
    claims: ClaimsSection
    control: ControlSection
    observation: ObservationSection
    operators: list[OperatorSection]


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid; the message lists each mistake
        with file, line, key and what is allowed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            f"{path}: cannot be read ({error.strerror}); name an existing file"
        ) from error
    return parse_settings(text, name=str(path))


def parse_settings(text: str, *, name: str) -> Settings:
    """Validate the text of a settings file; see `load_settings`."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{name}: is not valid TOML: {error}") from error
    mistakes = []
    try:
        checked = _ADAPTER.validate_python(document)
    except ValidationError as error:
        mistakes = [
            _describe_mistake(name, text, mistake) for mistake in error.errors()
        ]
        raise SettingsError("\n".join(sorted(mistakes))) from None
    settings = _fill_defaults(checked)
    mistakes = [f"{name}: {mistake}" for mistake in _check_durations(settings)]
    if mistakes:
        raise SettingsError("\n".join(mistakes))
    return settings


def _describe_mistake(name: str, text: str, mistake: Any) -> str:
    key = ".".join(str(part) for part in mistake["loc"])
    line = find_key_line(text, mistake["loc"])
    return f"{name}:{line}: {key}: {_explain_mistake(mistake)}"


def _explain_mistake(mistake: Any) -> str:
    if mistake["type"] == "extra_forbidden":
        section = SettingsDocument.__annotations__.get(str(mistake["loc"][0]))
        known = ", ".join(_list_known_keys(section, len(mistake["loc"])))
        return f"unknown key; known are {known}"
    pattern = mistake.get("ctx", {}).get("pattern")
    return _PATTERN_MESSAGES.get(pattern, mistake["msg"])


def _list_known_keys(section: Any, depth: int) -> list[str]:
    if depth == 1:
        return sorted(SettingsDocument.__annotations__)
    while hasattr(section, "__args__"):
        section = section.__args__[0]
    return sorted(section.__annotations__)


def _fill_defaults(document: SettingsDocument) -> Settings:
    sections: dict[str, Any] = {"operators": document.get("operators", [])}
    for section in Settings._fields:
        if section == "operators":
            continue
        given = document.get(section, {})
        sections[section] = {**DEFAULTS.get(section, {}), **given}
    return Settings(**sections)


def _check_durations(settings: Settings) -> list[str]:
    rules = [
        (
            settings.peers["suspect_ms"] >= 2 * settings.peers["heartbeat_ms"],
            "peers.suspect_ms: must be at least twice peers.heartbeat_ms",
        ),
        (
            settings.claims["retain_ms"] >= 2 * settings.limits["max_deadline_ms"],
            "claims.retain_ms: must be at least twice limits.max_deadline_ms",
        ),
        (
            settings.limits["default_deadline_ms"]
            <= settings.limits["max_deadline_ms"],
            "limits.default_deadline_ms: must not exceed limits.max_deadline_ms",
        ),
    ]
    return [message for is_met, message in rules if not is_met]
