"""Settings of an entry host: a TOML file, validated with all mistakes reported."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec

from rosemarystream._internal.exceptions import SettingsError
from rosemarystream._internal.utils.toml_keys import find_key_line

Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_MS_PER_S = 1000
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0.001, le=86_400.0)]


class HostSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity and addresses of this host, and other hosts to contact first."""

    name: Name
    data_centre: Name
    ip: Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
    caller_address: Address
    ready_address: Address
    peer_port: Port
    metrics_port: Port
    seeds: list[str] = []
    first_start: bool = False


class PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store."""

    address: Address


class BoundsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shutdown time, retry budget and load bound.

    Times are in milliseconds, or in seconds with a fraction, which go first.
    """

    shutdown_ms: Milliseconds = 8_000
    retry_ratio: Annotated[float, msgspec.Meta(ge=0.0, le=10.0)] = 0.2
    retry_window_ms: Milliseconds = 10_000
    retry_slack: Annotated[float, msgspec.Meta(ge=0.0)] = 16
    load_multiple: Annotated[float, msgspec.Meta(ge=1.0)] = 2.0
    shutdown_s: Seconds | None = None
    retry_window_s: Seconds | None = None

    def get_shutdown_s(self) -> float:
        """Return the time that a planned stop may take, in seconds."""
        return _choose_seconds(self.shutdown_s, self.shutdown_ms)

    def get_retry_window_s(self) -> float:
        """Return the time over which the retry budget counts, in seconds."""
        return _choose_seconds(self.retry_window_s, self.retry_window_ms)


def _choose_seconds(seconds: float | None, milliseconds: int) -> float:
    return milliseconds / _MS_PER_S if seconds is None else seconds


class StreamsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whether streams that may run only once have backup servers."""

    backups: bool = False


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Lowest level of the log entries that are written."""

    level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"


class MetricsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of a statsd server that also gets the metrics; empty for none."""

    statsd: Annotated[str, msgspec.Meta(pattern=r"^$|^[\w.-]+:\d{1,5}$")] = ""


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of an entry host."""

    host: HostSection
    platform: PlatformSection
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
    streams: StreamsSection = msgspec.field(default_factory=StreamsSection)
    log: LogSection = msgspec.field(default_factory=LogSection)
    metrics: MetricsSection = msgspec.field(default_factory=MetricsSection)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        If it can't be read or has mistakes; the message lists all of them.
    """
    try:
        text = path.read_text(encoding="utf-8")
        document = tomllib.loads(text)
    except OSError as error:
        raise SettingsError(
            f"{path}: can't be read ({error.strerror}); name an existing file"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}; correct the file") from error
    mistakes = _list_mistakes(document)
    if mistakes:
        raise SettingsError("\n".join(m.describe(path, text) for m in mistakes))
    return msgspec.convert(document, GatewaySettings)


# Sections whose changes take effect only when the process is restarted.
RESTART_SECTIONS = ("host", "platform", "metrics")


class SettingsChange(NamedTuple):
    """A changed value between two versions of the settings."""

    section: str
    key: str
    old: Any
    new: Any

    def __str__(self) -> str:
        return f"{self.section}.{self.key}: {self.old!r} to {self.new!r}"


def list_changes(old: GatewaySettings, new: GatewaySettings) -> list[SettingsChange]:
    """Return the values that differ between two versions of the settings."""
    changes = []
    for section in msgspec.structs.fields(GatewaySettings):
        before, after = getattr(old, section.name), getattr(new, section.name)
        for field in msgspec.structs.fields(section.type):
            values = getattr(before, field.name), getattr(after, field.name)
            if values[0] != values[1]:
                changes.append(SettingsChange(section.name, field.name, *values))
    return changes


class _Mistake(NamedTuple):
    """A mistake in a key's value, or in a section if the key is empty."""

    section: str
    key: str
    text: str

    def describe(self, path: Path, document: str) -> str:
        """Return the message, with file, line and key."""
        place = [self.section, self.key] if self.key else [self.section]
        line = find_key_line(document, place)
        return f"{path}:{line}: {'.'.join(place)}: {self.text}"


def _list_mistakes(document: dict[str, Any]) -> list[_Mistake]:
    sections = {
        field.name: field.type for field in msgspec.structs.fields(GatewaySettings)
    }
    known = ", ".join(sections)
    mistakes = [
        _Mistake(name, "", f"unknown section; known are {known}")
        for name in document
        if name not in sections
    ]
    for name, section in sections.items():
        mistakes += _list_section_mistakes(name, section, document.get(name, {}))
    return mistakes


def _list_section_mistakes(name: str, section: Any, given: Any) -> list[_Mistake]:
    if not isinstance(given, dict):
        return [_Mistake(name, "", "must be a table")]
    fields = {field.name: field for field in msgspec.structs.fields(section)}
    mistakes = [
        _Mistake(name, key, f"unknown key; known are {', '.join(fields)}")
        for key in given
        if key not in fields
    ]
    for key, field in fields.items():
        if key not in given:
            if field.required:
                mistakes.append(_Mistake(name, key, "missing; add it"))
            continue
        try:
            msgspec.convert(given[key], field.type)
        except msgspec.ValidationError as error:
            mistakes.append(_Mistake(name, key, str(error)))
    return mistakes
