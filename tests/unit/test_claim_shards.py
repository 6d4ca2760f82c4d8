from rosemarystream._internal.decisions.claims import (
    ClaimRecord,
    ClaimRequest,
    Claims,
    Settlement,
)
from rosemarystream._internal.models.events import ClaimDecided, ClaimOutcome
from tests.lib.store import ModelStore, PendingCall

KEY = "00000000aa"
RETENTION = 10_000.0


class HostPair:
    """Two hosts and a store that answers every call immediately."""

    def __init__(self):
        self.now = 100.0
        self.store = ModelStore()
        self.hosts = [Claims(shards=1, batch_seconds=0.0) for _ in range(2)]

    def claim(self, host, attempt, key=KEY):
        request = ClaimRequest(key, attempt, self.now + 5, self.now + RETENTION)
        return self.settle_calls(host, self.hosts[host].request(request, self.now))

    def record(self, host, attempt, status=200, body="done"):
        record = ClaimRecord(attempt, self.now + RETENTION, status, body)
        self.hosts[host].settle(Settlement(KEY, attempt, record), self.now)
        self.settle_calls(host, [])

    def release(self, host, attempt):
        self.hosts[host].settle(Settlement(KEY, attempt, None), self.now)
        self.settle_calls(host, [])

    def settle_calls(self, host, actions):
        decided = []
        pending = [*actions, *self.hosts[host].expire(self.now)]
        while pending:
            action = pending.pop(0)
            if isinstance(action, ClaimDecided):
                decided.append(action)
                continue
            call = PendingCall(host, action)
            self.store.take_effect(call)
            pending += self.hosts[host].handle(call.result, self.now)
            pending += self.hosts[host].expire(self.now)
        return decided


def test_a_repeat_through_a_host_that_saw_the_claim_gets_the_later_answer():
    pair = HostPair()
    assert pair.claim(0, "a1")[0].outcome is ClaimOutcome.GRANTED
    (open_repeat,) = pair.claim(1, "a2")
    assert (open_repeat.outcome, open_repeat.status) == (ClaimOutcome.HELD, 0)
    pair.record(0, "a1")
    (repeat,) = pair.claim(1, "a3")
    assert (repeat.status, repeat.body) == (200, "done")


def test_a_released_key_can_be_claimed_again():
    pair = HostPair()
    pair.claim(0, "a1")
    pair.release(0, "a1")
    assert pair.claim(1, "a2")[0].outcome is ClaimOutcome.GRANTED


def test_a_release_by_another_attempt_changes_nothing():
    pair = HostPair()
    pair.claim(0, "a1")
    pair.release(1, "a2")
    assert pair.claim(1, "a3")[0].outcome is ClaimOutcome.HELD


def test_claim_expires_after_its_retention_and_a_margin():
    pair = HostPair()
    pair.claim(0, "a1")
    pair.now += RETENTION + 30
    assert pair.claim(1, "a2")[0].outcome is ClaimOutcome.HELD
    pair.now += 60
    assert pair.claim(1, "b1", key="00000000bb")[0].outcome is ClaimOutcome.GRANTED
    assert pair.claim(1, "a3")[0].outcome is ClaimOutcome.GRANTED
