"""Settings of an entry host: TOML, checked whole, every mistake at once."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec

from rosemarystream._internal.exceptions import SettingsError
from rosemarystream._internal.utils.toml_keys import find_key_line

Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]


class HostSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity and addresses of this host."""

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
    """What the fleet has to keep; times in milliseconds."""

    shutdown_ms: Milliseconds = 8_000
    retry_ratio: Annotated[float, msgspec.Meta(ge=0.0, le=10.0)] = 0.2
    retry_window_ms: Milliseconds = 10_000
    retry_slack: Annotated[int, msgspec.Meta(ge=0)] = 16
    load_multiple: Annotated[float, msgspec.Meta(ge=1.0)] = 2.0


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logs."""

    level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"


class MetricsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A statsd server that metrics are also sent to; none if empty."""

    statsd: Annotated[str, msgspec.Meta(pattern=r"^$|^[\w.-]+:\d{1,5}$")] = ""


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    host: HostSection
    platform: PlatformSection
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
    log: LogSection = msgspec.field(default_factory=LogSection)
    metrics: MetricsSection = msgspec.field(default_factory=MetricsSection)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If it can't be read or has mistakes; the message lists each of them.
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


# Sections that are read only when the process starts.
RESTART_SECTIONS = ("host", "platform", "metrics")


class SettingsChange(NamedTuple):
    """A key whose value differs between two settings."""

    section: str
    key: str
    old: Any
    new: Any

    def __str__(self) -> str:
        return f"{self.section}.{self.key}: {self.old!r} to {self.new!r}"


def list_changes(old: GatewaySettings, new: GatewaySettings) -> list[SettingsChange]:
    """Return the keys whose values differ."""
    changes = []
    for section in msgspec.structs.fields(GatewaySettings):
        before, after = getattr(old, section.name), getattr(new, section.name)
        for field in msgspec.structs.fields(section.type):
            values = getattr(before, field.name), getattr(after, field.name)
            if values[0] != values[1]:
                changes.append(SettingsChange(section.name, field.name, *values))
    return changes


class _Mistake(NamedTuple):
    """What is wrong with a key, or with a section if there is no key."""

    section: str
    key: str
    text: str

    def describe(self, path: Path, document: str) -> str:
        """Return the mistake with its place in the file."""
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
