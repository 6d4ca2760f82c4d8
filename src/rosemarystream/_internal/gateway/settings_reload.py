"""Reading of the settings file once more while a host runs."""

from pathlib import Path

from logbook import Logger

from rosemarystream._internal.exceptions import SettingsError
from rosemarystream._internal.gateway.logs import write_log_entry
from rosemarystream._internal.gateway.settings import (
    RESTART_SECTIONS,
    GatewaySettings,
    list_changes,
    load_gateway_settings,
)
from rosemarystream._internal.models.log_entries.process import (
    SettingsReloaded,
    SettingsReloadFailed,
)

log = Logger(__name__)


def reload_settings(path: Path, in_force: GatewaySettings) -> GatewaySettings:
    """Return the settings of a file, or those in force if they can't be used.

    What has changed is logged, and which changes need a restart.
    """
    try:
        settings = load_gateway_settings(path)
    except SettingsError as error:
        write_log_entry(log, SettingsReloadFailed(error=str(error)))
        return in_force
    changes = list_changes(in_force, settings)
    needing_restart = [
        change for change in changes if change.section in RESTART_SECTIONS
    ]
    entry = SettingsReloaded(
        changed=[str(change) for change in changes],
        at_next_start=[str(change) for change in needing_restart],
    )
    write_log_entry(log, entry)
    return settings
