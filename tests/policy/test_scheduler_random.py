"""Random events: no request is lost, caps and slots are respected, all state is released."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_core.ids import EndpointId, RequestId
from lagoonwing_policy import (
    BoundedQueue,
    FirstComeFirstServed,
    SchedulerSettings,
    UnboundedLongWork,
)
from lagoonwing_policy.models import CapDimension
from tests.policy.conftest import SchedulerHarness

SLOTS = 6
POLICIES = {
    "product": SchedulerSettings(),
    "first_come": SchedulerSettings(
        queue=FirstComeFirstServed(), admission=BoundedQueue(), long_work=UnboundedLongWork()
    ),
}


class RandomRun:
    """One random run with its invariants."""

    def __init__(self, policy: SchedulerSettings, seed: int) -> None:
        self._rng = random.Random(seed)
        self._harness = SchedulerHarness(policy)
        self._harness.add_endpoints(e1=SLOTS)
        self._harness.add_member("free", weight=2.0)
        self._harness.add_member("capped", concurrency=10, tokens=5000.0)
        self._granted = 0
        self._accepted: set[str] = set()
        self._ended: set[str] = set()
        self._cancelled: set[str] = set()

    def step(self) -> None:
        """Perform a random action and check the invariants."""
        before = self._running("capped")
        self._rng.choice([self._submit, self._submit, self._finish, self._grant, self._cancel])()
        self._harness.tick(self._rng.choice([0.0, 0.01, 0.3]))
        after = self._running("capped")
        assert after <= max(before, self._granted)
        assert len(self._harness.running) <= SLOTS
        assert self._harness.scheduler.in_flight(EndpointId("e1")) == len(self._harness.running)

    def end(self) -> None:
        """Complete everything and check that every request ended exactly once."""
        for _ in range(400):
            for name in list(self._harness.running):
                self._finish_one(name)
            self._harness.tick(0.5)
        refused = set(self._harness.refused)
        assert not self._harness.running
        assert self._harness.scheduler.queued() == 0
        assert self._ended | refused | self._cancelled == self._accepted
        assert not self._ended & refused
        assert not self._ended & self._cancelled
        assert len(self._harness.started) == len(set(self._harness.started))

    def _running(self, member: str) -> int:
        return sum(name.startswith(member) for name in self._harness.running)

    def _submit(self) -> None:
        member = self._rng.choice(["free", "capped", "capped"])
        name = f"{member}-{len(self._accepted)}-{self._rng.random()}"
        limit = self._rng.choice([20, 100, 20_000])
        deadline = self._rng.choice([0.5, 5.0, 100.0])
        if self._harness.submit(name, member, 10, limit, deadline).is_ok():
            self._accepted.add(name)

    def _finish(self) -> None:
        if self._harness.running:
            self._finish_one(self._rng.choice(sorted(self._harness.running)))

    def _finish_one(self, name: str) -> None:
        self._harness.relay(name, self._rng.choice([0, 5, 3000]))
        self._harness.finish(name, self._rng.randrange(1, 50))
        self._ended.add(name)

    def _grant(self) -> None:
        self._granted = self._rng.randrange(0, 5)
        self._harness.grant("capped", CapDimension.CONCURRENCY, self._granted)
        self._harness.grant("capped", CapDimension.TOKENS_PER_S, 5000.0)

    def _cancel(self) -> None:
        waiting = (
            self._accepted - self._ended - set(self._harness.running) - set(self._harness.refused)
        )
        if waiting - self._cancelled:
            name = self._rng.choice(sorted(waiting - self._cancelled))
            self._harness.scheduler.cancel(RequestId(name), self._harness.now)
            self._cancelled.add(name)


@pytest.mark.parametrize("policy", POLICIES)
@settings(max_examples=30, deadline=None)
@given(seed=st.integers(0, 2**32 - 1))
def test_every_request_ends_once_and_caps_hold(policy: str, seed: int) -> None:
    """Invariants hold over random submissions, completions, grants and cancellations."""
    run = RandomRun(POLICIES[policy], seed)
    for _ in range(150):
        run.step()
    run.end()
