"""A short seeded run of the soak with real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from old_build import LAST_LANDING, OLDER_LANDINGS, require_build

from soak.faulty_answers import AnswerFault
from soak.models import Scenario
from soak.run import SoakRun

SECONDS = 6.0
# 31: a gateway is draining when fault injection ends and must still be restarted afterwards.
SEEDS = (1, 31)
PAUSE_SEEDS = (1, 2)
LIMIT_SEEDS = (1, 2)
SECOND_ANSWER_SEEDS = (11,)
# 533: a request that a cut holds up arrives after the drain of its endpoint.
CUT_SEEDS = (1, 2, 533)
FAULTY_ANSWERS_S = 10.0
UPGRADE_SEEDS = (1, 2)
NOTICE_SEEDS = (1, 2)
# An odd seed stops no gateway, an even one does.
FAULTY_ANSWER_SEEDS = (1, 2)
FILLED_ANSWER_SEEDS = (9,)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Process kills, pauses and stops, a wiped disk and link faults violate no guarantee."""
    outcome = asyncio.run(SoakRun(seed, SECONDS, tmp_path).async_run())
    assert outcome.violations == [], outcome.faults


@pytest.mark.parametrize("seed", PAUSE_SEEDS)
def test_silence_of_sound_engines_ends_no_response(seed: int, tmp_path: Path) -> None:
    """No connection is closed without an answer because engines pause for about a second."""
    outcome = asyncio.run(SoakRun(seed, SECONDS, tmp_path, Scenario.PAUSES).async_run())
    assert outcome.violations == [], outcome.faults


@pytest.mark.parametrize("seed", CUT_SEEDS)
def test_gateways_without_endpoints_break_no_guarantee(seed: int, tmp_path: Path) -> None:
    """Gateways are cut off from all endpoints while they, others and registries are killed."""
    outcome = asyncio.run(SoakRun(seed, SECONDS, tmp_path, Scenario.CUT_GATEWAYS).async_run())
    assert outcome.violations == [], outcome.faults


@pytest.mark.parametrize("seed", NOTICE_SEEDS)
def test_endpoints_that_leave_or_pause_get_no_requests(seed: int, tmp_path: Path) -> None:
    """What endpoints say in their answers is heeded while gateways are killed, frozen and cut."""
    outcome = asyncio.run(SoakRun(seed, SECONDS, tmp_path, Scenario.NOTICES).async_run())
    assert outcome.violations == [], outcome.faults
    assert any(fault.endswith(("leaves", "pauses")) for fault in outcome.faults)


@pytest.mark.parametrize("seed", UPGRADE_SEEDS)
def test_builds_side_by_side_break_no_guarantee(seed: int, tmp_path: Path) -> None:
    """Machines are replaced, and replaced back, while others are killed, frozen, cut and wiped."""
    require_build(LAST_LANDING)
    run = SoakRun(seed, SECONDS, tmp_path, Scenario.UPGRADES, old_revision=LAST_LANDING)
    outcome = asyncio.run(run.async_run())
    assert outcome.violations == [], outcome.faults
    assert any("gets the new build" in fault for fault in outcome.faults)


# Guards against messages that an older build can't read: it closes the channel on each of them.
@pytest.mark.parametrize("revision", OLDER_LANDINGS[:1])
def test_older_builds_read_all_messages(revision: str, tmp_path: Path) -> None:
    """In a mixed fleet no process is sent a message of a kind that its build does not know."""
    require_build(revision)
    run = SoakRun(3, SECONDS, tmp_path, Scenario.CUT_GATEWAYS, old_revision=revision, is_mixed=True)
    outcome = asyncio.run(run.async_run())
    assert outcome.violations == [], outcome.faults


def test_prompt_part_that_crashes_engines_is_kept_from_them(tmp_path: Path) -> None:
    """Engines get few requests with a part that crashed five, and streams without it are served."""
    outcome = asyncio.run(SoakRun(1, SECONDS, tmp_path, Scenario.CRASHING_PART).async_run())
    assert outcome.violations == [], outcome.faults


@pytest.mark.parametrize("seed", LIMIT_SEEDS)
def test_limits_are_kept_and_used_while_processes_are_killed(seed: int, tmp_path: Path) -> None:
    """Endpoints get no more than they name and not much less, beside kills of processes."""
    outcome = asyncio.run(SoakRun(seed, SECONDS, tmp_path, Scenario.LIMITS).async_run())
    assert outcome.violations == [], outcome.faults


@pytest.mark.parametrize("seed", SECOND_ANSWER_SEEDS)
def test_second_answers_of_endpoints_reach_no_caller(seed: int, tmp_path: Path) -> None:
    """Callers get their own answers, and none is told that its request has not run if it has."""
    outcome = asyncio.run(SoakRun(seed, 1.0, tmp_path, Scenario.SECOND_ANSWERS).async_run())
    assert outcome.violations == [], outcome.faults


@pytest.mark.parametrize("seed", FAULTY_ANSWER_SEEDS)
def test_cut_answers_are_not_joined_with_those_of_other_requests(seed: int, tmp_path: Path) -> None:
    """Callers get their own whole answers, whatever endpoints cut, corrupt, repeat or add."""
    run = SoakRun(seed, FAULTY_ANSWERS_S, tmp_path, Scenario.FAULTY_ANSWERS)
    outcome = asyncio.run(run.async_run())
    assert outcome.violations == [], outcome.count_by_kind


@pytest.mark.parametrize("seed", FILLED_ANSWER_SEEDS)
def test_cut_answers_are_not_filled_up_by_second_answers(seed: int, tmp_path: Path) -> None:
    """No caller gets a body whose end is the head of a second answer."""
    faults = (AnswerFault.CUT_FILLED,)
    run = SoakRun(seed, FAULTY_ANSWERS_S, tmp_path, Scenario.FAULTY_ANSWERS, faults)
    outcome = asyncio.run(run.async_run())
    assert outcome.violations == [], outcome.count_by_kind
