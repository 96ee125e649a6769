"""Retry budget, suspicions and load tracking of a gateway, on a manual clock."""

from __future__ import annotations

import random

import pytest

from lagoonwing_catalog.messages import EndpointLoad
from lagoonwing_catalog.models import LayerRange
from lagoonwing_core.clock import ManualClock
from lagoonwing_core.ids import EndpointId, ServiceId
from lagoonwing_gateway._load_tracker import LoadTracker
from lagoonwing_gateway._retry_budget import RetryBudget
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway.const import MAX_CONSECUTIVE_FAILURES, MAX_SUSPICION_S, MIN_SUSPICION_S
from lagoonwing_gateway.models import FailureEvidence
from lagoonwing_gateway.settings import RetryBudgetSettings
from lagoonwing_placement import Path, PathSegment, RequestSize

BUDGET = RetryBudgetSettings(ratio=0.2, slack=40.0, window_s=10.0)
SERVICE = ServiceId("s-1")
ONE, TWO = EndpointId("e-1"), EndpointId("e-2")


@pytest.mark.parametrize("gateways", [1, 4, 35])
def test_gateways_together_stay_within_the_retry_budget(gateways: int) -> None:
    """Retries never exceed ratio and slack in any window, however requests are distributed."""
    rng = random.Random(gateways)
    clock = ManualClock()
    budgets = [RetryBudget(BUDGET, clock) for _ in range(gateways)]
    sends: list[tuple[float, bool]] = []
    for _ in range(4_000):
        clock.advance(rng.random() * 0.02)
        budget = rng.choice(budgets[: 1 + rng.randrange(gateways)])
        if rng.random() < 0.4:
            budget.record_first_send(SERVICE)
            sends.append((clock.now(), True))
        elif budget.try_acquire(SERVICE, gateways):
            sends.append((clock.now(), False))
    for now, _ in sends[::20]:
        window = [first for sent_at, first in sends if now - BUDGET.window_s < sent_at <= now]
        assert window.count(False) <= BUDGET.ratio * window.count(True) + BUDGET.slack


def test_suspicion_doubles_and_expires() -> None:
    """Each failure after a suspicion has expired doubles its duration, up to the maximum."""
    clock = ManualClock()
    suspicions = SuspicionTracker(clock)
    durations = []
    for _ in range(5):
        suspicions.record_failure(ONE, "refused", FailureEvidence.REFUSED)
        suspected_at = clock.now()
        while not suspicions.is_usable(ONE):
            clock.advance(0.25)
        durations.append(clock.now() - suspected_at)
    assert durations[:3] == [MIN_SUSPICION_S, 2 * MIN_SUSPICION_S, 4 * MIN_SUSPICION_S]
    assert max(durations) <= MAX_SUSPICION_S
    assert suspicions.is_usable(TWO)


def test_only_consecutive_call_failures_cause_suspicion() -> None:
    """A successful response resets the failure count."""
    clock = ManualClock()
    suspicions = SuspicionTracker(clock)
    for _ in range(MAX_CONSECUTIVE_FAILURES - 1):
        suspicions.record_soft_failure(ONE, "status 500", FailureEvidence.RESPONSE)
    suspicions.record_progress([ONE])
    for _ in range(MAX_CONSECUTIVE_FAILURES - 1):
        suspicions.record_soft_failure(ONE, "status 500", FailureEvidence.RESPONSE)
    assert suspicions.is_usable(ONE)
    suspicions.record_soft_failure(ONE, "status 500", FailureEvidence.RESPONSE)
    assert not suspicions.is_usable(ONE)


def test_only_endpoints_without_progress_are_returned() -> None:
    """Progress on another stream clears an endpoint of a silent path."""
    clock = ManualClock(10.0)
    suspicions = SuspicionTracker(clock)
    suspicions.record_progress([ONE])
    assert suspicions.without_progress_since([ONE, TWO], 9.0) == (TWO,)


def test_load_is_zero_after_all_requests_are_released() -> None:
    """No load remains, whether prefill was completed before the release or not."""
    load_tracker = LoadTracker()
    path = Path((PathSegment(ONE, LayerRange(0, 4)), PathSegment(TWO, LayerRange(4, 8))), 1.0, 1.0)
    prefill_ms_by_id = {ONE: 3.0, TWO: 5.0}
    first = load_tracker.reserve(path, RequestSize(100, 20), dict(prefill_ms_by_id))
    second = load_tracker.reserve(path, RequestSize(50, 10), dict(prefill_ms_by_id))
    assert load_tracker.local_loads()[ONE] == EndpointLoad(2, (120 + 60) * 4, 6)
    load_tracker.complete_prefill(first)
    assert load_tracker.local_loads()[TWO].prefill_ms == 5
    remote_loads = {ONE: EndpointLoad(1, 40, 2)}
    assert load_tracker.loads(remote_loads)[ONE] == EndpointLoad(3, 760, 5)
    load_tracker.release(first)
    load_tracker.release(second)
    assert load_tracker.local_loads() == {}
    assert load_tracker.loads(remote_loads) == remote_loads
