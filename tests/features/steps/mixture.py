"""Steps for combinations of faults."""

from behave import then, when

from tests.lib.mixture import Mixture


@when("{rounds:d} rounds of faults drawn from seed {seed:d} come to a fleet under load")
def run_mixture(context, rounds, seed):
    mixture = Mixture(seed)
    context.fleet = mixture.fleet
    context.load = mixture.run(rounds)
    context.mixture = mixture


@then("all that must always hold has held")
def check_load(context):
    assert context.load.answered > 20, context.load.answered
    assert not [r for r in context.load.refused if r["execution"] == "unknown"]
