from pathlib import Path

import pytest

from rosemarystream._internal.exceptions import SettingsError
from rosemarystream._internal.settings import DEFAULTS, load_settings, parse_settings

EXAMPLE = Path(__file__).parents[2] / "settings.example.toml"


def test_the_example_file_has_no_mistake_and_shows_the_defaults():
    settings = load_settings(EXAMPLE)
    for section, values in DEFAULTS.items():
        for key, value in values.items():
            assert getattr(settings, section)[key] == value, (section, key)


def test_every_mistake_is_reported_at_once_with_its_line_and_what_is_allowed():
    text = EXAMPLE.read_text()
    text = text.replace('name = "entry-1"', 'name = "Entry 1"')
    text = text.replace('hop_address = "127.0.0.1:7003"', 'hop_address = "here"')
    text = text.replace("heartbeat_ms", "hartbeat_ms")
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, name="host.toml")
    lines = str(caught.value).splitlines()
    assert len(lines) == 3
    numbers = {line.split(": ")[1]: int(line.split(":")[1]) for line in lines}
    rows = text.splitlines()
    assert rows[numbers["host.name"] - 1] == 'name = "Entry 1"'
    assert rows[numbers["host.hop_address"] - 1] == 'hop_address = "here"'
    assert rows[numbers["peers.hartbeat_ms"] - 1].startswith("hartbeat_ms")
    assert "known are heartbeat_ms" in str(caught.value)
    assert "an IP number and a port" in str(caught.value)


def test_contradictory_durations_are_refused():
    text = EXAMPLE.read_text().replace("suspect_ms = 2500", "suspect_ms = 1500")
    with pytest.raises(SettingsError, match=r"peers\.suspect_ms"):
        parse_settings(text, name="host.toml")


@pytest.mark.parametrize("text", ["[host", "", "host = 3"])
def test_invalid_settings_file_is_refused(text):
    with pytest.raises(SettingsError, match="host.toml"):
        parse_settings(text, name="host.toml")


def test_error_of_a_missing_settings_file_says_what_to_do():
    with pytest.raises(SettingsError, match="name an existing file"):
        load_settings(Path("/nowhere/host.toml"))
