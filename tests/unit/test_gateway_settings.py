"""Settings of an entry host are checked whole."""

import pytest

from rosemarystream._internal.exceptions import SettingsError
from rosemarystream._internal.gateway.settings import load_gateway_settings

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


def test_what_is_left_out_has_defaults(tmp_path):
    settings = load(tmp_path, GOOD)
    assert settings.bounds.retry_ratio == 0.2
    assert settings.log.level == "info"


def test_every_mistake_is_named_at_once(tmp_path):
    text = GOOD.replace("peer_port = 7002", 'peer_port = "x"')
    text = text.replace('ip = "127.0.0.1"', "colour = 3") + "[extra]\na = 1\n"
    with pytest.raises(SettingsError) as error:
        load(tmp_path, text)
    message = str(error.value)
    for part in ("host.peer_port", "host.ip: missing", "host.colour: unknown", "extra"):
        assert part in message


def test_a_file_that_is_missing_is_named(tmp_path):
    with pytest.raises(SettingsError, match="name an existing file"):
        load_gateway_settings(tmp_path / "none.toml")
