"""Steps for the accepted configuration."""

import threading
import time

from behave import given, then, when

from standins.calls import request
from standins.fleet import wait_until
from standins.sheets import write_sheet
from tests.lib.callers import Caller
from tests.lib.contexts import keep_fleet
from tests.lib.fleets import ADMIN, apply_sheet, start_fleet


class GenerationWatch:
    """Polls the generation of every host and records each one that decreases."""

    def __init__(self, hosts):
        self._hosts = hosts
        self._highest = {}
        self.reversions = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stopping.is_set():
            for host in self._hosts:
                self._read(host)
            time.sleep(0.05)

    def _read(self, host):
        try:
            if not host.is_ready():
                return
            generation = host.dump()["configuration"]["generation"]
        except (OSError, KeyError):
            return
        if generation < self._highest.get(host.name, 0):
            self.reversions.append((host.name, self._highest[host.name], generation))
        self._highest[host.name] = generation

    def stop(self):
        """Stop polling and return the recorded decreases."""
        self._stopping.set()
        self._thread.join()
        return self.reversions


@when("{count:d} operators apply different sheets made from the same plan at once")
def apply_concurrently(context, count):
    replies = []
    base = context.hosts[0].dump()["configuration"]["generation"]

    def apply(number):
        sheet = write_sheet(workspaces=("depot", f"space{number}"))
        host = context.hosts[number % 3]
        body = {"sheet": sheet, "base": base}
        path = "/v1/sheet/apply"
        replies.append(request("POST", host.operator_address, path, body, ADMIN))

    threads = [threading.Thread(target=apply, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.replies = replies
    context.generation = base + 1


@then("exactly one of them was accepted and all others were told of a conflict")
def check_one_accepted(context):
    statuses = sorted(reply.status for reply in context.replies)
    assert statuses == [200] + [409] * (len(statuses) - 1), statuses


@when("a sheet is applied while the platform loses its answers")
def apply_lossy(context):
    context.fleet.set_fault("lose_answers")
    sheet = write_sheet(workspaces=("depot", "late"))
    context.generation = apply_sheet(context.hosts[0], sheet)
    context.fleet.set_fault("ok")


@when("a sheet is applied and the platform goes down at once")
def apply_then_outage(context):
    context.watch = GenerationWatch(context.hosts)
    sheet = write_sheet(workspaces=("depot", "late"))
    context.generation = apply_sheet(context.hosts[0], sheet)
    context.fleet.set_fault("outage")


@when("every host but one is killed and replaced")
def replace_hosts(context):
    for host in context.hosts[1:]:
        host.kill()
        host.start()
        host.wait_open()
        wait_until(host.is_ready, seconds=15, what=f"{host.name} is ready again")


@when("one host is cut off from the platform and a sheet is applied")
def apply_with_cut(context):
    context.fleet.proxies["platform-h3"].set_fault("cut", open=True)
    sheet = write_sheet(workspaces=("depot", "late"))
    context.generation = apply_sheet(context.hosts[0], sheet)


@then("the accepted configuration is in force on every host within {seconds:d} seconds")
def check_in_force(context, seconds):
    def is_in_force():
        states = [host.dump()["configuration"] for host in context.hosts]
        ids = {state["change_id"] for state in states}
        return len(ids) == 1 and states[0]["generation"] == context.generation

    wait_until(is_in_force, seconds=seconds, what=f"generation {context.generation}")


@then("no host ever went back to an older configuration")
def check_no_reversions(context):
    reversions = context.watch.stop()
    assert not reversions, reversions


def start_proxied_fleet(context, hosts):
    fleet = start_fleet(
        hosts=hosts, proxy_hops=True, proxy_peers=True, proxy_platform=True
    )
    keep_fleet(context, fleet)
    context.watch = GenerationWatch(context.hosts)


@given("a fleet whose data centres can be cut off from each other")
def start_two(context):
    start_proxied_fleet(context, {"h1": "dc1", "h3": "dc2"})


@given("a fleet with three hosts whose connections can be silenced")
def start_three(context):
    start_proxied_fleet(context, {"h1": "dc1", "h2": "dc1", "h3": "dc2"})


@when('data centre "{centre}" is cut off, a sheet is applied, and it rejoins')
def cut_centre(context, centre):
    apply_during_partition(context, "peer-h1 hop-h1 peer-h3 hop-h3 platform-h3")


@when(
    'control connections of "{one}" and "{other}" and all others of "{third}" go silent'
)
def cut_some(context, one, other, third):
    apply_during_partition(
        context, f"peer-{one} peer-{other} hop-{third} platform-{third}"
    )


def apply_during_partition(context, names):
    """Freeze proxies, apply a sheet, send a turn to every host, then unfreeze."""
    proxies = [context.fleet.proxies[name] for name in names.split()]
    for proxy in proxies:
        proxy.set_fault("freeze", open=True)
    time.sleep(1.0)
    sheet = write_sheet(workspaces=("depot", "late"))
    context.generation = apply_sheet(context.hosts[0], sheet)
    time.sleep(2.5)
    context.served = []
    for host in context.hosts:
        caller = Caller(workspace="depot")
        caller.send_turn(host.address, chat="cut", max_tokens=3)
        context.served.append(caller)
    for proxy in proxies:
        proxy.set_fault("pass", open=True)


@then("every host went on serving")
def check_served(context):
    for caller in context.served:
        caller.check_answers()
