"""Hooks of behave that skip known failures and stop fleets."""

from pathlib import Path

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"


def before_scenario(context, scenario):
    """Skip a scenario that is listed as a known failure."""
    context.fleet = None
    if f"scenario: {scenario.name}" in KNOWN_RED.read_text():
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context, scenario):
    """Kill all processes of the scenario."""
    if context.fleet is not None:
        context.fleet.__exit__()
