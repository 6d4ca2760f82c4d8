"""Steps for recalls and for leaving servers."""

import signal
import threading
import time

from behave import given, then, when

from standins.calls import request
from standins.fleet import wait_until
from standins.sheets import write_sheet
from tests.lib.callers import Caller
from tests.lib.contexts import keep_fleet, send_long
from tests.lib.fleets import ADMIN, apply_sheet, start_fleet

HOSTS = {"h1": "dc1", "h2": "dc1", "h3": "dc2"}
CHATS = 24


def recall(context, kind, target, host=0):
    """Add a recall at one host and return its answer."""
    body = {"kind": kind, "target": target}
    address = context.hosts[host].operator_address
    reply = request("POST", address, "/v1/recalls", body, ADMIN)
    assert reply.status in (200, 202), reply
    context.recall_id = reply.json()["recall_id"]
    return reply.json()


@given("a fleet whose hosts reach the platform through fault proxies")
def start_proxied_platform(context):
    keep_fleet(context, start_fleet(hosts=HOSTS, proxy_platform=True))


@when('one host is cut off from the platform and engine "{name}" is recalled')
def recall_with_cut(context, name):
    context.fleet.proxies["platform-h3"].set_fault("cut", open=True)
    recall(context, "server", name)


@when('engine "{name}" is recalled')
def recall_engine(context, name):
    recall(context, "server", name)


@when('the platform is down and engine "{name}" is recalled at one host')
def recall_in_outage(context, name):
    context.fleet.set_fault("outage")
    assert recall(context, "server", name)["stored"] is False


@when("another host is killed and replaced")
def replace_host(context):
    host = context.hosts[1]
    host.kill()
    host.start()
    host.wait_open()
    wait_until(host.is_ready, seconds=15, what="the new host is ready")


@when("an older sheet is applied again")
def apply_again(context):
    apply_sheet(context.hosts[1], write_sheet(load_multiple=2.5))
    apply_sheet(context.hosts[1], write_sheet())


@when('the model version "{target}" is recalled')
def recall_model(context, target):
    recall(context, "model", target)


@when('an engine "{name}" with "{model}" joins')
def join_engine(context, name, model):
    add_late_engine(context, name, model, deaf=False)


@when('an engine "{name}" with "{model}" joins that follows no order')
def join_engine_that_ignores_orders(context, name, model):
    add_late_engine(context, name, model, deaf=True)


def add_late_engine(context, name, model, deaf):
    engine = context.fleet.add_engine(name, "dc1", models=[model], deaf=deaf)
    engine.wait_open()
    context.fleet.publish_hosts(lag_ms=200)
    send_to_all(context)


@then('engine "{name}" never got work while it had "{model}"')
def check_started_with(context, name, model):
    counters = context.fleet.processes[name].control()
    assert counters["started"]
    assert model not in counters["started_with"], counters


@when('a host is paused while engine "{name}" is recalled and goes on')
def recall_with_pause(context, name):
    context.hosts[1].signal(signal.SIGSTOP)
    recall(context, "server", name)
    time.sleep(2.0)
    context.hosts[1].signal(signal.SIGCONT)


@when('engine "{name}" says that it leaves while it streams')
def withdraw_engine(context, name):
    engine = context.fleet.processes[name]
    engine.control(token_ms=40)
    for number in range(CHATS):
        context.caller = Caller(workspace="depot")
        reply = context.caller.send_turn(
            context.hosts[0].address, chat=f"c{number}", max_tokens=1
        )
        if reply.end["engine"] == name:
            break
    chat = f"c{number}"
    thread = threading.Thread(target=send_long, args=(context, chat))
    thread.start()
    time.sleep(0.3)
    engine.control(leaving=True)
    thread.join()


@when("the recall is lifted")
def lift(context):
    path = f"/v1/recalls/{context.recall_id}/lift"
    reply = request("POST", context.hosts[2].operator_address, path, {}, ADMIN)
    assert reply.status == 200, reply


def send_to_all(context):
    """Send many chats through every host; return the engines that answered them."""
    callers = []
    for host in context.hosts:
        caller = Caller(workspace="depot")
        for number in range(CHATS):
            caller.send_turn(host.address, chat=f"{host.name}-{number}", max_tokens=2)
        caller.check_answers()
        callers.append(caller)
    return {r.end["engine"] for caller in callers for r in caller.replies}


@then('no host sends new work to "{name}" from {seconds:d} seconds on')
def check_withdrawn(context, name, seconds):
    time.sleep(seconds)
    engine = context.fleet.processes[name]
    before = len(engine.control()["started"])
    engines = send_to_all(context)
    assert name not in engines, engines
    assert len(engine.control()["started"]) == before


@then("the recall is stored when the platform is back")
def check_stored(context):
    context.fleet.set_fault("ok")

    def is_stored():
        reply = request(
            "GET", context.fleet.platform.address, "/v1/objects/configuration/recalls"
        )
        return reply.status == 200 and context.recall_id in reply.body.decode()

    wait_until(is_stored, seconds=10, what="the recall is stored")


@then('engine "{name}" gets work again')
def check_lifted(context, name):
    wait_until(
        lambda: name in send_to_all(context), seconds=15, what=f"{name} serves again"
    )
