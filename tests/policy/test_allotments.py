"""Caps: grants, leases, rates with debt, and the demand for more."""

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
def cell(make_cell):
    """A cell with more slots than any cap allows."""
    made = make_cell()
    made.add_endpoints(e1=1000)
    return made


def test_nothing_starts_without_a_grant(cell) -> None:
    """A capped member without a grant waits a short time and then is told why."""
    cell.add_member("acme", concurrency=5)
    assert cell.submit("r1").is_ok()
    assert cell.run_for(0.9) == []
    cell.run_for(0.3)
    refusal = cell.refused["r1"]
    assert refusal.code is ResultCode.CAP_REACHED
    assert refusal.retry_after is not None


def test_grant_lets_waiting_requests_start(cell) -> None:
    """A grant that arrives while requests wait starts as many as it allows."""
    cell.add_member("acme", concurrency=5)
    for number in range(4):
        cell.submit(f"r{number}")
    assert cell.tick() == []
    cell.grant("acme", CONCURRENCY, 3)
    assert len(cell.tick(0.01)) == 3
    assert len(cell.finish("r0")) == 1


def test_lapsed_grant_starts_nothing_new(cell) -> None:
    """What runs goes on after the lease, but nothing new starts until a new grant."""
    cell.add_member("acme", concurrency=5)
    cell.grant("acme", CONCURRENCY, 5, lease_s=1.0)
    cell.submit("r1")
    assert cell.tick(0.5) == ["r1"]
    cell.submit("r2")
    cell.clock.advance(0.5)
    assert cell.tick() == []
    cell.grant("acme", CONCURRENCY, 5, lease_s=1.0)
    assert cell.tick() == ["r2"]


def test_lowered_grant_is_kept_by_what_starts_next(cell) -> None:
    """After a grant was lowered nothing starts until enough has ended."""
    cell.add_member("acme", concurrency=8)
    cell.grant("acme", CONCURRENCY, 4)
    for number in range(6):
        cell.submit(f"r{number}")
    cell.tick()
    cell.grant("acme", CONCURRENCY, 2)
    assert cell.finish("r0") == []
    assert cell.finish("r1") == []
    assert cell.finish("r2") == ["r4"]


def test_lowered_cap_binds_before_the_next_grant(cell) -> None:
    """A cap lowered by an operator limits a grant that was made under the former one."""
    cell.add_member("acme", concurrency=8)
    cell.grant("acme", CONCURRENCY, 8)
    cell.add_member("acme", concurrency=2)
    for number in range(4):
        cell.submit(f"r{number}")
    assert len(cell.tick()) == 2


def test_request_rate_is_kept_after_an_empty_start(cell) -> None:
    """A rate earns from the grant on, so that moving a rate between hosts gives no burst."""
    cell.add_member("acme", requests=10.0)
    cell.grant("acme", REQUESTS, 10.0)
    for number in range(14):
        cell.submit(f"r{number}")
    assert cell.tick() == []
    assert len(cell.run_for(1.0)) == 10


def test_tokens_are_reserved_and_settled(cell) -> None:
    """What an estimate took too much is given back when the request ends."""
    cell.add_member("acme", tokens=100.0)
    cell.grant("acme", TOKENS, 100.0)
    cell.tick(1.0)
    cell.submit("r1", max_tokens=200)
    assert cell.tick(1.0) == ["r1"]
    cell.submit("r2", max_tokens=200)
    assert cell.tick() == []
    assert cell.finish("r1", tokens=0) == ["r2"]


def test_tokens_beyond_the_estimate_become_a_debt(cell) -> None:
    """An answer far longer than expected delays the member's next start until it is paid."""
    cell.add_member("acme", tokens=100.0)
    cell.grant("acme", TOKENS, 100.0)
    cell.submit("r1", max_tokens=2000)
    cell.run_for(0.95)
    cell.tick(0.06)
    assert list(cell.running) == ["r1"]
    cell.relay("r1", 1500)
    cell.finish("r1", tokens=1500)
    # 100 earned, 1500 used: 1400 of debt and 20 for the next request take 14.2 s.
    cell.submit("r2", max_tokens=20)
    cell.run_for(0.9)
    assert not cell.running
    cell.run_for(12.5)
    cell.submit("r3", max_tokens=20)
    assert cell.run_for(0.5) == []
    assert cell.run_for(0.5) == ["r3"]


