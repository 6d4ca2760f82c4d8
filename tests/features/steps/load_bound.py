"""Steps for the load bound, measured by the peaks that engines count."""

import time

from behave import given, then, when

from standins.fleet import wait_until
from standins.sheets import write_sheet
from tests.lib.contexts import keep_fleet
from tests.lib.fleets import start_fleet
from tests.lib.load import ChatLoad

ENGINES = {"e1": "dc1", "e2": "dc1", "e3": "dc2"}


@given("a fleet whose sheet sets a multiple of 1.5 and many slots")
def start_bounded(context):
    fleet = start_fleet(
        hosts={"h1": "dc1", "h2": "dc1", "h3": "dc2"},
        engines=ENGINES,
        sheet=write_sheet(load_multiple=1.5, slots=64),
        engine_options={"slots": 64, "token_ms": 20},
    )
    keep_fleet(context, fleet)


@when("{count:d} chats go on for {seconds:d} seconds")
def run_chats(context, count, seconds):
    addresses = [host.address for host in context.hosts]
    with ChatLoad(lambda: addresses, chats=count) as load:
        time.sleep(seconds)
    context.load = load


@when("{count:d} chats go on while a host is killed and replaced")
def replace_host_under_load(context, count):
    alive = {host.name: host for host in context.hosts}
    with ChatLoad(lambda: [h.address for h in alive.values()], chats=count) as load:
        time.sleep(3.0)
        killed_host = alive.pop("h1")
        killed_host.kill()
        time.sleep(2.0)
        killed_host.start()
        killed_host.wait_open()
        wait_until(killed_host.is_ready, seconds=15, what="h1 is ready again")
        alive["h1"] = killed_host
        time.sleep(3.0)
    context.load = load


@then("no engine ever carried more than {bound:d} requests")
def check_peaks(context, bound):
    # 24 chats on three engines have a mean of at most 8; the bound is 1.5 times that.
    peaks = {name: context.fleet.processes[name].control()["peak"] for name in ENGINES}
    print(peaks)
    assert max(peaks.values()) <= bound, peaks
