"""Randomized fault schedules for the consensus core, with fixed seeds."""

from __future__ import annotations

import pytest
from consensus_nodes import InjectedBugs
from consensus_scenarios import SCENARIOS
from consensus_simulation import FiveVoterSimulation, Simulation

# Outside the seed range of the cases. Stalled before non-voters could campaign.
REGRESSION_SEEDS = (211985,)
SCHEDULES_PER_CASE = 500
CASES = 24
FIVE_VOTER_CASES = 20


@pytest.mark.parametrize("case", range(CASES))
def test_invariants_hold_in_every_schedule(case: int) -> None:
    """No schedule violates an invariant, and each makes progress after its faults."""
    for seed in range(case * SCHEDULES_PER_CASE, (case + 1) * SCHEDULES_PER_CASE):
        try:
            Simulation(seed).run()
        except Exception as error:
            error.add_note(f"seed {seed}")
            raise


@pytest.mark.parametrize("case", range(FIVE_VOTER_CASES))
def test_invariants_hold_with_five_voters_and_joining_hosts(case: int) -> None:
    """Three hosts bootstrap the log, three more join; disks are wiped and voters replaced."""
    for seed in range(case * SCHEDULES_PER_CASE, (case + 1) * SCHEDULES_PER_CASE):
        try:
            FiveVoterSimulation(seed).run()
        except Exception as error:
            error.add_note(f"seed {seed}")
            raise


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_invariants_hold_in_schedules_that_failed(seed: int) -> None:
    """Seeds that failed before a fix keep passing."""
    Simulation(seed).run()


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_invariants_hold_in_scripted_schedules(scenario) -> None:
    """No scripted schedule violates its invariant."""
    for seed in range(50):
        scenario(seed, InjectedBugs())
