"""Helpers shared by the steps of several features."""

from tests.lib.callers import Caller

LONG_ANSWER = 40


def keep_fleet(context, fleet):
    """Store a fleet, its hosts and a caller in the context of a scenario."""
    context.fleet = fleet
    context.hosts = list(fleet.hosts())
    context.caller = Caller(workspace="depot")


def send_long(context, chat="c1"):
    """Send a turn with a long answer and store the reply in the context."""
    context.reply = context.caller.send_turn(
        context.hosts[0].address, chat=chat, max_tokens=LONG_ANSWER
    )
