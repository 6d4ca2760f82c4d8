"""At-most-once execution: the claim protocol under interleaved store calls."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from rosemarystream._internal.decisions.claims import (
    ClaimRecord,
    ClaimRequest,
    Claims,
    Settlement,
)
from rosemarystream._internal.models.events import ClaimDecided, ClaimOutcome
from tests.lib.store import ModelStore, PendingCall

HOSTS = 3
KEYS = ("00000000aa", "00000000bb")
RETAIN = 10_000.0


class ClaimProtocol(RuleBasedStateMachine):
    """Hosts claim keys while calls are late, lost, or lost after the write."""

    attempts = Bundle("attempts")

    def __init__(self):
        super().__init__()
        self.now = 1_000.0
        self.store = ModelStore()
        self.hosts = [Claims(shards=1, batch_seconds=0.01) for _ in range(HOSTS)]
        self.calls = []
        self.late_writes = []
        self.granted = {}
        self.finished = {}
        self.released = set()
        self.decided = {}
        self.number = 0

    def take(self, owner, actions):
        for action in actions:
            if isinstance(action, ClaimDecided):
                self.note_decision(owner, action)
            else:
                self.calls.append(PendingCall(owner, action))

    def note_decision(self, owner, decision):
        attempt = decision.attempt_id
        assert attempt not in self.decided, "a claim is decided once"
        self.decided[attempt] = decision.outcome
        key, deadline = self.pending[attempt]
        if decision.outcome is ClaimOutcome.GRANTED:
            holders = self.granted.setdefault(key, [])
            holders.append(attempt)
        if decision.status:
            assert (key, decision.body) in self.finished.values()

    @property
    def pending(self):
        return self.__dict__.setdefault("_pending", {})

    @rule(target=attempts, host=st.integers(0, HOSTS - 1), key=st.sampled_from(KEYS))
    def claim(self, host, key):
        self.number += 1
        attempt = f"a{self.number}"
        self.pending[attempt] = key, self.now + 5
        request = ClaimRequest(key, attempt, self.now + 5, self.now + RETAIN)
        self.take(host, self.hosts[host].request(request, self.now))
        return host, key, attempt

    @rule(span=st.sampled_from([0.02, 0.3, 2.0, 6.0]))
    def pass_time(self, span):
        self.now += span
        for owner, host in enumerate(self.hosts):
            self.take(owner, host.expire(self.now))

    @rule(data=st.data(), lost=st.booleans())
    def answer_call(self, data, lost):
        if not self.calls:
            return
        call = data.draw(st.sampled_from(self.calls))
        self.calls.remove(call)
        self.store.take_effect(call)
        result = self.store.lose(call) if lost else call.result
        self.take(call.owner, self.hosts[call.owner].handle(result, self.now))

    @rule(data=st.data(), arrives=st.booleans())
    def time_out_call(self, data, arrives):
        """The host gives up; the call may reach the store later all the same."""
        if not self.calls:
            return
        call = data.draw(st.sampled_from(self.calls))
        self.calls.remove(call)
        if arrives:
            self.late_writes.append(call)
        result = self.store.lose(call)
        self.take(call.owner, self.hosts[call.owner].handle(result, self.now))

    @rule()
    def settle_all(self):
        """Everything is answered at once, as most of the time."""
        for _ in range(4):
            self.pass_time(0.02)
            calls, self.calls = self.calls, []
            for call in calls:
                self.store.take_effect(call)
                self.take(
                    call.owner, self.hosts[call.owner].handle(call.result, self.now)
                )

    @rule(data=st.data())
    def deliver_late_write(self, data):
        if self.late_writes:
            call = data.draw(st.sampled_from(self.late_writes))
            self.late_writes.remove(call)
            self.store.take_effect(call)

    @rule(host=st.integers(0, HOSTS - 1))
    def replace_host(self, host):
        """The host is killed with all it knows; a new one takes its place."""
        self.hosts[host] = Claims(shards=1, batch_seconds=0.01)
        lost = [call for call in self.calls if call.owner == host]
        self.calls = [call for call in self.calls if call.owner != host]
        self.late_writes.extend(lost)

    @rule(claim=attempts, answered=st.booleans())
    def end_call(self, claim, answered):
        host, key, attempt = claim
        if self.decided.get(attempt) is not ClaimOutcome.GRANTED:
            return
        if attempt in self.released or attempt in self.finished:
            return
        record = None
        if answered:
            self.finished[attempt] = key, f"by {attempt}"
            record = ClaimRecord(attempt, self.now + RETAIN, 200, f"by {attempt}")
        else:
            self.released.add(attempt)
        self.hosts[host].settle(Settlement(key, attempt, record), self.now)

    @invariant()
    def one_holder(self):
        for key, holders in self.granted.items():
            live = [attempt for attempt in holders if attempt not in self.released]
            assert len(live) <= 1, (key, holders, self.released)


TestClaimProtocol = ClaimProtocol.TestCase
TestClaimProtocol.settings = settings(max_examples=200, stateful_step_count=100)