def test_debt_outlives_a_lapsed_grant(cell) -> None:
    """A debt is neither forgotten nor paid while no grant is in force."""
    cell.add_member("acme", tokens=100.0)
    cell.grant("acme", TOKENS, 100.0, lease_s=2.0)
    cell.tick(1.0)
    cell.submit("r1", max_tokens=1000)
    assert cell.tick() == ["r1"]
    cell.finish("r1", tokens=300)
    cell.clock.advance(50.0)
    cell.grant("acme", TOKENS, 100.0)
    cell.submit("r2", max_tokens=20)
    assert cell.run_for(0.9) == []


def test_end_of_an_agreement_refuses_what_waits(cell) -> None:
    """Requests of a member whose agreement ended are told so, also while its cap blocks it."""
    cell.add_member("acme", concurrency=1)
    cell.grant("acme", CONCURRENCY, 1)
    cell.submit("r1")
    cell.submit("r2")
    cell.tick()
    cell.remove_member("acme")
    cell.tick(0.01)
    assert cell.refused["r2"].code is ResultCode.NO_AGREEMENT
    assert cell.submit("r3").error.code is ResultCode.NO_AGREEMENT


def test_running_requests_stay_counted_over_a_new_agreement(cell) -> None:
    """An agreement that ends and comes back does not double the member's concurrency."""
    cell.add_member("acme", concurrency=1)
    cell.grant("acme", CONCURRENCY, 1)
    cell.submit("r1")
    cell.tick()
    cell.remove_member("acme")
    cell.add_member("acme", concurrency=1)
    cell.grant("acme", CONCURRENCY, 1)
    cell.submit("r2")
    assert cell.tick() == []


def test_queue_at_the_cap_is_short(cell) -> None:
    """Beyond a short queue a member at its cap is refused at once, with spread retry times."""
    cell.add_member("acme", concurrency=2)
    cell.grant("acme", CONCURRENCY, 2)
    results = [cell.submit(f"r{number}") for number in range(2)]
    cell.tick()
    results += [cell.submit(f"r{number}") for number in range(2, 60)]
    refusals = [result.error for result in results if result.is_error()]
    assert len(refusals) == 54
    assert {refusal.code for refusal in refusals} == {ResultCode.CAP_REACHED}
    assert len({refusal.retry_after for refusal in refusals}) > 50


def test_demand_follows_use_and_queue(cell) -> None:
    """Demand tells what runs and what would be wanted beside it."""
    cell.add_member("acme", concurrency=50)
    cell.grant("acme", CONCURRENCY, 2)
    for number in range(6):
        cell.submit(f"r{number}")
    cell.tick()
    (demand,) = cell.scheduler.demand(cell.now)
    assert (demand.used, demand.wanted) == (2.0, 6.0)


def test_idle_capacity_is_given_back_within_a_second(cell) -> None:
    """A member that stopped asking wants nothing one second later."""
    cell.add_member("acme", concurrency=50, requests=500.0, tokens=1e6)
    for dimension, amount in ((CONCURRENCY, 50), (REQUESTS, 500.0), (TOKENS, 1e6)):
        cell.grant("acme", dimension, amount)
    cell.tick(1.0)
    for number in range(40):
        cell.submit(f"r{number}")
    cell.tick()
    for number in range(40):
        cell.finish(f"r{number}")
    before = {demand.dimension: demand.wanted for demand in cell.scheduler.demand(cell.now)}
    cell.clock.advance(1.0)
    after = {demand.dimension: demand.wanted for demand in cell.scheduler.demand(cell.now)}
    assert before[CONCURRENCY] == 40
    assert after[CONCURRENCY] <= 1
    assert after[REQUESTS] <= 0.02 * before[REQUESTS]
    assert after[TOKENS] <= 0.02 * before[TOKENS]


def test_debt_is_reported_as_use(cell) -> None:
    """A rate that pays back a debt can't be given to another host yet."""
    cell.add_member("acme", tokens=100.0)
    cell.grant("acme", TOKENS, 100.0)
    cell.tick(1.0)
    cell.submit("r1", max_tokens=1000)
    cell.tick()
    (demand,) = cell.scheduler.demand(cell.now)
    assert demand.used == 100.0


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32 - 1), st.floats(1.0, 1000.0))
def test_bucket_never_spends_more_than_it_earned(seed: int, rate: float) -> None:
    """Over any window spending stays within rate, burst and one request."""
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


def test_uncapped_member_needs_no_grant(cell) -> None:
    """A member whose agreement has no cap starts at once."""
    cell.add_member("acme")
    cell.submit("r1")
    assert cell.tick() == ["r1"]
