"""Two or three simultaneous faults a round under load, drawn from one seed.

A longer run: ``python -m tests.lib.mixture SEED ROUNDS``.
"""

import signal
import sys
import threading
import time
from random import Random

from standins.calls import request
from standins.fleet import wait_until
from tests.lib.callers import Caller
from tests.lib.fleets import ADMIN, start_fleet
from tests.lib.load import ChatLoad

HOSTS = {"h1": "dc1", "h2": "dc1", "h3": "dc2"}
ENGINES = {"e1": "dc1", "e2": "dc2", "e3": "dc2", "e4": "dc1"}
FAULT_SECONDS = 1.2
CALL_TIMEOUT_MS = "3000"


class Mixture:
    """A fleet under load into which random faults are injected."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.fleet = start_fleet(
            hosts=HOSTS,
            engines=ENGINES,
            proxied=(*ENGINES, "ledger1"),
            proxy_hops=True,
            proxy_peers=True,
            proxy_platform=True,
        )
        self.hosts = list(self.fleet.hosts())
        self.outcomes = {}
        self.recalled = {}
        self.log = []
        self._stopping = threading.Event()

    def run(self, rounds):
        """Inject rounds of faults and check the invariants afterwards."""
        callers = [
            threading.Thread(target=self._call, args=(number,), daemon=True)
            for number in range(3)
        ]
        with ChatLoad(lambda: [h.address for h in self.hosts], chats=8) as load:
            for thread in callers:
                thread.start()
            for _ in range(rounds):
                self._run_round()
            self._stopping.set()
            for thread in callers:
                thread.join(timeout=30)
        self._check(load)
        return load

    def _run_round(self):
        faults = self.random.sample(FAULTS, self.random.choice([2, 3]))
        self.log.append([fault.__name__ for fault in faults])
        threads = [threading.Thread(target=fault, args=(self,)) for fault in faults]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for host in self.hosts:
            wait_until(host.is_ready, seconds=20, what=f"{host.name} is ready")

    def _call(self, number):
        random = Random(number)
        for count in range(10_000):
            if self._stopping.is_set():
                return
            key = f"k{number}-{count // 2}"
            caller = Caller(workspace="depot")
            caller.headers["X-Timeout-Ms"] = CALL_TIMEOUT_MS
            host = random.choice(self.hosts)
            try:
                reply = caller.call_service(host.address, payload={"id": key}, key=key)
                outcome = reply.headers["x-execution"]
            except OSError:
                outcome = "nothing"
            self.outcomes.setdefault(key, []).append(outcome)
            time.sleep(0.02)

    def _check(self, load):
        load.check()
        runs = self.fleet.processes["ledger1"].control()["runs"]
        assert all(count == 1 for count in runs.values()), runs
        for key, outcomes in self.outcomes.items():
            if set(outcomes) == {"not_run"}:
                assert key not in runs, (key, outcomes)
        for engine, started in self.recalled.items():
            now = len(self.fleet.processes[engine].control()["started"])
            assert now == started, (engine, started, now, self.log)


def freeze_engine(mixture):
    name = mixture.random.choice(list(ENGINES))
    _inject_proxy_fault(mixture.fleet.proxies[name], "freeze")


def cut_engine(mixture):
    name = mixture.random.choice(list(ENGINES))
    _inject_proxy_fault(mixture.fleet.proxies[name], "cut")


def cut_ledger(mixture):
    _inject_proxy_fault(mixture.fleet.proxies["ledger1"], "cut")


def freeze_hop(mixture):
    _inject_proxy_fault(
        mixture.fleet.proxies[f"hop-{_pick_host(mixture).name}"], "freeze"
    )


def cut_peer(mixture):
    _inject_proxy_fault(
        mixture.fleet.proxies[f"peer-{_pick_host(mixture).name}"], "cut"
    )


def freeze_platform(mixture):
    _inject_proxy_fault(
        mixture.fleet.proxies[f"platform-{_pick_host(mixture).name}"], "freeze"
    )


def stop_platform(mixture):
    _inject_platform_fault(mixture, "outage")


def slow_platform(mixture):
    _inject_platform_fault(mixture, "slow")


def lose_answers(mixture):
    _inject_platform_fault(mixture, "lose_answers")


def kill_host(mixture):
    host = _pick_host(mixture)
    host.kill()
    time.sleep(FAULT_SECONDS)
    host.start()
    host.wait_open()


def pause_host(mixture):
    host = _pick_host(mixture)
    if host.child.poll() is None:
        host.signal(signal.SIGSTOP)
        time.sleep(FAULT_SECONDS)
        host.signal(signal.SIGCONT)


def recall_engine(mixture):
    remaining = [name for name in ENGINES if name not in mixture.recalled]
    if len(remaining) < 3:
        return
    name = mixture.random.choice(remaining)
    for host in mixture.hosts:
        try:
            body = {"kind": "server", "target": name}
            path = "/v1/recalls"
            reply = request("POST", host.operator_address, path, body, ADMIN)
        except OSError:
            continue
        if reply.status in (200, 202):
            # A host that is paused or cut off learns of the recall after its return.
            time.sleep(2 * FAULT_SECONDS + 3.0)
            started = mixture.fleet.processes[name].control()["started"]
            mixture.recalled[name] = len(started)
            return


def _pick_host(mixture):
    return mixture.random.choice(mixture.hosts)


def _inject_proxy_fault(proxy, mode):
    proxy.set_fault(mode, open=True)
    time.sleep(FAULT_SECONDS)
    proxy.set_fault("pass", open=True)


def _inject_platform_fault(mixture, mode):
    mixture.fleet.set_fault(mode, delay_ms=300)
    time.sleep(FAULT_SECONDS)
    mixture.fleet.set_fault("ok")


FAULTS = [
    freeze_engine,
    cut_engine,
    cut_ledger,
    freeze_hop,
    cut_peer,
    freeze_platform,
    stop_platform,
    slow_platform,
    lose_answers,
    kill_host,
    pause_host,
    recall_engine,
]


def main():
    """Run with the seed and the number of rounds from the arguments."""
    seed, rounds = int(sys.argv[1]), int(sys.argv[2])
    mixture = Mixture(seed)
    try:
        load = mixture.run(rounds)
        print(
            f"seed {seed}: {mixture.log}\nanswered {load.answered}, "
            f"broken {len(load.broken)}, refused {len(load.refused)}, "
            f"calls {len(mixture.outcomes)}"
        )
    finally:
        mixture.fleet.__exit__()


if __name__ == "__main__":
    main()
