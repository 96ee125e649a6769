"""Allotments stay within the caps under message loss, delay, duplication and leader changes."""

from __future__ import annotations

import random

import pytest
from allotment_simulation import (
    CONCURRENCY,
    RATE,
    SETTINGS,
    TOLERANCE,
    AllotmentSimulation,
    draw_step,
    run_step,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonwing_control._fair_sharing import divide_cap, max_min_fair_shares
from lagoonwing_core.ids import HostId

WALK_STEPS = 120
WALKS_PER_CHUNK = 200


@pytest.mark.parametrize("chunk", range(6))
def test_total_usage_never_exceeds_the_cap(chunk: int) -> None:
    """The total that the entry hosts may use is within the cap after every step.

    Seeds are enumerated, because those that hypothesis draws depend on the modules loaded.
    """
    for seed in range(chunk * WALKS_PER_CHUNK, (chunk + 1) * WALKS_PER_CHUNK):
        run_walk(seed)


def run_walk(seed: int) -> None:
    """Run one random walk and check the cap after each step."""
    draw = random.Random(seed)
    simulation = AllotmentSimulation()
    for _ in range(WALK_STEPS):
        run_step(simulation, draw_step(draw))
        for entry in simulation.entries:
            simulation.start(entry)
        simulation.check()


def test_idle_capacity_moves_to_hosts_with_demand() -> None:
    """Capacity that one entry host gives up reaches another after one more exchange of each."""
    simulation = AllotmentSimulation()
    for _ in range(3):
        run_step(simulation, ("exchange", 0, 10))
        run_step(simulation, ("exchange", 1, 0))
    assert simulation.entries[0].amount(CONCURRENCY, simulation.real_s) == 10
    for _ in range(2):
        run_step(simulation, ("exchange", 1, 10))
        run_step(simulation, ("exchange", 0, 0))
    run_step(simulation, ("exchange", 1, 10))
    assert simulation.entries[1].amount(CONCURRENCY, simulation.real_s) == 10
    assert simulation.entries[0].amount(RATE, simulation.real_s) < 1.0


def test_saturated_entry_hosts_get_equal_shares() -> None:
    """Two saturated entry hosts get half each; a third one gets a share immediately."""
    simulation = AllotmentSimulation()
    for _ in range(4):
        for number in (0, 1):
            run_step(simulation, ("exchange", number, 20))
    amounts = [entry.amount(CONCURRENCY, simulation.real_s) for entry in simulation.entries]
    assert amounts == [5, 5, 0]
    run_step(simulation, ("exchange", 2, 20))
    run_step(simulation, ("exchange", 2, 20))
    assert simulation.entries[2].amount(RATE, simulation.real_s) > 0


def test_renewal_needs_no_log_entry() -> None:
    """Renewing an unchanged allotment commits nothing to the log."""
    simulation = AllotmentSimulation()
    for _ in range(4):
        run_step(simulation, ("exchange", 0, 4))
    entry = simulation.entries[0]
    request = entry.make_request(4, simulation.real_s)
    plan = simulation.ledger.plan_grants(entry.host_id, request.message, simulation.leader_clock())
    assert plan is not None
    assert not plan.must_commit


def test_lost_entry_host_keeps_concurrency_until_its_requests_end() -> None:
    """Rates are reclaimed after the lease, concurrency once the requests have ended."""
    simulation = AllotmentSimulation()
    for _ in range(3):
        run_step(simulation, ("exchange", 0, 10))
    simulation.advance(SETTINGS.lease_expiry_s + 0.1)
    for _ in range(3):
        run_step(simulation, ("exchange", 1, 10))
    assert simulation.entries[1].amount(RATE, simulation.real_s) > 9
    assert simulation.entries[1].amount(CONCURRENCY, simulation.real_s) == 0
    simulation.advance(SETTINGS.request_expiry_s)
    for _ in range(3):
        run_step(simulation, ("exchange", 1, 10))
    assert simulation.entries[1].amount(CONCURRENCY, simulation.real_s) == 10


@given(
    st.floats(0, 1000),
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 1000), min_size=1),
    st.booleans(),
    st.integers(0, 50),
)
@settings(deadline=None, derandomize=True)
def test_division_stays_within_the_cap(
    cap: float, wanted: dict[str, float], integral: bool, rotation: int
) -> None:
    """Shares add up to at most the cap, and demands are met max-min fairly."""
    by_host = {HostId(name): amount for name, amount in wanted.items()}
    assert sum(divide_cap(cap, by_host, integral, rotation).values()) <= cap + TOLERANCE
    filled = max_min_fair_shares(cap, by_host)
    unmet = [amount for host, amount in filled.items() if amount < by_host[host] - TOLERANCE]
    if unmet:
        assert max(filled.values()) <= min(unmet) + TOLERANCE
