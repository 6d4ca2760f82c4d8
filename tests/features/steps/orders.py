"""Steps for orders to engines."""

import signal
import time
from collections import Counter

from behave import given, then, when

from standins.fleet import wait_until
from standins.sheets import write_sheet
from tests.lib.contexts import keep_fleet
from tests.lib.fleets import apply_sheet, start_fleet

ENGINES = {"e1": "dc1", "e2": "dc1", "e3": "dc1"}


@given("a fleet of engines that {check} the fencing number")
def start_engines(context, check):
    context.checks = check == "check"
    fleet = start_fleet(
        hosts={"h1": "dc1", "h2": "dc1", "h3": "dc1"},
        engines=ENGINES,
        sheet=write_sheet(checks_fence=context.checks),
        engine_options={"checks_fence": context.checks},
    )
    keep_fleet(context, fleet)
    context.holder = wait_until(
        lambda: find_holder(context.hosts), seconds=10, what="a control holder"
    )


def find_holder(hosts):
    """Return the host that holds the control lease."""
    for host in hosts:
        state = host.dump()["lease"]
        if state["holder"].startswith(f"{host.name}/") and state["deadline"] > 0:
            return host
    return None


def list_other_hosts(context):
    return [host for host in context.hosts if host is not context.holder]


@when("the control holder is paused while the sheet names another version")
def pause_holder(context):
    sheet = write_sheet(version="2", checks_fence=context.checks)
    apply_sheet(list_other_hosts(context)[0], sheet)
    time.sleep(0.15)
    context.holder.signal(signal.SIGSTOP)


@then("another host takes over and every engine has just the new version")
def check_taken_over(context):
    wait_until(
        lambda: find_holder(list_other_hosts(context)),
        seconds=15,
        what="another holder",
    )
    check_versions(context)


@then("every engine has just the new version")
def check_versions(context):
    def has_version():
        states = [context.fleet.processes[name].control() for name in ENGINES]
        return all(state["models"] == ["lm@2"] for state in states)

    wait_until(has_version, seconds=20, what="every engine has lm@2")


@when("the paused holder goes on")
def resume_holder(context):
    context.holder.signal(signal.SIGCONT)
    time.sleep(2.0)


@then("no engine was given an order twice")
def check_once(context):
    check_versions(context)
    for name in ENGINES:
        orders = context.fleet.processes[name].control()["orders"]
        counts = Counter((order["action"], order["target"]) for order in orders)
        assert max(counts.values(), default=0) == 1, (name, orders)


@when("the control holder is killed during an outage of the platform")
def kill_holder(context):
    context.fleet.set_fault("outage")
    context.holder.kill()
    time.sleep(3.0)
    context.fleet.set_fault("ok")


@when("a sheet with another version is applied after the outage")
def apply_after(context):
    sheet = write_sheet(version="2", checks_fence=context.checks)
    apply_sheet(list_other_hosts(context)[0], sheet)
