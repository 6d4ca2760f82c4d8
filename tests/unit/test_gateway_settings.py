"""Validation of an entry host's settings reports every mistake."""

import re
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
    for written, expected in (("8", 8.0), ("7.5", 7.5)):
        values = {"bounds.grace-s": written, "bounds.budget-window-s": written}
        bounds = fill_in_template(values)["bounds"]
        assert bounds["shutdown_s"] == expected
        assert bounds["retry_window_s"] == expected


def fill_in_template(values):
    """Return the settings from the bounds on, as a platform with some values has them.

    A section is on one line, so that fillers that look at lines only find it.
    """
    text = (Path(__file__).parents[2] / "deploy/settings.toml").read_text()

    def fill_section(match):
        return match[2] if match[1] in values else ""

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*)\{\{/\1\}\}", fill_section, text)
    for key, value in values.items():
        text = text.replace(f"{{{{{key}}}}}", value)
    section = text[text.index("[bounds]") :]
    return tomllib.loads(section.replace("{{", "'").replace("}}", "'"))


@pytest.mark.parametrize("is_stated", [True, False])
def test_the_template_takes_what_a_platform_need_not_have(is_stated):
    values = {
        "bounds.cold-overshoot": "1.2",
        "bounds.cold-slack": "3",
        "limits.memory-mb": "200",
        "limits.max-fds": "4100",
    }
    document = fill_in_template(values if is_stated else {})
    bounds, resources = document["bounds"], document["resources"]
    found = (bounds.get("cold_overshoot"), bounds.get("cold_slack"))
    assert found == ((1.2, 3) if is_stated else (None, None))
    wanted = {"memory_mb": 200, "max_descriptors": 4100}
    assert resources == (wanted if is_stated else {})


def test_a_time_that_cannot_be_used_is_named(tmp_path):
    with pytest.raises(SettingsError) as error:
        load(tmp_path, GOOD + "[bounds]\nshutdown_s = 0\n")
    assert "bounds.shutdown_s" in str(error.value)
    assert "0.001" in str(error.value)
