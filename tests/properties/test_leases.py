"""A control lease has at most one holder at a time, whatever happens to the store."""

import hypothesis.strategies as st
import pytest
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
        self.store = ModelStore(era=1)
        self.copy = self.store.save_copy()
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

    @rule(
        span=st.sampled_from([0.0, 0.5, 2.1, 7.5]),
        numbers=st.sets(st.integers(0, HOSTS - 1), min_size=1),
    )
    def settle(self, span, numbers):
        """Some hosts look, and are answered at once, as most of the time."""
        self.now += span
        for host in [self.hosts[number] for number in numbers]:
            for _ in range(2):
                for action in host.expire(self.now):
                    call = PendingCall(host, action)
                    self.store.take_effect(call)
                    list(host.handle(call.result, self.now))

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

    @rule()
    def save_copy(self):
        self.copy = self.store.save_copy()

    @rule()
    def load_copy(self):
        """The store loses what was written since the copy; calls are on their way."""
        self.store.load_copy(self.copy)

    @invariant()
    def one_holder(self):
        holders = [host for host in self.hosts if host.holds(self.now)]
        assert len(holders) <= 1, [host.dump() for host in holders]
        for host in holders:
            owner = self.fences.setdefault(host.fence, host)
            assert owner is host, "a fencing number has one holder"


TestLeaseProtocol = LeaseProtocol.TestCase
TestLeaseProtocol.settings = settings(max_examples=200, stateful_step_count=60)


@pytest.mark.parametrize("knows_era", [True, False])
def test_nobody_takes_the_lease_while_a_holder_of_an_earlier_era_goes_on(knows_era):
    """The shortest order of events that breaks it; the search may miss it."""
    model = LeaseProtocol()
    holder, other, _ = model.hosts
    model.settle(0.0, {0, 1} if knows_era else {0})
    model.settle(SPAN * 1.25, {0})
    assert holder.holds(model.now)
    model.load_copy()
    while holder.holds(model.now):
        model.settle(0.5, {1})
        model.one_holder()
    for _ in range(20):
        model.settle(0.5, {1})
    assert other.holds(model.now)
    model.one_holder()
