"""Validation of an entry host's settings reports every mistake."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from rosemarystream._internal.exceptions import SettingsError
from rosemarystream._internal.gateway.settings import (
    list_changes,
    load_gateway_settings,
)

GOOD = """
[host]
name = "h1"
data_centre = "a"
ip = "127.0.0.1"
caller_address = "127.0.0.1:7000"
ready_address = "127.0.0.1:7001"
peer_port = 7002
metrics_port = 7003

[platform]
address = "127.0.0.1:7100"
"""


def load(tmp_path, text):
    path = tmp_path / "gateway.toml"
    path.write_text(text)
    return load_gateway_settings(path)


def test_omitted_settings_have_defaults(tmp_path):
    settings = load(tmp_path, GOOD)
    assert settings.bounds.retry_ratio == 0.2
    assert settings.log.level == "info"


def test_backups_of_streams_are_off_unless_they_are_switched_on(tmp_path):
    old = load(tmp_path, GOOD)
    new = load(tmp_path, GOOD + "[streams]\nbackups = true\n")
    assert not old.streams.backups
    assert new.streams.backups
    assert [str(c) for c in list_changes(old, new)] == [
        "streams.backups: False to True"
    ]
    with pytest.raises(SettingsError, match="streams.backups"):
        load(tmp_path, GOOD + "[streams]\nbackups = 1\n")


def test_all_mistakes_are_reported_at_once(tmp_path):
    text = GOOD.replace("peer_port = 7002", 'peer_port = "x"')
    text = text.replace('ip = "127.0.0.1"', "colour = 3") + "[extra]\na = 1\n"
    with pytest.raises(SettingsError) as error:
        load(tmp_path, text)
    message = str(error.value)
    for part in ("host.peer_port", "host.ip: missing", "host.colour: unknown", "extra"):
        assert part in message
    assert f"{tmp_path / 'gateway.toml'}:8: host.peer_port: Expected `int`" in message


def test_changes_are_named_with_old_and_new_value(tmp_path):
    old = load(tmp_path, GOOD)
    new = load(tmp_path, GOOD + "[bounds]\nload_multiple = 1.5\n")
    assert [str(change) for change in list_changes(old, new)] == [
        "bounds.load_multiple: 2.0 to 1.5"
    ]
    assert list_changes(old, old) == []


def test_check_command_reports_three_mistakes(tmp_path):
    path = tmp_path / "gateway.toml"
    text = GOOD.replace("peer_port = 7002", "peer_port = 70020")
    path.write_text(text.replace('name = "h1"', 'nam = "h1"'))
    command = [sys.executable, "-m", "rosemarystream", "config", "check", str(path)]
    finished = subprocess.run(
        [*command, "--gateway"], capture_output=True, text=True, check=False
    )
    assert finished.returncode == 2
    mistakes = finished.stderr.splitlines()
    assert len(mistakes) == 3
    for mistake, part in zip(sorted(mistakes), ("name", "nam:", "65535"), strict=True):
        assert part in mistake


def test_missing_settings_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match="name an existing file"):
        load_gateway_settings(tmp_path / "none.toml")


def test_times_with_a_fraction_are_read(tmp_path):
    bounds = "[bounds]\nshutdown_s = 7.5\nretry_window_s = 0.5\nretry_slack = 2.5\n"
    settings = load(tmp_path, GOOD + bounds)
    assert settings.bounds.get_shutdown_s() == 7.5
    assert settings.bounds.get_retry_window_s() == 0.5
    assert settings.bounds.retry_slack == 2.5


def test_the_template_takes_times_as_the_platform_writes_them(tmp_path):
    template = (Path(__file__).parents[2] / "deploy/settings.toml").read_text()
    for written, expected in (("8", 8.0), ("7.5", 7.5)):
        text = template.replace("{{bounds.grace-s}}", written)
        text = text.replace("{{bounds.budget-window-s}}", written)
        section = text[text.index("[bounds]") :]
        section = section.replace("{{", "'").replace("}}", "'")
        bounds = tomllib.loads(section)["bounds"]
        assert bounds["shutdown_s"] == expected
        assert bounds["retry_window_s"] == expected


def test_a_time_that_cannot_be_used_is_named(tmp_path):
    with pytest.raises(SettingsError) as error:
        load(tmp_path, GOOD + "[bounds]\nshutdown_s = 0\n")
    assert "bounds.shutdown_s" in str(error.value)
    assert "0.001" in str(error.value)
