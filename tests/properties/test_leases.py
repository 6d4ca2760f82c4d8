"""A control lease has at most one holder at a time, also if store calls fail."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemarystream._internal.decisions.leases import Lease
from tests.lib.store import ModelStore, PendingCall

HOSTS = 3
SPAN = 6.0


class LeaseProtocol(RuleBasedStateMachine):
    """Hosts take, renew and lose a lease; pauses are time without steps."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = ModelStore()
        self.calls = []
        self.incarnations = 0
        self.hosts = [self.make_host() for _ in range(HOSTS)]
        self.fences = {}

    def make_host(self):
        self.incarnations += 1
        return Lease(
            lease_name="control",
            holder=f"h{self.incarnations}",
            span=SPAN,
            is_candidate=lambda: True,
        )

    @rule(host=st.integers(0, HOSTS - 1), span=st.sampled_from([0.0, 0.5, 2.1, 7.5]))
    def step(self, host, span):
        """Time passes; one host looks, the others are paused meanwhile."""
        self.now += span
        actions = self.hosts[host].expire(self.now)
        self.calls.extend(PendingCall(host, action) for action in actions)

    @rule(data=st.data(), lost=st.booleans(), late=st.booleans())
    def answer_call(self, data, lost, late):
        if not self.calls:
            return
        call = data.draw(st.sampled_from(self.calls))
        self.calls.remove(call)
        if late:
            self.now += 1.0
        self.store.take_effect(call)
        result = self.store.lose(call) if lost else call.result
        list(self.hosts[call.owner].handle(result, self.now))

    @rule(host=st.integers(0, HOSTS - 1))
    def replace_host(self, host):
        self.calls = [call for call in self.calls if call.owner != host]
        self.hosts[host] = self.make_host()

    @invariant()
    def one_holder(self):
        holders = [host for host in self.hosts if host.holds(self.now)]
        assert len(holders) <= 1, [host.dump() for host in holders]
        for host in holders:
            owner = self.fences.setdefault(host.fence, host)
            assert owner is host, "a fencing number has one holder"


TestLeaseProtocol = LeaseProtocol.TestCase
TestLeaseProtocol.settings = settings(max_examples=200, stateful_step_count=60)
