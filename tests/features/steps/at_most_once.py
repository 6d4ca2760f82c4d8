"""Steps for calls that may run at most once."""

import signal
import threading
import time

from behave import given, then, when

from standins.fleet import wait_until
from tests.lib.callers import Caller
from tests.lib.contexts import keep_fleet
from tests.lib.fleets import start_fleet

FAULTS = {
    "refused": {"mode": "refuse"},
    "cut in the request's head": {"mode": "cut", "after_up_bytes": 40, "only": "POST"},
    "cut in the request's body": {"mode": "cut", "after_up_bytes": 165, "only": "POST"},
    "cut after the request's body": {
        "mode": "cut",
        "after_down_bytes": 0,
        "only": "POST",
    },
    "cut in the answer": {"mode": "cut", "after_down_bytes": 60, "only": "POST"},
    "frozen after the request": {
        "mode": "freeze",
        "after_down_bytes": 0,
        "only": "POST",
    },
}
TIMEOUT_MS = "4000"


class OutcomeRecorder:
    """Records the execution outcomes reported for each call, by the payload's id."""

    def __init__(self, context):
        self._context = context
        self.outcomes = {}
        context.sent = getattr(context, "sent", 0)

    def send(self, host, call, key=None, timeout=20.0):
        """Send one call and record the reported outcome."""
        caller = Caller(workspace="depot")
        caller.headers["X-Timeout-Ms"] = TIMEOUT_MS
        try:
            reply = caller.call_service(
                host.address, payload={"id": call}, key=key or call, timeout=timeout
            )
        except OSError:
            self.outcomes.setdefault(call, []).append("nothing")
            return None
        if reply.status >= 400:
            print(call, reply.json()["error"], reply.json()["message"])
        self.outcomes.setdefault(call, []).append(reply.headers["x-execution"])
        return reply


def count_runs(context):
    """Return how often each call ran, by the payload's id."""
    return context.fleet.processes["ledger1"].control()["runs"]


@given("a fleet whose ledger stands behind a fault proxy")
def start_proxied_ledger(context):
    fleet = start_fleet(
        hosts={"h1": "dc1", "h2": "dc1", "h3": "dc2"}, proxied=("ledger1",)
    )
    keep_fleet(context, fleet)
    context.recorder = OutcomeRecorder(context)


@when("{count:d} calls are sent while connections are {fault}")
def send_under_fault(context, count, fault):
    proxy = context.fleet.proxies["ledger1"]
    proxy.set_fault(**FAULTS[fault])
    threads = [
        threading.Thread(
            target=context.recorder.send, args=(context.hosts[n % 3], f"call-{n}")
        )
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    proxy.set_fault("pass")


@then("no call that was told as not run has run")
def check_not_run(context):
    counts = count_runs(context)
    print(context.recorder.outcomes)
    for call, reported in context.recorder.outcomes.items():
        if set(reported) == {"not_run"}:
            assert counts.get(call, 0) == 0, (call, reported, counts)


@then("no call has run twice")
def check_once(context):
    assert all(count == 1 for count in count_runs(context).values()), count_runs(
        context
    )


@then("calls sent again with the same key after the fault run at most once")
def repeat_calls(context):
    time.sleep(1.0)
    for call in list(context.recorder.outcomes):
        context.recorder.send(context.hosts[1], call)
        reported = context.recorder.outcomes[call]
        count = count_runs(context).get(call, 0)
        assert count <= 1, (call, reported, count)
        if reported[0] == "not_run":
            assert count == 1, (call, reported, count)


@when("the same marked call is sent through every host at once")
def send_through_all_hosts(context):
    context.recorder = OutcomeRecorder(context)
    context.answers = []

    def send(host):
        context.answers.append(context.recorder.send(host, "one", key="one"))

    threads = [threading.Thread(target=send, args=(h,)) for h in context.hosts * 3]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

    def repeat():
        context.answers.append(context.recorder.send(context.hosts[0], "one"))
        return context.answers[-1].status == 200

    # The answer is recorded just after it has been sent.
    wait_until(repeat, seconds=5, what="the recorded answer")


@then("it has run once")
def check_one(context):
    assert sum(count_runs(context).values()) == 1, count_runs(context)


@then("every repeat got the recorded answer or was told that the key is held")
def check_repeats(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) <= {200, 409}, statuses
    assert statuses[-1] == 200
    assert {a.body for a in context.answers if a.status == 200} == {
        context.answers[-1].body
    }


@when("the host is killed while its marked call runs")
def kill_while_running(context):
    context.recorder = OutcomeRecorder(context)
    context.fleet.processes["ledger1"].control(work_ms=800)
    host = context.hosts[0]
    thread = threading.Thread(target=context.recorder.send, args=(host, "one"))
    thread.start()
    wait_until(lambda: count_runs(context), seconds=5, what="the call runs")
    host.kill()
    thread.join()


@when("the call is repeated through the other hosts")
def repeat_elsewhere(context):
    for host in context.hosts[1:]:
        for call in list(context.recorder.outcomes):
            context.recorder.send(host, call)


@when('marked calls are sent while the platform is in "{mode}"')
def send_in_mode(context, mode):
    if not hasattr(context, "recorder"):
        context.recorder = OutcomeRecorder(context)
    context.fleet.set_fault(mode, delay_ms=300)
    calls = [f"{mode}-{n}" for n in range(4)]
    threads = [
        threading.Thread(
            target=context.recorder.send, args=(context.hosts[n % 3], call)
        )
        for call in calls
        for n in range(2)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.fleet.set_fault("ok")
    for n, call in enumerate(calls):
        context.recorder.send(context.hosts[n % 3], call)


@then("idempotent calls and turns are answered during an outage")
def serve_in_outage(context):
    context.fleet.set_fault("outage")
    for number, host in enumerate(context.hosts):
        reply = context.caller.call_service(host.address, payload={"id": f"i{number}"})
        assert reply.status == 200, reply
        context.caller.send_turn(host.address, chat="during")
    context.caller.check_answers()


@when("a host is paused while marked calls come to it")
def pause_host(context):
    context.recorder = OutcomeRecorder(context)
    host = context.hosts[0]
    threads = [
        threading.Thread(target=context.recorder.send, args=(host, f"paused-{n}"))
        for n in range(6)
    ]
    for number, thread in enumerate(threads):
        thread.start()
        if number == 2:
            time.sleep(0.015)
            host.signal(signal.SIGSTOP)
    repeat_elsewhere(context)
    time.sleep(4.5)
    host.signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    repeat_elsewhere(context)
