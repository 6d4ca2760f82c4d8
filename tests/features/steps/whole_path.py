"""Steps for the path of turns and calls through the whole fleet."""

from behave import given, then, when

from tests.lib.contexts import keep_fleet
from tests.lib.fleets import start_fleet


@given("a fleet of two data centres with three hosts")
def start_two_data_centres(context):
    fleet = start_fleet(hosts={"h1": "dc1", "h2": "dc1", "h3": "dc2"})
    keep_fleet(context, fleet)


@when("a chat sends {count:d} turns through all hosts in turn")
def send_turns(context, count):
    for number in range(count):
        host = context.hosts[number % len(context.hosts)]
        context.caller.send_turn(host.address, chat="c1", text=f"turn {number}. ")


@then("every answer is whole")
def check_answers(context):
    context.caller.check_answers()


@then("every turn after the first was answered from the cache")
def check_cache(context):
    for reply in context.caller.replies[1:]:
        assert reply.end["cached_tokens"] > 0, reply.end


@when("a caller calls the ledger {count:d} times through all hosts in turn")
def call_ledger(context, count):
    for number in range(count):
        host = context.hosts[number % len(context.hosts)]
        context.caller.call_service(host.address, payload={"id": f"call-{number}"})


@then("every call was answered and ran once")
def check_calls(context):
    assert [reply.status for reply in context.caller.call_replies] == [200] * 3
    runs = context.fleet.processes["ledger1"].control()["runs"]
    assert runs == {f"call-{number}": 1 for number in range(3)}, runs
