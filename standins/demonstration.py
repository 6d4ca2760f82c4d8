"""Demonstrate returning chats, a call with a key, a recall and a killed host.

``python -m standins.demonstration`` prints one line per check and exits with 0
if all passed, else with 1.
"""

import sys
import time
from typing import Any

from standins.calls import make_headers, request, stream_turn
from standins.engine import answer_token
from standins.fleet import OPERATOR_KEY, WORKSPACE_KEY, Fleet, Host, wait_until
from standins.sheets import write_sheet

ADMIN = {"Authorization": f"Bearer root:{OPERATOR_KEY}"}
CALLER = make_headers("depot", WORKSPACE_KEY)
CHATS = ("gate-7", "kiln-2", "member-41")
TURNS = 4


class Demonstration:
    """Checks on a fleet of three hosts in two data centres with a few chats."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._hosts: list[Host] = []
        self._prompts = dict.fromkeys(CHATS, "")
        self._hints: dict[str, str] = {}
        self._engines: dict[str, str] = {}
        self.has_passed = True

    def report(self, text: str, holds: bool = True) -> None:
        """Print the result of a check and remember a failure."""
        self.has_passed = self.has_passed and holds
        print(f"{'ok  ' if holds else 'FAIL'} {text}", flush=True)

    def start(self) -> None:
        """Start all processes and apply the first sheet."""
        for number, centre in enumerate(("bergen-1", "bergen-1", "bergen-2")):
            self._fleet.add_engine(f"engine-{number + 1}", centre)
        self._fleet.add_service("ledger-1", "bergen-1")
        self._fleet.publish_hosts()
        data_centres = {
            "entry-1": "bergen-1",
            "entry-2": "bergen-1",
            "entry-3": "bergen-2",
        }
        self._hosts = self._fleet.add_hosts(data_centres)
        for host in self._hosts:
            host.wait_open()
        sheet = write_sheet()
        address = self._hosts[0].operator_address
        request("POST", address, "/v1/sheet/plan", {"sheet": sheet}, ADMIN)
        body = {"sheet": sheet, "base": 0}
        request("POST", address, "/v1/sheet/apply", body, ADMIN)
        self._fleet.wait_ready()
        self.report("three hosts, three engines and a ledger serve the applied sheet")

    def send_turn(self, host: Host, chat: str) -> Any:
        """Send the next turn of a chat and check every token of the answer."""
        self._prompts[chat] += f"turn of {chat}. "
        prompt = self._prompts[chat]
        headers = dict(CALLER)
        if chat in self._hints:
            headers["X-Context-Hint"] = self._hints[chat]
        body = {"pool": "lm", "prompt": prompt, "max_tokens": 12}
        reply = stream_turn(host.address, chat, body, headers)
        is_complete = reply.tokens == [answer_token(prompt, i) for i in range(12)]
        if not is_complete or reply.end is None:
            self.report(f"{chat}: incomplete answer: {reply.error}", False)
            return None
        self._prompts[chat] += "".join(reply.tokens)
        self._hints[chat] = reply.end["context_hint"]
        return reply.end

    def show_returning_chats(self) -> None:
        """Check that a chat sent through changing hosts stays at one engine."""
        for chat in CHATS:
            ends = [
                self.send_turn(self._hosts[(turn + len(chat)) % 3], chat)
                for turn in range(TURNS)
            ]
            engines = {end["engine"] for end in ends}
            self._engines[chat] = ends[-1]["engine"]
            cached = [end["cached_tokens"] for end in ends[1:]]
            self.report(
                f"{chat}: {TURNS} turns through three hosts, all at "
                f"{', '.join(engines)}, tokens from its cache: {cached}",
                len(engines) == 1 and all(cached),
            )

    def show_marked_call(self) -> None:
        """Check that a call sent through every host with one key runs once."""
        headers = {**CALLER, "Idempotency-Key": "pickup-1"}
        body = {"payload": {"id": "pickup-1"}, "idempotent": False}
        path = "/v1/services/ledger/calls"
        statuses = [
            request("POST", host.address, path, body, headers).status
            for host in self._hosts
        ]
        runs = self._fleet.processes["ledger-1"].control()["runs"]
        self.report(
            f"one booking sent three times ran {runs['pickup-1']} time; "
            f"callers were answered {statuses}",
            runs == {"pickup-1": 1},
        )

    def show_recall(self) -> None:
        """Check that no host sends work to an engine recalled at one host."""
        chat = CHATS[0]
        engine = self._engines[chat]
        body = {"kind": "server", "target": engine}
        address = self._hosts[1].operator_address
        request("POST", address, "/v1/recalls", body, ADMIN)
        time.sleep(2.0)
        before = len(self._fleet.processes[engine].control()["started"])
        ends = [self.send_turn(host, chat) for host in self._hosts]
        after = len(self._fleet.processes[engine].control()["started"])
        elsewhere = {end["engine"] for end in ends}
        self.report(
            f"{engine} is recalled: no host sends it new work; {chat} continued at "
            f"{', '.join(elsewhere)}",
            before == after and engine not in elsewhere,
        )

    def show_killed_host(self) -> None:
        """Check that chats are answered after a host is killed and restarted."""
        killed_host = self._hosts[2]
        killed_host.kill()
        ends = [self.send_turn(host, CHATS[1]) for host in self._hosts[:2]]
        self.report(f"{killed_host.name} is killed: its chats are answered", all(ends))
        killed_host.start()
        killed_host.wait_open()
        wait_until(killed_host.is_ready, seconds=15, what="the new host is ready")
        end = self.send_turn(killed_host, CHATS[2])
        self.report(f"a new {killed_host.name} is ready and answers", end is not None)

    def show_shutdown(self) -> None:
        """Check that all hosts shut down with exit code 0."""
        codes = [self._fleet.stop_host(host) for host in self._hosts]
        self.report(f"all hosts shut down, exit codes {codes}", not any(codes))


def main() -> int:
    """Run the demonstration and return its exit code."""
    with Fleet() as fleet:
        demonstration = Demonstration(fleet)
        demonstration.start()
        demonstration.show_returning_chats()
        demonstration.show_marked_call()
        demonstration.show_recall()
        demonstration.show_killed_host()
        demonstration.show_shutdown()
    print("all checks passed" if demonstration.has_passed else "some checks failed")
    return 0 if demonstration.has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
