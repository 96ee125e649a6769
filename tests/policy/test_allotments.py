"""Caps: grants, leases, rates with debt, and reported demand."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_core.result_codes import ResultCode
from lagoonwing_policy.allotments import TokenBucket
from lagoonwing_policy.models import CapDimension

CONCURRENCY = CapDimension.CONCURRENCY
REQUESTS = CapDimension.REQUESTS_PER_S
TOKENS = CapDimension.TOKENS_PER_S


@pytest.fixture
def harness(make_harness):
    """A scheduler with more slots than any cap allows."""
    made = make_harness()
    made.add_endpoints(e1=1000)
    return made


def test_nothing_starts_without_a_grant(harness) -> None:
    """Requests of a capped member without a grant are refused after a short wait."""
    harness.add_member("acme", concurrency=5)
    assert harness.submit("r1").is_ok()
    assert harness.run_for(0.9) == []
    harness.run_for(0.3)
    refusal = harness.refused["r1"]
    assert refusal.code is ResultCode.CAP_REACHED
    assert refusal.retry_after is not None


def test_grant_lets_waiting_requests_start(harness) -> None:
    """A grant that arrives while requests are queued starts as many as it allows."""
    harness.add_member("acme", concurrency=5)
    for number in range(4):
        harness.submit(f"r{number}")
    assert harness.tick() == []
    harness.grant("acme", CONCURRENCY, 3)
    assert len(harness.tick(0.01)) == 3
    assert len(harness.finish("r0")) == 1


def test_lapsed_grant_starts_nothing_new(harness) -> None:
    """After the lease expired, running requests continue but none starts until a new grant."""
    harness.add_member("acme", concurrency=5)
    harness.grant("acme", CONCURRENCY, 5, lease_s=1.0)
    harness.submit("r1")
    assert harness.tick(0.5) == ["r1"]
    harness.submit("r2")
    harness.clock.advance(0.5)
    assert harness.tick() == []
    harness.grant("acme", CONCURRENCY, 5, lease_s=1.0)
    assert harness.tick() == ["r2"]


def test_lowered_grant_applies_to_new_starts(harness) -> None:
    """After a grant was lowered, nothing starts until enough requests have ended."""
    harness.add_member("acme", concurrency=8)
    harness.grant("acme", CONCURRENCY, 4)
    for number in range(6):
        harness.submit(f"r{number}")
    harness.tick()
    harness.grant("acme", CONCURRENCY, 2)
    assert harness.finish("r0") == []
    assert harness.finish("r1") == []
    assert harness.finish("r2") == ["r4"]


def test_lowered_cap_applies_before_the_next_grant(harness) -> None:
    """A lowered cap limits a grant that was made under the previous cap."""
    harness.add_member("acme", concurrency=8)
    harness.grant("acme", CONCURRENCY, 8)
    harness.add_member("acme", concurrency=2)
    for number in range(4):
        harness.submit(f"r{number}")
    assert len(harness.tick()) == 2


def test_request_rate_starts_with_an_empty_bucket(harness) -> None:
    """The bucket fills only from the grant on, so moving a rate between hosts gives no burst."""
    harness.add_member("acme", requests=10.0)
    harness.grant("acme", REQUESTS, 10.0)
    for number in range(14):
        harness.submit(f"r{number}")
    assert harness.tick() == []
    assert len(harness.run_for(1.0)) == 10


def test_tokens_are_reserved_and_settled(harness) -> None:
    """Tokens reserved in excess are refunded when the request ends."""
    harness.add_member("acme", tokens=100.0)
    harness.grant("acme", TOKENS, 100.0)
    harness.tick(1.0)
    harness.submit("r1", max_tokens=200)
    assert harness.tick(1.0) == ["r1"]
    harness.submit("r2", max_tokens=200)
    assert harness.tick() == []
    assert harness.finish("r1", tokens=0) == ["r2"]


def test_tokens_beyond_the_estimate_become_a_debt(harness) -> None:
    """An answer far longer than expected delays the next start until its debt is repaid."""
    harness.add_member("acme", tokens=100.0)
    harness.grant("acme", TOKENS, 100.0)
    harness.submit("r1", max_tokens=2000)
    harness.run_for(0.95)
    harness.tick(0.06)
    assert list(harness.running) == ["r1"]
    harness.relay("r1", 1500)
    harness.finish("r1", tokens=1500)
    # 100 tokens accrued and 1500 used: 1400 of debt and 20 for the next request take 14.2 s.
    harness.submit("r2", max_tokens=20)
    harness.run_for(0.9)
    assert not harness.running
    harness.run_for(12.5)
    harness.submit("r3", max_tokens=20)
    assert harness.run_for(0.5) == []
    assert harness.run_for(0.5) == ["r3"]


def test_debt_outlives_a_lapsed_grant(harness) -> None:
    """A debt is neither discarded nor repaid while no grant is in force."""
    harness.add_member("acme", tokens=100.0)
    harness.grant("acme", TOKENS, 100.0, lease_s=2.0)
    harness.tick(1.0)
    harness.submit("r1", max_tokens=1000)
    assert harness.tick() == ["r1"]
    harness.finish("r1", tokens=300)
    harness.clock.advance(50.0)
    harness.grant("acme", TOKENS, 100.0)
    harness.submit("r2", max_tokens=20)
    assert harness.run_for(0.9) == []


def test_end_of_an_agreement_refuses_queued_requests(harness) -> None:
    """Queued requests are refused when the agreement ends, even if the cap blocks the member."""
    harness.add_member("acme", concurrency=1)
    harness.grant("acme", CONCURRENCY, 1)
    harness.submit("r1")
    harness.submit("r2")
    harness.tick()
    harness.remove_member("acme")
    harness.tick(0.01)
    assert harness.refused["r2"].code is ResultCode.NO_AGREEMENT
    assert harness.submit("r3").error.code is ResultCode.NO_AGREEMENT


def test_running_requests_stay_counted_under_a_new_agreement(harness) -> None:
    """An agreement that ends and is created again does not double the concurrency."""
    harness.add_member("acme", concurrency=1)
    harness.grant("acme", CONCURRENCY, 1)
    harness.submit("r1")
    harness.tick()
    harness.remove_member("acme")
    harness.add_member("acme", concurrency=1)
    harness.grant("acme", CONCURRENCY, 1)
    harness.submit("r2")
    assert harness.tick() == []


def test_queue_at_the_cap_is_short(harness) -> None:
    """Beyond a short queue, a member at its cap is refused with jittered retry-after times."""
    harness.add_member("acme", concurrency=2)
    harness.grant("acme", CONCURRENCY, 2)
    results = [harness.submit(f"r{number}") for number in range(2)]
    harness.tick()
    results += [harness.submit(f"r{number}") for number in range(2, 60)]
    refusals = [result.error for result in results if result.is_error()]
    assert len(refusals) == 54
    assert {refusal.code for refusal in refusals} == {ResultCode.CAP_REACHED}
    assert len({refusal.retry_after for refusal in refusals}) > 50


def test_demand_follows_use_and_queue(harness) -> None:
    """Demand reports the running requests as used, and running plus queued as wanted."""
    harness.add_member("acme", concurrency=50)
    harness.grant("acme", CONCURRENCY, 2)
    for number in range(6):
        harness.submit(f"r{number}")
    harness.tick()
    (demand,) = harness.scheduler.demand(harness.now)
    assert (demand.used, demand.wanted) == (2.0, 6.0)


def test_idle_capacity_is_released_within_a_second(harness) -> None:
    """The demand of a member that became idle decays within one second."""
    harness.add_member("acme", concurrency=50, requests=500.0, tokens=1e6)
    for dimension, amount in ((CONCURRENCY, 50), (REQUESTS, 500.0), (TOKENS, 1e6)):
        harness.grant("acme", dimension, amount)
    harness.tick(1.0)
    for number in range(40):
        harness.submit(f"r{number}")
    harness.tick()
    for number in range(40):
        harness.finish(f"r{number}")
    before = {demand.dimension: demand.wanted for demand in harness.scheduler.demand(harness.now)}
    harness.clock.advance(1.0)
    after = {demand.dimension: demand.wanted for demand in harness.scheduler.demand(harness.now)}
    assert before[CONCURRENCY] == 40
    assert after[CONCURRENCY] <= 1
    assert after[REQUESTS] <= 0.02 * before[REQUESTS]
    assert after[TOKENS] <= 0.02 * before[TOKENS]


def test_debt_is_reported_as_use(harness) -> None:
    """A rate that repays a debt can't be moved to another host yet."""
    harness.add_member("acme", tokens=100.0)
    harness.grant("acme", TOKENS, 100.0)
    harness.tick(1.0)
    harness.submit("r1", max_tokens=1000)
    harness.tick()
    (demand,) = harness.scheduler.demand(harness.now)
    assert demand.used == 100.0


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32 - 1), st.floats(1.0, 1000.0))
def test_bucket_never_spends_more_than_it_earned(seed: int, rate: float) -> None:
    """In any window, spending is bounded by the rate, the burst and one request."""
    rng = random.Random(seed)
    bucket = TokenBucket(burst_s=1.0, min_capacity=1.0)
    bucket.set_rate(rate, 0.0)
    now, largest = 0.0, 3.0 * rate
    spent: list[tuple[float, float]] = []
    for _ in range(300):
        now += rng.expovariate(20.0)
        bucket.advance(now)
        amount = rng.uniform(0.0, largest)
        if bucket.covers(amount):
            bucket.spend(amount)
            spent.append((now, amount))
    for first in range(0, len(spent), 5):
        total = 0.0
        for time, amount in spent[first:]:
            total += amount
            bound = rate * (time - spent[first][0]) + rate + largest
            assert total <= bound + 1e-6


def test_uncapped_member_needs_no_grant(harness) -> None:
    """Requests of a member without caps start immediately."""
    harness.add_member("acme")
    harness.submit("r1")
    assert harness.tick() == ["r1"]
