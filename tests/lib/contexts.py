"""What the steps of several features share."""

from tests.lib.callers import Caller

LONG_ANSWER = 40


def keep_fleet(context, fleet):
    """Keep a fleet, its hosts and a caller for the steps of a scenario."""
    context.fleet = fleet
    context.hosts = list(fleet.hosts())
    context.caller = Caller(workspace="depot")


def send_long(context, chat="c1"):
    """Send a turn with a long answer and keep the reply."""
    context.reply = context.caller.send_turn(
        context.hosts[0].address, chat=chat, max_tokens=LONG_ANSWER
    )
